#include "fakes/PrefixCache.h"

#include <nlohmann/json.hpp>

namespace fakes {

namespace {

    constexpr std::size_t maximumEvents = 10'000;

}

PrefixCache::PrefixCache(std::size_t limit, std::chrono::milliseconds eventDelay, int eventLossPercent, std::uint32_t seed)
    : m_limit(limit)
    , m_eventDelay(eventDelay)
    , m_eventLossPercent(eventLossPercent)
    , m_random(seed)
{
}

void PrefixCache::hold(const std::string& key)
{
    auto& block = m_blocks.at(key);
    ++block.holders;
    block.lastUse = ++m_useCount;
}

void PrefixCache::release(const std::string& key)
{
    const auto it = m_blocks.find(key);
    if (it != m_blocks.end())
        --it->second.holders;
}

bool PrefixCache::add(const std::string& key, const BlockOwner& owner)
{
    if (m_blocks.contains(key))
        return true;
    if (m_blocks.size() >= m_limit && !evictOne())
        return false;
    m_blocks[key] = { owner, 0, ++m_useCount };
    recordEvent("stored", key);
    return true;
}

bool PrefixCache::evictOne()
{
    auto leastRecentlyUsed = m_blocks.end();
    for (auto it = m_blocks.begin(); it != m_blocks.end(); ++it) {
        if (it->second.holders == 0 && (leastRecentlyUsed == m_blocks.end() || it->second.lastUse < leastRecentlyUsed->second.lastUse))
            leastRecentlyUsed = it;
    }
    if (leastRecentlyUsed == m_blocks.end())
        return false;
    recordEvent("removed", leastRecentlyUsed->first);
    m_blocks.erase(leastRecentlyUsed);
    return true;
}

void PrefixCache::clear()
{
    while (evictOne()) {
    }
}

void PrefixCache::recordEvent(std::string type, std::string key)
{
    ++m_sequence;
    // A lost event leaves a gap in the sequence numbers.
    if (static_cast<int>(m_random() % 100) < m_eventLossPercent)
        return;
    m_events.push_back({ m_sequence, Clock::now(), std::move(type), std::move(key) });
    if (m_events.size() > maximumEvents)
        m_events.pop_front();
}

nlohmann::json PrefixCache::events(std::int64_t after) const
{
    auto out = nlohmann::json::array();
    const auto newestVisibleTime = Clock::now() - m_eventDelay;
    for (const auto& event : m_events) {
        if (event.sequence > after && event.at <= newestVisibleTime)
            out.push_back({ { "sequence", event.sequence }, { "type", event.type }, { "key", event.key } });
    }
    return out;
}

}
