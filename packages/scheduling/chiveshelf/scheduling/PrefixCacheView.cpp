#include "chiveshelf/scheduling/PrefixCacheView.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    constexpr double hitRateSmoothingFactor = 0.25;
    // With a hit rate of 0 no blocks would be expected on the runner, so that the rate would never be updated again.
    constexpr double minimumHitRate = 0.1;

}

PrefixCacheView::PrefixCacheView(std::size_t capacity, std::chrono::milliseconds halfLife)
    : m_capacity(capacity)
    , m_halfLife(halfLife)
{
}

const PrefixCacheView::CacheEntry* PrefixCacheView::findEntry(const EntriesByRunner& entries, const std::string& runner)
{
    const auto it = entries.find(runner);
    return it == entries.end() ? nullptr : &it->second;
}

void PrefixCacheView::promptSent(const std::string& runner, const std::vector<std::string>& blocks, TimePoint now)
{
    auto& lruOrder = m_blocksByRunner[runner];
    // Runners evict from the end of a prompt, so the first block is the most recently used.
    for (auto it = blocks.rbegin(); it != blocks.rend(); ++it) {
        removeBlock(runner, *it);
        lruOrder.push_back(*it);
        m_entriesByBlock[*it][runner] = { now, std::prev(lruOrder.end()) };
    }
    while (lruOrder.size() > m_capacity)
        removeBlock(runner, std::string(lruOrder.front()));
}

void PrefixCacheView::removeBlock(const std::string& runner, const std::string& block)
{
    const auto entries = m_entriesByBlock.find(block);
    if (entries == m_entriesByBlock.end())
        return;
    const auto it = entries->second.find(runner);
    if (it == entries->second.end())
        return;
    m_blocksByRunner[runner].erase(it->second.position);
    entries->second.erase(it);
    if (entries->second.empty())
        m_entriesByBlock.erase(entries);
}

void PrefixCacheView::usageReported(const std::string& runner, double expectedBlocks, double cachedBlocks)
{
    // An expectation of less than half a block is too small to measure the hit rate.
    if (expectedBlocks < 0.5)
        return;
    const auto found = std::clamp(cachedBlocks / expectedBlocks, 0.0, 1.0);
    auto& hitRate = m_hitRates.emplace(runner, 1.0).first->second;
    hitRate = std::max(hitRate + hitRateSmoothingFactor * (found - hitRate), minimumHitRate);
}

void PrefixCacheView::removeRunner(const std::string& runner)
{
    const auto it = m_blocksByRunner.find(runner);
    if (it == m_blocksByRunner.end())
        return;
    while (!it->second.empty())
        removeBlock(runner, std::string(it->second.front()));
    m_blocksByRunner.erase(it);
    m_hitRates.erase(runner);
}

std::unordered_map<std::string, double> PrefixCacheView::lookup(const std::vector<std::string>& blocks, TimePoint now) const
{
    std::unordered_map<std::string, double> out;
    const auto first = blocks.empty() ? m_entriesByBlock.end() : m_entriesByBlock.find(blocks.front());
    if (first == m_entriesByBlock.end())
        return out;
    const std::chrono::duration<double> halfLife = m_halfLife;
    for (const auto& [runner, unused] : first->second) {
        double expected = 0;
        // Blocks after a gap cannot be used.
        for (const auto& block : blocks) {
            const auto entries = m_entriesByBlock.find(block);
            const auto entry = entries == m_entriesByBlock.end() ? nullptr : findEntry(entries->second, runner);
            if (!entry)
                break;
            const std::chrono::duration<double> age = now - entry->usedAt;
            expected += std::exp2(-age.count() / halfLife.count());
        }
        const auto hitRate = m_hitRates.find(runner);
        out[runner] = expected * (hitRate == m_hitRates.end() ? 1.0 : hitRate->second);
    }
    return out;
}

std::size_t PrefixCacheView::blockCount(const std::string& runner) const
{
    const auto it = m_blocksByRunner.find(runner);
    return it == m_blocksByRunner.end() ? 0 : it->second.size();
}

}
