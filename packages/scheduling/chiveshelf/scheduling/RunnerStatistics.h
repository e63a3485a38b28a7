#pragma once

#include "chiveshelf/scheduling/QueuedRequest.h"
#include "chiveshelf/scheduling/RunnerHealthStateMachine.h"

#include <map>
#include <optional>

namespace chiveshelf {

// Health, measured speed and load of a runner, for state dumps.
struct RunnerState {
    std::string name;
    RunnerHealth health = RunnerHealth::Healthy;
    double slotShare = 1.0;
    double prefillTokensPerSecond = 0;
    EstimatedTime overhead { 0 };
    EstimatedTime timePerToken { 0 };
    int running = 0;
    int reportedLoad = 0;

    auto operator<=>(const RunnerState&) const = default;
};

// Measured speeds, health and running requests of a pool's runners in one data centre. Call setRunners() when the tables
// change, started() and finished() for each request, and snapshot() for a decision.
class RunnerStatistics {
public:
    void setRunners(const std::vector<std::string>& names, int slotsPerRunner);

    // Records a granted request. Has no effect if the id is already running, for instance after an InFlight message.
    void started(const Assignment&, TimePoint now);
    // Records a running request that another scheduler granted.
    void adopted(const std::string& requestId, const std::string& runner, Priority, TimePoint now);
    void finished(const FinishedWork&, TimePoint now);
    // Frees the request's slot without updating speeds or health.
    void dropped(const std::string& requestId, TimePoint now);
    // Records that a request is being preempted.
    void preemptionStarted(const std::string& requestId);
    void setReportedLoad(const std::string& runner, int load);

    bool isRunning(const std::string& requestId) const { return m_running.contains(requestId); }
    PoolSnapshot snapshot(TimePoint now);
    std::vector<RunnerState> states() const;
    EstimatedTime serviceTime() const { return m_serviceTime; }

private:
    struct Runner {
        RunnerHealthStateMachine health;
        // 0 until the first sample.
        double prefillTokensPerSecond = 0;
        EstimatedTime overhead { 0 };
        EstimatedTime timePerToken { 0 };
        // End of the known prefills of each class and of the classes above it.
        std::array<TimePoint, priorityCount> prefillBusyUntil {};
        TimePoint lastSampleAt;
        TimePoint probeAt;
        int reportedLoad = 0;
    };
    struct Running {
        std::string runner;
        Priority priority = Priority::Standard;
        TimePoint startedAt;
        TimePoint firstTokenExpected;
        TimePoint endExpected;
        EstimatedTime prefillWait { 0 };
        EstimatedTime prefill { 0 };
        std::int64_t maxTokens = 0;
        bool isPreempting = false;
    };

    void updateSpeeds(Runner&, const Running&, const FinishedWork&, TimePoint now);
    // Subtracts the part of a request's prefill that was not done from its runner's expected prefill time.
    void releasePrefill(const Running&, TimePoint now);
    bool isSlow(const Running&, const FinishedWork&) const;
    void updateHealth(const std::string& name, Runner&, HealthSignal, TimePoint now);
    double medianPrefillSpeed() const;
    EstimatedTime medianTimePerToken() const;
    int slotsOf(const Runner&) const;

    int m_slotsPerRunner = 0;
    std::map<std::string, Runner> m_runners;
    std::map<std::string, Running> m_running;
    EstimatedTime m_serviceTime { 0 };
    // Mean share of their maximum output tokens that requests produce; callers request more than they use.
    double m_outputShare = 1.0;
};

}
