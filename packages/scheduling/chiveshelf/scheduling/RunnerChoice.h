#pragma once

#include "chiveshelf/scheduling/QueuedRequest.h"

#include <optional>
#include <unordered_map>

namespace chiveshelf {

// Blocks of a prompt that runners could import from one store.
struct ImportOption {
    // The link with the lowest bandwidth between store and runner; imports are limited per link.
    std::string link;
    // Number of leading blocks of the prompt that the store has without a gap.
    std::size_t leadingBlocks = 0;
    // Speed that one more import would get at the present load of the link.
    double blocksPerSecond = 0;
    // Time until the link starts one more import.
    EstimatedTime linkWait { 0 };

    auto operator<=>(const ImportOption&) const = default;
};

// Expected cached blocks of a prompt's prefix by runner.
using CachedBlocks = std::unordered_map<std::string, double>;

// Returns the possible import of the request's stored prefix while `inFlight` other imports share the link. Empty if no blocks
// are stored.
std::vector<ImportOption> importOptions(const QueuedRequest&, std::size_t inFlight);

// Estimated time and work of one request on one runner.
struct RunnerEstimate {
    std::string runner;
    EstimatedTime firstToken { 0 };
    double cachedTokens = 0;
    std::int64_t computedTokens = 0;
    PlannedImport import;
    bool hasFreeSlot = false;

    auto operator<=>(const RunnerEstimate&) const = default;
};

// Estimates the time to first token of a request on one runner. An import runs while the prompt waits for the prefills of
// earlier requests, so importing some of the blocks can be faster than importing all or none.
// The result's runner name is left empty.
RunnerEstimate estimateOn(const RunnerSnapshot&, const QueuedRequest&, double cachedBlocks, const std::vector<ImportOption>&);

// Returns the best estimate over all runners that may run the request, with or without a free slot, or nullopt if there is no such
// runner. A busy runner with the prefix in its cache can be better than a free one; the request then waits for it.
std::optional<RunnerEstimate> chooseRunner(const std::vector<RunnerSnapshot>&, const QueuedRequest&, const CachedBlocks&, const std::vector<ImportOption>&);

}
