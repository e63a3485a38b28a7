#pragma once

#include "fakes/BlockData.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include <chrono>

namespace fakes {

// The block cache of a fake runner: a limited number of blocks with LRU eviction. Blocks that a running request holds are not
// evicted. Each change is an event; events become visible after a delay and some are lost, as on a real engine.
class PrefixCache {
public:
    PrefixCache(std::size_t limit, std::chrono::milliseconds eventDelay, int eventLossPercent, std::uint32_t seed);

    bool contains(const std::string& key) const { return m_blocks.contains(key); }

    // Returns the owner of a block, which must be cached.
    const BlockOwner& owner(const std::string& key) const { return m_blocks.at(key).owner; }

    // Prevents the eviction of a cached block until release().
    void hold(const std::string& key);
    void release(const std::string& key);

    // Adds a block, evicting another one if the cache is full. Returns false if all blocks are held.
    bool add(const std::string& key, const BlockOwner&);

    // Evicts all blocks that are not held.
    void clear();

    std::size_t freeBlocks() const { return m_limit - m_blocks.size(); }

    // Returns the visible events after sequence number `after`.
    nlohmann::json events(std::int64_t after) const;

private:
    using Clock = std::chrono::steady_clock;

    struct Block {
        BlockOwner owner;
        int holders = 0;
        std::uint64_t lastUse = 0;
    };

    struct Event {
        std::int64_t sequence = 0;
        Clock::time_point at;
        std::string type;
        std::string key;
    };

    bool evictOne();
    void recordEvent(std::string type, std::string key);

    std::size_t m_limit;
    std::chrono::milliseconds m_eventDelay;
    int m_eventLossPercent;
    std::mt19937 m_random;
    std::map<std::string, Block> m_blocks;
    std::uint64_t m_useCount = 0;
    std::int64_t m_sequence = 0;
    std::deque<Event> m_events;
};

}
