#pragma once

#include <memory>

namespace chiveshelf {

enum class IdempotentRequestState {
    Idle,
    Claiming,
    // The claim is written; the request may be sent to a runner.
    Running,
    Replayed,
    Refused,
    Completed,
    Abandoned,
    Unknown,
};

enum class IdempotentRequestEvent {
    ClaimSent,
    ClaimGranted,
    // The claim was granted too long after it was asked for.
    ClaimExpired,
    OutcomeFound,
    ClaimRefused,
    OutcomeReceived,
    // The request is certain not to have run.
    NotRun,
    OutcomeLost,
};

// States of one attempt of an idempotent request. Only Running permits bytes to a runner, and only a claim that was granted
// leads there.
class IdempotentRequestStateMachine {
public:
    IdempotentRequestStateMachine();
    ~IdempotentRequestStateMachine();
    IdempotentRequestStateMachine(const IdempotentRequestStateMachine&) = delete;
    IdempotentRequestStateMachine& operator=(const IdempotentRequestStateMachine&) = delete;

    // Returns false, without a change, if the event is not possible in the present state.
    bool process(IdempotentRequestEvent);

    IdempotentRequestState state() const;

private:
    struct Machine;

    std::unique_ptr<Machine> m_machine;
};

}
