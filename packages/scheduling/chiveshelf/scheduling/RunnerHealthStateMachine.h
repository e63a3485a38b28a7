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

// An observation that affects the health of a runner.
enum class HealthSignal {
    Success,
    Slow,
    Failure,
    // The runner crashed or refuses connections.
    Unreachable,
    ProbeDue,
};

const char* runnerHealthName(RunnerHealth);

// Health of one runner. A failure or repeated slow requests degrade the runner; a further failure ejects it, as does a crash of a
// healthy runner. After a pause one request probes the runner; if that succeeds, the runner gets its slots back in steps.
class RunnerHealthStateMachine {
public:
    RunnerHealthStateMachine();
    ~RunnerHealthStateMachine();
    RunnerHealthStateMachine(RunnerHealthStateMachine&&) noexcept;
    RunnerHealthStateMachine& operator=(RunnerHealthStateMachine&&) noexcept;

    void handle(HealthSignal);

    RunnerHealth health() const;
    // Share of its slots that the runner may use, 0 to 1. A probing runner has a share of 0 but gets one request.
    double slotShare() const;
    // Number of ejections since the runner was last healthy. The pause before a probe grows with it.
    int ejections() const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

}
