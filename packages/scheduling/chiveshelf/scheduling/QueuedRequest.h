#pragma once

#include "chiveshelf/core/Error.h"
#include "chiveshelf/core/Priority.h"
#include "chiveshelf/core/StoredPrefix.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chiveshelf {

using TimePoint = std::chrono::steady_clock::time_point;

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
    TimePoint enqueuedAt;
    // The first token is wanted by then.
    TimePoint deadline;
    // Runners that already failed this request.
    std::vector<std::string> excludedRunners;

    auto operator<=>(const QueuedRequest&) const = default;
};

// A runner as the scheduler sees it at the moment of a decision.
struct RunnerSnapshot {
    std::string name;
    int slots = 0;
    int running = 0;
    bool isUsable = true;

    auto operator<=>(const RunnerSnapshot&) const = default;
};

// A decision to run a request on a runner, with its reason for state dumps.
struct Assignment {
    std::string requestId;
    std::string runner;
    std::string reason;

    auto operator<=>(const Assignment&) const = default;
};

// A decision to refuse a request.
struct Refusal {
    std::string requestId;
    Error error;
};

}
