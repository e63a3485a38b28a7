#include "chiveshelf/idempotency/IdempotentRequestStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace chiveshelf {

namespace {

    namespace msm = boost::msm;
    using msm::front::none;
    using msm::front::Row;

    template <IdempotentRequestEvent event>
    struct On {
    };

    using Event = IdempotentRequestEvent;

    struct Definition : msm::front::state_machine_def<Definition> {
        template <IdempotentRequestState value>
        struct In : msm::front::state<> {
            template <typename AnyEvent, typename Machine>
            void on_entry(const AnyEvent&, Machine& machine)
            {
                machine.current = value;
            }
        };

        using Idle = In<IdempotentRequestState::Idle>;
        using Claiming = In<IdempotentRequestState::Claiming>;
        using Running = In<IdempotentRequestState::Running>;
        using Replayed = In<IdempotentRequestState::Replayed>;
        using Refused = In<IdempotentRequestState::Refused>;
        using Completed = In<IdempotentRequestState::Completed>;
        using Abandoned = In<IdempotentRequestState::Abandoned>;
        using Unknown = In<IdempotentRequestState::Unknown>;
        using initial_state = Idle;

        // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM requires this name.
        struct transition_table : boost::mpl::vector<
                                      Row<Idle, On<Event::ClaimSent>, Claiming, none, none>,
                                      Row<Claiming, On<Event::ClaimGranted>, Running, none, none>,
                                      Row<Claiming, On<Event::ClaimExpired>, Abandoned, none, none>,
                                      Row<Claiming, On<Event::OutcomeFound>, Replayed, none, none>,
                                      Row<Claiming, On<Event::ClaimRefused>, Refused, none, none>,
                                      Row<Running, On<Event::OutcomeReceived>, Completed, none, none>,
                                      Row<Running, On<Event::NotRun>, Abandoned, none, none>,
                                      Row<Running, On<Event::OutcomeLost>, Unknown, none, none>> {
        };

        template <typename Machine, typename AnyEvent>
        void no_transition(const AnyEvent&, Machine&, int)
        {
        }

        IdempotentRequestState current = IdempotentRequestState::Idle;
    };

}

struct IdempotentRequestStateMachine::Machine : msm::back::state_machine<Definition> {
};

IdempotentRequestStateMachine::IdempotentRequestStateMachine()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

IdempotentRequestStateMachine::~IdempotentRequestStateMachine() = default;

bool IdempotentRequestStateMachine::process(IdempotentRequestEvent event)
{
    const auto isHandled = [](msm::back::HandledEnum result) { return result == msm::back::HANDLED_TRUE; };
    switch (event) {
    case Event::ClaimSent:
        return isHandled(m_machine->process_event(On<Event::ClaimSent> {}));
    case Event::ClaimGranted:
        return isHandled(m_machine->process_event(On<Event::ClaimGranted> {}));
    case Event::ClaimExpired:
        return isHandled(m_machine->process_event(On<Event::ClaimExpired> {}));
    case Event::OutcomeFound:
        return isHandled(m_machine->process_event(On<Event::OutcomeFound> {}));
    case Event::ClaimRefused:
        return isHandled(m_machine->process_event(On<Event::ClaimRefused> {}));
    case Event::OutcomeReceived:
        return isHandled(m_machine->process_event(On<Event::OutcomeReceived> {}));
    case Event::NotRun:
        return isHandled(m_machine->process_event(On<Event::NotRun> {}));
    case Event::OutcomeLost:
        return isHandled(m_machine->process_event(On<Event::OutcomeLost> {}));
    }
    return false;
}

IdempotentRequestState IdempotentRequestStateMachine::state() const
{
    return m_machine->current;
}

}
