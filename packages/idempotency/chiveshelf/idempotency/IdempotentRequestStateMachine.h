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
    // The claim was granted too late to be used.
    ClaimExpired,
    OutcomeFound,
    ClaimRefused,
    OutcomeReceived,
    // The request has certainly not run.
    NotRun,
    OutcomeLost,
};

// States of one attempt of an idempotent request. The request may be sent to a runner in the state Running only, which is reached
// only by a granted claim.
class IdempotentRequestStateMachine {
public:
    IdempotentRequestStateMachine();
    ~IdempotentRequestStateMachine();
    IdempotentRequestStateMachine(const IdempotentRequestStateMachine&) = delete;
    IdempotentRequestStateMachine& operator=(const IdempotentRequestStateMachine&) = delete;

    // Returns false, without a change, if the current state has no transition for the event.
    bool process(IdempotentRequestEvent);

    IdempotentRequestState state() const;

private:
    struct Machine;

    std::unique_ptr<Machine> m_machine;
};

}
