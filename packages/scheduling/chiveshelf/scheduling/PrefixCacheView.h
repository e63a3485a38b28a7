#pragma once

#include "chiveshelf/scheduling/QueuedRequest.h"

#include <list>
#include <unordered_map>

namespace chiveshelf {

// What each runner probably still caches, guessed from the prompts sent there and corrected by the usage that runners
// report. Call sent() on dispatch, reported() at the end of a request, and lookup() for a decision.
class PrefixCacheView {
public:
    // `capacity` is the number of blocks that a runner's cache holds. A block unused for `halfLife` counts half.
    PrefixCacheView(std::size_t capacity, std::chrono::milliseconds halfLife);

    // Records that a runner will hold these blocks.
    void sent(const std::string& runner, const std::vector<std::string>& blocks, TimePoint now);

    // Corrects the view of a runner by what it found in its cache where `expectedBlocks` had been expected. A runner that
    // finds less, because it evicts earlier or its events were lost, is trusted less.
    void reported(const std::string& runner, double expectedBlocks, double cachedBlocks);

    // Forgets a runner, for instance because it restarted.
    void forget(const std::string& runner);

    // Returns the blocks of the prompt's prefix that each runner is expected to have; runners without any are left out.
    std::unordered_map<std::string, double> lookup(const std::vector<std::string>& blocks, TimePoint now) const;

    std::size_t blockCount(const std::string& runner) const;

private:
    struct Holding {
        TimePoint usedAt;
        std::list<std::string>::iterator place;
    };

    using Holders = std::unordered_map<std::string, Holding>;

    static const Holding* findHolding(const Holders&, const std::string& runner);
    void drop(const std::string& runner, const std::string& block);

    std::size_t m_capacity;
    std::chrono::milliseconds m_halfLife;
    // Holders by block: one look-up finds the few runners that matter, whatever the number of runners.
    std::unordered_map<std::string, Holders> m_holders;
    // Blocks of each runner, least recently used first.
    std::unordered_map<std::string, std::list<std::string>> m_blocks;
    // Share of the expected blocks that a runner really had, smoothed.
    std::unordered_map<std::string, double> m_trust;
};

}
