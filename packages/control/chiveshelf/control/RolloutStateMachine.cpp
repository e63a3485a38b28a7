#include "chiveshelf/control/RolloutStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace chiveshelf {

namespace {

    namespace msm = boost::msm;
    namespace mpl = boost::mpl;
    using msm::front::none;
    using msm::front::Row;

    struct RolloutNeeded {
    };
    struct LeaseAcquired {
        bool mustWait;
    };
    struct WaitElapsed {
    };
    struct RolloutDone {
    };
    struct Released {
    };
    struct LeaseLost {
    };

    struct MustWait {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const LeaseAcquired& event, const Machine&, const Source&, const Target&) const
        {
            return event.mustWait;
        }
    };

    struct NeedNotWait {
        template <typename Machine, typename Source, typename Target>
        bool operator()(const LeaseAcquired& event, const Machine&, const Source&, const Target&) const
        {
            return !event.mustWait;
        }
    };

    template <RolloutState rolloutState>
    struct State : msm::front::state<> {
        template <typename Event, typename Machine>
        void on_entry(const Event&, Machine& machine)
        {
            machine.state = rolloutState;
        }
    };

    struct Definition : msm::front::state_machine_def<Definition> {
        using Idle = State<RolloutState::Idle>;
        using Acquiring = State<RolloutState::Acquiring>;
        using WaitingOut = State<RolloutState::WaitingOut>;
        using Rolling = State<RolloutState::Rolling>;
        using Releasing = State<RolloutState::Releasing>;
        using initial_state = Idle;

        // clang-format off
        // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM looks the type up by this name.
        struct transition_table : mpl::vector<
            Row<Idle,       RolloutNeeded, Acquiring,  none, none>,
            Row<Acquiring,  LeaseAcquired, WaitingOut, none, MustWait>,
            Row<Acquiring,  LeaseAcquired, Rolling,    none, NeedNotWait>,
            Row<Acquiring,  RolloutDone,   Idle,       none, none>,
            Row<Acquiring,  LeaseLost,     Idle,       none, none>,
            Row<WaitingOut, WaitElapsed,   Rolling,    none, none>,
            Row<WaitingOut, LeaseLost,     Idle,       none, none>,
            Row<Rolling,    RolloutDone,   Releasing,  none, none>,
            Row<Rolling,    LeaseLost,     Idle,       none, none>,
            Row<Releasing,  Released,      Idle,       none, none>,
            Row<Releasing,  LeaseLost,     Idle,       none, none>
        > {};
        // clang-format on

        template <typename Machine, typename Event>
        void no_transition(const Event&, Machine&, int)
        {
        }

        RolloutState state = RolloutState::Idle;
    };

}

struct RolloutStateMachine::Impl : msm::back::state_machine<Definition> {
};

RolloutStateMachine::RolloutStateMachine()
    : m_impl(std::make_unique<Impl>())
{
    m_impl->start();
}

RolloutStateMachine::~RolloutStateMachine() = default;

void RolloutStateMachine::rolloutNeeded()
{
    m_impl->process_event(RolloutNeeded {});
}

void RolloutStateMachine::leaseAcquired(bool mustWait)
{
    m_impl->process_event(LeaseAcquired { mustWait });
}

void RolloutStateMachine::waitElapsed()
{
    m_impl->process_event(WaitElapsed {});
}

void RolloutStateMachine::rolloutDone()
{
    m_impl->process_event(RolloutDone {});
}

void RolloutStateMachine::released()
{
    m_impl->process_event(Released {});
}

void RolloutStateMachine::leaseLost()
{
    m_impl->process_event(LeaseLost {});
}

RolloutState RolloutStateMachine::state() const
{
    return m_impl->state;
}

}
