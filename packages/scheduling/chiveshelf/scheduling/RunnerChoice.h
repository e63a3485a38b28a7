#pragma once

#include "chiveshelf/scheduling/QueuedRequest.h"

#include <optional>
#include <unordered_map>

namespace chiveshelf {

// Blocks of a prompt that runners could import from one store.
struct ImportOption {
    // The narrowest link between store and runner; imports are bounded per link.
    std::string link;
    // Leading blocks of the prompt that the store has complete.
    std::size_t leadingBlocks = 0;
    // Speed that one more import would get, as the link is loaded now.
    double blocksPerSecond = 0;
    // Until the link begins with one more import.
    EstimatedTime linkWait { 0 };

    auto operator<=>(const ImportOption&) const = default;
};

// Expected cached blocks of a prompt's prefix by runner.
using CachedBlocks = std::unordered_map<std::string, double>;

// Returns the import that the request's stored prefix allows while `inFlight` other imports share the link.
std::vector<ImportOption> importOptions(const QueuedRequest&, std::size_t inFlight);

// One runner's estimate for one request.
struct RunnerEstimate {
    std::string runner;
    EstimatedTime firstToken { 0 };
    double cachedTokens = 0;
    std::int64_t computedTokens = 0;
    PlannedImport import;
    bool hasFreeSlot = false;

    auto operator<=>(const RunnerEstimate&) const = default;
};

// Estimates the time to first token of a request on one runner. Imports run while the prompt waits for the prefill of
// earlier requests, so a part import can be faster than both extremes.
// The result's runner name is left empty.
RunnerEstimate estimateOn(const RunnerSnapshot&, const QueuedRequest&, double cachedBlocks, const std::vector<ImportOption>&);

// Returns the best estimate over all runners that may run the request, free or not, or nothing if there is none. A busy
// runner with the prefix in its cache can win over a free one: the request then waits for it.
std::optional<RunnerEstimate> chooseRunner(const std::vector<RunnerSnapshot>&, const QueuedRequest&, const CachedBlocks&, const std::vector<ImportOption>&);

}
