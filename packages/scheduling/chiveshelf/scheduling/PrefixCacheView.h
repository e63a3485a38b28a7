#pragma once

#include "chiveshelf/scheduling/QueuedRequest.h"

#include <list>
#include <unordered_map>

namespace chiveshelf {

// Estimates which prompt blocks each runner still caches, from the prompts sent to the runner and the cached tokens that it
// reports. Call promptSent() on dispatch, usageReported() at the end of a request, and lookup() for a decision.
class PrefixCacheView {
public:
    // `capacity` is the number of blocks that a runner's cache holds. A block unused for `halfLife` counts half.
    PrefixCacheView(std::size_t capacity, std::chrono::milliseconds halfLife);

    // Records that a runner will cache these blocks.
    void promptSent(const std::string& runner, const std::vector<std::string>& blocks, TimePoint now);

    // Updates the hit rate of a runner that found `cachedBlocks` in its cache where `expectedBlocks` were expected. A runner
    // that finds fewer, because it evicts earlier or its events were lost, gets lower estimates from then on.
    void usageReported(const std::string& runner, double expectedBlocks, double cachedBlocks);

    // Removes all blocks and the hit rate of a runner, for instance because it restarted.
    void removeRunner(const std::string& runner);

    // Returns the expected number of cached blocks of the prompt's prefix by runner. Runners without any are left out.
    std::unordered_map<std::string, double> lookup(const std::vector<std::string>& blocks, TimePoint now) const;

    std::size_t blockCount(const std::string& runner) const;

private:
    struct CacheEntry {
        TimePoint usedAt;
        std::list<std::string>::iterator position;
    };

    using EntriesByRunner = std::unordered_map<std::string, CacheEntry>;

    static const CacheEntry* findEntry(const EntriesByRunner&, const std::string& runner);
    void removeBlock(const std::string& runner, const std::string& block);

    std::size_t m_capacity;
    std::chrono::milliseconds m_halfLife;
    // Entries by block, then by runner: a look-up visits only the runners that cache the first block, not all runners.
    std::unordered_map<std::string, EntriesByRunner> m_entriesByBlock;
    // Blocks of each runner, least recently used first.
    std::unordered_map<std::string, std::list<std::string>> m_blocksByRunner;
    // Smoothed share of the expected blocks that a runner had in its cache.
    std::unordered_map<std::string, double> m_hitRates;
};

}
