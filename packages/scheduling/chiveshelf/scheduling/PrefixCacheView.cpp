#include "chiveshelf/scheduling/PrefixCacheView.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    constexpr double trustGain = 0.25;
    // A view that is never believed would never be tested again.
    constexpr double minimumTrust = 0.1;

}

PrefixCacheView::PrefixCacheView(std::size_t capacity, std::chrono::milliseconds halfLife)
    : m_capacity(capacity)
    , m_halfLife(halfLife)
{
}

const PrefixCacheView::Holding* PrefixCacheView::findHolding(const Holders& holders, const std::string& runner)
{
    const auto it = holders.find(runner);
    return it == holders.end() ? nullptr : &it->second;
}

void PrefixCacheView::sent(const std::string& runner, const std::vector<std::string>& blocks, TimePoint now)
{
    auto& order = m_blocks[runner];
    // Runners evict from the end of a prompt, so the first block is the most recently used.
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
        drop(runner, *it);
        order.push_back(*it);
        m_holders[*it][runner] = { now, std::prev(order.end()) };
    }
    while (order.size() > m_capacity)
        drop(runner, std::string(order.front()));
}

void PrefixCacheView::drop(const std::string& runner, const std::string& block)
{
    const auto holders = m_holders.find(block);
    if (holders == m_holders.end())
        return;
    const auto it = holders->second.find(runner);
    if (it == holders->second.end())
        return;
    m_blocks[runner].erase(it->second.place);
    holders->second.erase(it);
    if (holders->second.empty())
        m_holders.erase(holders);
}

void PrefixCacheView::reported(const std::string& runner, double expectedBlocks, double cachedBlocks)
{
    // Less than half a block expected says nothing about the view.
    if (expectedBlocks < 0.5)
        return;
    const auto found = std::clamp(cachedBlocks / expectedBlocks, 0.0, 1.0);
    auto& trust = m_trust.emplace(runner, 1.0).first->second;
    trust = std::max(trust + trustGain * (found - trust), minimumTrust);
}

void PrefixCacheView::forget(const std::string& runner)
{
    const auto it = m_blocks.find(runner);
    if (it == m_blocks.end())
        return;
    while (!it->second.empty())
        drop(runner, std::string(it->second.front()));
    m_blocks.erase(it);
    m_trust.erase(runner);
}

std::unordered_map<std::string, double> PrefixCacheView::lookup(const std::vector<std::string>& blocks, TimePoint now) const
{
    std::unordered_map<std::string, double> out;
    const auto first = blocks.empty() ? m_holders.end() : m_holders.find(blocks.front());
    if (first == m_holders.end())
        return out;
    const std::chrono::duration<double> halfLife = m_halfLife;
    for (const auto& [runner, unused] : first->second) {
        double expected = 0;
        // Only a prefix without a gap counts.
        for (const auto& block : blocks) {
            const auto holders = m_holders.find(block);
            const auto holding = holders == m_holders.end() ? nullptr : findHolding(holders->second, runner);
            if (!holding)
                break;
            const std::chrono::duration<double> age = now - holding->usedAt;
            expected += std::exp2(-age.count() / halfLife.count());
        }
        const auto trust = m_trust.find(runner);
        out[runner] = expected * (trust == m_trust.end() ? 1.0 : trust->second);
    }
    return out;
}

std::size_t PrefixCacheView::blockCount(const std::string& runner) const
{
    const auto it = m_blocks.find(runner);
    return it == m_blocks.end() ? 0 : it->second.size();
}

}
