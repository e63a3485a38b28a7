#pragma once

#include <memory>
#include <string_view>

namespace chiveshelf {

enum class RolloutState {
    // All runners match the row.
    Idle,
    // A runner differs from the row, and the lease is not held yet.
    Acquiring,
    // The lease is held, but commands of the previous holder may still be running.
    WaitingOut,
    // Commands may be sent.
    Rolling,
    // All runners match the row, and the lease is being released.
    Releasing,
};

// Returns the state's name in lower case, as written to state dumps.
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

// The phases of a pool's controller. An event without a transition from the current state is ignored.
class RolloutStateMachine {
public:
    RolloutStateMachine();
    ~RolloutStateMachine();
    RolloutStateMachine(const RolloutStateMachine&) = delete;
    RolloutStateMachine& operator=(const RolloutStateMachine&) = delete;

    // Signals that a runner differs from the pool's row.
    void rolloutNeeded();

    // Signals that the lease was granted. `mustWait` is true if the previous holder did not release it.
    void leaseAcquired(bool mustWait);

    // Signals that enough time has passed for all commands of the previous holder to have ended.
    void waitElapsed();

    // Signals that every runner matches the row and no command is pending.
    void rolloutDone();

    // Signals that the lease was released.
    void released();

    // Signals that the lease may have expired, or that this host no longer owns the pool.
    void leaseLost();

    RolloutState state() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
