#include "chiveshelf/scheduling/RunnerHealthStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <cassert>
#include <iterator>

namespace chiveshelf {

namespace {

    namespace msm = boost::msm;
    using boost::msm::front::none;
    using boost::msm::front::Row;

    // One slow request can be due to a long queue on the runner; three in a row indicate a slow runner.
    constexpr int slowRequestLimit = 3;
    constexpr int successesToHealthy = 3;
    // Steps of the share of slots while a runner recovers: 1/4, 1/2, 3/4, then healthy.
    constexpr int recoverySteps = 4;

    struct Success {
    };
    struct Slow {
    };
    struct Failure {
    };
    struct Unreachable {
    };
    struct ProbeDue {
    };

    struct Definition : msm::front::state_machine_def<Definition> {
        struct Healthy : msm::front::state<> {
            template <typename Event, typename Machine>
            void on_entry(const Event&, Machine& machine)
            {
                machine.m_ejections = 0;
                machine.m_slowRequests = 0;
            }
        };
        struct Degraded : msm::front::state<> {
            template <typename Event, typename Machine>
            void on_entry(const Event&, Machine& machine)
            {
                machine.m_successes = 0;
            }
        };
        struct Ejected : msm::front::state<> {
            template <typename Event, typename Machine>
            void on_entry(const Event&, Machine& machine)
            {
                ++machine.m_ejections;
            }
        };
        struct Probing : msm::front::state<> {
        };
        struct Recovering : msm::front::state<> {
            template <typename Event, typename Machine>
            void on_entry(const Event&, Machine& machine)
            {
                machine.m_successes = 1;
            }
        };
        using initial_state = Healthy;

        struct CountSlowRequest {
            template <typename Event, typename Machine, typename Source, typename Target>
            void operator()(const Event&, Machine& machine, Source&, Target&)
            {
                ++machine.m_slowRequests;
            }
        };
        struct ClearSlowRequests {
            template <typename Event, typename Machine, typename Source, typename Target>
            void operator()(const Event&, Machine& machine, Source&, Target&)
            {
                machine.m_slowRequests = 0;
            }
        };
        struct CountSuccess {
            template <typename Event, typename Machine, typename Source, typename Target>
            void operator()(const Event&, Machine& machine, Source&, Target&)
            {
                ++machine.m_successes;
            }
        };
        struct ClearSuccesses {
            template <typename Event, typename Machine, typename Source, typename Target>
            void operator()(const Event&, Machine& machine, Source&, Target&)
            {
                machine.m_successes = 0;
            }
        };
        struct IsSlowLimitReached {
            template <typename Event, typename Machine, typename Source, typename Target>
            bool operator()(const Event&, Machine& machine, Source&, Target&)
            {
                return machine.m_slowRequests + 1 >= slowRequestLimit;
            }
        };
        struct IsHealthyAgain {
            template <typename Event, typename Machine, typename Source, typename Target>
            bool operator()(const Event&, Machine& machine, Source&, Target&)
            {
                return machine.m_successes + 1 >= successesToHealthy;
            }
        };
        struct IsRecovered {
            template <typename Event, typename Machine, typename Source, typename Target>
            bool operator()(const Event&, Machine& machine, Source&, Target&)
            {
                return machine.m_successes + 1 >= recoverySteps;
            }
        };

        // Of two rows with the same source and event, the guard of the later one is tried first.
        // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM looks the type up by this name.
        struct transition_table : boost::mpl::vector<
                                      Row<Healthy, Success, none, ClearSlowRequests, none>,
                                      Row<Healthy, Slow, none, CountSlowRequest, none>,
                                      Row<Healthy, Slow, Degraded, none, IsSlowLimitReached>,
                                      Row<Healthy, Failure, Degraded, none, none>,
                                      Row<Healthy, Unreachable, Ejected, none, none>,
                                      Row<Degraded, Success, none, CountSuccess, none>,
                                      Row<Degraded, Success, Healthy, none, IsHealthyAgain>,
                                      Row<Degraded, Slow, none, ClearSuccesses, none>,
                                      Row<Degraded, Failure, Ejected, none, none>,
                                      Row<Degraded, Unreachable, Ejected, none, none>,
                                      Row<Ejected, ProbeDue, Probing, none, none>,
                                      Row<Probing, Success, Recovering, none, none>,
                                      Row<Probing, Slow, Recovering, none, none>,
                                      Row<Probing, Failure, Ejected, none, none>,
                                      Row<Probing, Unreachable, Ejected, none, none>,
                                      Row<Recovering, Success, none, CountSuccess, none>,
                                      Row<Recovering, Success, Healthy, none, IsRecovered>,
                                      Row<Recovering, Failure, Ejected, none, none>,
                                      Row<Recovering, Unreachable, Ejected, none, none>> {
        };

        template <typename Machine, typename Event>
        void no_transition(const Event&, Machine&, int)
        {
            // Results of requests that were started in an earlier state are ignored.
        }

        int m_slowRequests = 0;
        int m_successes = 0;
        int m_ejections = 0;
    };

    // States in the order of the transition table, from which MSM numbers them.
    constexpr RunnerHealth healthOfState[] = { RunnerHealth::Healthy, RunnerHealth::Degraded, RunnerHealth::Ejected, RunnerHealth::Probing,
        RunnerHealth::Recovering };

}

struct RunnerHealthStateMachine::Machine : msm::back::state_machine<Definition> {
};

RunnerHealthStateMachine::RunnerHealthStateMachine()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

RunnerHealthStateMachine::~RunnerHealthStateMachine() = default;
RunnerHealthStateMachine::RunnerHealthStateMachine(RunnerHealthStateMachine&&) noexcept = default;
RunnerHealthStateMachine& RunnerHealthStateMachine::operator=(RunnerHealthStateMachine&&) noexcept = default;

void RunnerHealthStateMachine::handle(HealthSignal signal)
{
    switch (signal) {
    case HealthSignal::Success:
        m_machine->process_event(Success {});
        break;
    case HealthSignal::Slow:
        m_machine->process_event(Slow {});
        break;
    case HealthSignal::Failure:
        m_machine->process_event(Failure {});
        break;
    case HealthSignal::Unreachable:
        m_machine->process_event(Unreachable {});
        break;
    case HealthSignal::ProbeDue:
        m_machine->process_event(ProbeDue {});
        break;
    }
}

RunnerHealth RunnerHealthStateMachine::health() const
{
    const auto state = m_machine->current_state()[0];
    assert(state >= 0 && state < static_cast<int>(std::size(healthOfState)));
    return healthOfState[state];
}

double RunnerHealthStateMachine::slotShare() const
{
    switch (health()) {
    case RunnerHealth::Healthy:
        return 1.0;
    case RunnerHealth::Degraded:
        return 0.5;
    case RunnerHealth::Recovering:
        return static_cast<double>(m_machine->m_successes) / recoverySteps;
    case RunnerHealth::Ejected:
    case RunnerHealth::Probing:
        return 0.0;
    }
    return 0.0;
}

int RunnerHealthStateMachine::ejections() const
{
    return m_machine->m_ejections;
}

const char* runnerHealthName(RunnerHealth health)
{
    switch (health) {
    case RunnerHealth::Healthy:
        return "healthy";
    case RunnerHealth::Degraded:
        return "degraded";
    case RunnerHealth::Ejected:
        return "ejected";
    case RunnerHealth::Probing:
        return "probing";
    case RunnerHealth::Recovering:
        return "recovering";
    }
    return "unknown";
}

}
