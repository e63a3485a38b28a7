#pragma once

#include <memory>

namespace chiveshelf {

enum class RunnerHealth {
    Healthy,
    Degraded,
    Ejected,
    Probing,
    Recovering,
};

// What a runner's work says about it.
enum class HealthSignal {
    Success,
    Slow,
    Failure,
    // It crashed or refuses connections.
    Gone,
    ProbeDue,
};

const char* runnerHealthName(RunnerHealth);

// Health of one runner. A failure or repeated slow work degrades it; a further failure, or a crash at
// once, ejects it. After a pause one request
// probes it; if that succeeds, it gets its slots back in steps.
class RunnerHealthStateMachine {
public:
    RunnerHealthStateMachine();
    ~RunnerHealthStateMachine();
    RunnerHealthStateMachine(RunnerHealthStateMachine&&) noexcept;
    RunnerHealthStateMachine& operator=(RunnerHealthStateMachine&&) noexcept;

    void handle(HealthSignal);

    RunnerHealth health() const;
    // Share of its slots that the runner may use, 0 to 1. A probing runner gets one request whatever the share says.
    double slotShare() const;
    // Ejections since it was healthy last; the pause before a probe grows with them.
    int ejections() const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

}
