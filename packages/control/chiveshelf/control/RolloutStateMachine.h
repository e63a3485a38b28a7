#pragma once

#include <memory>
#include <string_view>

namespace chiveshelf {

enum class RolloutState {
    // There is nothing to command.
    Idle,
    // There is something to command and no lease yet.
    Acquiring,
    // The lease is held, and commands of an earlier holder may still be running.
    WaitingOut,
    // Commands may be sent.
    Rolling,
    // Everything is done and the lease is being given back.
    Releasing,
};

// Returns the state in lower case, as it stands in state dumps.
constexpr std::string_view rolloutStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Idle:
        return "idle";
    case RolloutState::Acquiring:
        return "acquiring";
    case RolloutState::WaitingOut:
        return "waiting_out";
    case RolloutState::Rolling:
        return "rolling";
    case RolloutState::Releasing:
        return "releasing";
    }
    return "idle";
}

// The phases of a controller of one pool. An event that does not fit the present state changes nothing.
class RolloutStateMachine {
public:
    RolloutStateMachine();
    ~RolloutStateMachine();
    RolloutStateMachine(const RolloutStateMachine&) = delete;
    RolloutStateMachine& operator=(const RolloutStateMachine&) = delete;

    // A runner differs from its pool's row.
    void workFound();

    // The lease was granted. `mustWait` if the holder before did not give it back.
    void leaseAcquired(bool mustWait);

    // The longest command of the holder before must have ended.
    void waitedOut();

    // Every runner agrees with the row and no command is pending.
    void workDone();

    // The lease was given back.
    void released();

    // The lease may have lapsed, or this host no longer owns the pool.
    void leaseLost();

    RolloutState state() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
