#pragma once

#include "chiveshelf/core/Error.h"
#include "chiveshelf/core/Priority.h"
#include "chiveshelf/core/StoredPrefix.h"
#include "chiveshelf/core/Time.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chiveshelf {

// Estimated times. Fractions matter where many short times are added.
using EstimatedTime = std::chrono::duration<double, std::milli>;

// A request that waits for a runner.
struct QueuedRequest {
    std::string id;
    std::string organisation;
    Priority priority = Priority::Standard;
    int weight = 1;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    // Keys of the prompt's whole cache blocks, first block first.
    std::vector<std::string> blocks;
    StoredPrefix stored;
    // The link over which they are imported.
    std::string storeLink;
    // Tokens of one cache block.
    std::int64_t blockTokens = 4'000;
    TimePoint enqueuedAt;
    // The first token is wanted by then.
    TimePoint deadline;
    // Runners that already failed this request.
    std::vector<std::string> excludedRunners;

    bool excludes(const std::string& runner) const;

    auto operator<=>(const QueuedRequest&) const = default;
};

// A runner as the scheduler sees it at the moment of a decision.
struct RunnerSnapshot {
    std::string name;
    // Requests that it may run at once, reduced while its health is in doubt.
    int slots = 0;
    int running = 0;
    bool isUsable = true;
    double prefillTokensPerSecond = 10'000;
    // Time to the first token of an empty prompt.
    EstimatedTime overhead { 0 };
    // Until the prefill of the requests that were sent before is done, by class of the new request: runners honour priorities,
    // so cheaper prefills do not count.
    std::array<EstimatedTime, priorityCount> prefillWait {};
    // Until a slot becomes free; 0 if one is.
    EstimatedTime slotWait { 0 };
    // Requests that the runner itself reported, which lags; only for the baselines.
    int reportedLoad = 0;

    bool hasFreeSlot() const { return isUsable && running < slots; }
    auto operator<=>(const RunnerSnapshot&) const = default;
};

// A granted request.
struct RunningWork {
    std::string requestId;
    std::string runner;
    Priority priority = Priority::Standard;
    TimePoint startedAt;
    // False once the first token is expected to have been sent, or a preemption is under way.
    bool isPreemptable = false;
    bool isPreempting = false;

    auto operator<=>(const RunningWork&) const = default;
};

// A pool in one data centre at the moment of a decision.
struct PoolSnapshot {
    std::vector<RunnerSnapshot> runners;
    std::vector<RunningWork> running;
    // Percent of the slots that a class keeps while it has work.
    std::array<int, priorityCount> shares { 60, 30, 10 };
    std::array<int, priorityCount> runningByClass { 0, 0, 0 };
    // Mean time that a request holds a slot; 0 while unknown.
    EstimatedTime serviceTime { 0 };

    int totalSlots() const;
    int freeSlots() const;
    RunnerSnapshot* find(const std::string& name);
};

// Blocks to import from a store before the rest of the prompt is computed. No blocks means no import.
struct PlannedImport {
    std::string link;
    std::size_t firstBlock = 0;
    std::size_t blocks = 0;
    EstimatedTime time { 0 };

    auto operator<=>(const PlannedImport&) const = default;
};

// A decision to run a request on a runner, with its reason for state dumps.
struct Assignment {
    std::string requestId;
    std::string runner;
    std::string reason;
    Priority priority = Priority::Standard;
    std::int64_t maxTokens = 0;
    PlannedImport import;
    std::int64_t computedTokens = 0;
    EstimatedTime firstToken { 0 };
    // Leading blocks to take from the cache or a store; -1 means all that there are, for prompts that the cache should have: if
    // it has evicted them, the import is what is left.
    std::int64_t prefixBlocks = -1;

    auto operator<=>(const Assignment&) const = default;
};

// A decision to refuse a request.
struct Refusal {
    std::string requestId;
    Error error;
};

// A decision to cancel a running request of a cheaper class and to queue it again.
struct Preemption {
    std::string requestId;
    std::string reason;

    auto operator<=>(const Preemption&) const = default;
};

// What is known of a request after its end.
struct FinishedWork {
    std::string requestId;
    std::string runner;
    bool hasSucceeded = false;
    // The runner or its connection failed, as opposed to a caller that went away or a preemption.
    bool hasRunnerFailed = false;
    // It crashed or can not be reached.
    bool isRunnerUnreachable = false;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t importedTokens = 0;
    std::int64_t completionTokens = 0;
    // -1 if not reached.
    std::int64_t firstTokenMs = -1;
    std::int64_t totalMs = -1;

    auto operator<=>(const FinishedWork&) const = default;
};

}
