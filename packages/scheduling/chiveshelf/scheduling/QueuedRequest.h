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

// An estimated duration in ms. Fractions are kept because rounding errors would add up over many short durations.
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
    // Link over which the stored blocks are imported.
    std::string storeLink;
    // Tokens of one cache block.
    std::int64_t blockTokens = 4'000;
    TimePoint enqueuedAt;
    // Time by which the first token is due.
    TimePoint deadline;
    // Runners that already failed this request.
    std::vector<std::string> excludedRunners;

    bool excludes(const std::string& runner) const;

    auto operator<=>(const QueuedRequest&) const = default;
};

// State of a runner at the time of a decision.
struct RunnerSnapshot {
    std::string name;
    // Requests that may run at once, reduced while the runner is not healthy.
    int slots = 0;
    int running = 0;
    bool isUsable = true;
    double prefillTokensPerSecond = 10'000;
    // Time to the first token of an empty prompt.
    EstimatedTime overhead { 0 };
    // Time until the prefills queued on the runner are done, by priority class of the new request. Runners serve prefills by
    // priority, so those of lower classes do not count.
    std::array<EstimatedTime, priorityCount> prefillWait {};
    // Time until a slot becomes free; 0 if one is free.
    EstimatedTime slotWait { 0 };
    // Number of requests in the runner's latest load report, which lags. Used only by the baseline policies.
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
    // False once the first token is expected to have been sent, or while a preemption is in progress.
    bool isPreemptable = false;
    bool isPreempting = false;

    auto operator<=>(const RunningWork&) const = default;
};

// State of a pool in one data centre at the time of a decision.
struct PoolSnapshot {
    std::vector<RunnerSnapshot> runners;
    std::vector<RunningWork> running;
    // Percentage of the slots that is guaranteed to each class while it has work.
    std::array<int, priorityCount> shares { 60, 30, 10 };
    std::array<int, priorityCount> runningByClass { 0, 0, 0 };
    // Mean time that a request holds a slot; 0 while unknown.
    EstimatedTime serviceTime { 0 };

    int totalSlots() const;
    int freeSlots() const;
    RunnerSnapshot* find(const std::string& name);
};

// Blocks to import from a store before the rest of the prompt is computed. `blocks` is 0 if nothing is imported.
struct PlannedImport {
    std::string link;
    std::size_t firstBlock = 0;
    std::size_t blocks = 0;
    EstimatedTime time { 0 };

    auto operator<=>(const PlannedImport&) const = default;
};

// A decision to run a request on a runner. `reason` is shown in state dumps.
struct Assignment {
    std::string requestId;
    std::string runner;
    std::string reason;
    Priority priority = Priority::Standard;
    std::int64_t maxTokens = 0;
    PlannedImport import;
    std::int64_t computedTokens = 0;
    EstimatedTime firstToken { 0 };
    // Leading blocks to take from the runner's cache or a store. -1 means all available ones, for prompts that the cache is
    // expected to hold: if the runner has evicted the blocks, they can still be imported.
    std::int64_t prefixBlocks = -1;

    auto operator<=>(const Assignment&) const = default;
};

// A decision to refuse a request.
struct Refusal {
    std::string requestId;
    Error error;
};

// A decision to cancel a running request of a lower class and to queue it again.
struct Preemption {
    std::string requestId;
    std::string reason;

    auto operator<=>(const Preemption&) const = default;
};

// Result and usage of a granted request, available after its end.
struct FinishedWork {
    std::string requestId;
    std::string runner;
    bool hasSucceeded = false;
    // The runner or its connection failed. False if the caller disconnected or the request was preempted.
    bool hasRunnerFailed = false;
    // The runner crashed or cannot be reached.
    bool isRunnerUnreachable = false;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t importedTokens = 0;
    std::int64_t completionTokens = 0;
    // Times in ms from the start on the runner; -1 if not reached.
    std::int64_t firstTokenMs = -1;
    std::int64_t totalMs = -1;

    auto operator<=>(const FinishedWork&) const = default;
};

}
