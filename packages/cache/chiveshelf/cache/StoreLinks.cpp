#include "chiveshelf/cache/StoreLinks.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Maximum number of exports in flight from this host to one store.
    constexpr int maximumExports = 1;
    // Pause of a link after its first failure.
    constexpr auto firstFailurePause = std::chrono::milliseconds(250);
    // Pause of exports after the first rejection by a full store.
    constexpr auto firstFullPause = std::chrono::milliseconds(2'000);
    // Maximum number of doublings of a pause, which limits it to 8 s after failures and 64 s for a full store.
    constexpr int maximumDoublings = 5;
    // An export slower than this fraction of the best speed is taken to share the link with other hosts.
    constexpr double sharedLinkSpeedRatio = 0.5;
    // Pause of exports after such an export, as a multiple of its duration.
    constexpr int sharedLinkPauseFactor = 4;
    // Factor applied to the best speed with each export, so that a link that has become permanently slower does not count as
    // shared forever.
    constexpr double bestSpeedDecay = 0.95;
    // Weight of the newest measurement in the moving average of the speed.
    constexpr double newestSpeedWeight = 0.3;

    StoreLinks::Clock::duration backoff(std::chrono::milliseconds first, int count)
    {
        return first * (1 << std::min(count - 1, maximumDoublings));
    }

}

bool StoreLinks::isUsable(const Address& store, Clock::time_point now) const
{
    const auto it = m_links.find(store);
    return it == m_links.end() || now >= it->second.pausedUntil;
}

bool StoreLinks::isBusy(const Address& store, Clock::time_point now) const
{
    const auto it = m_links.find(store);
    return it != m_links.end() && (*it->second.activeImports > 0 || now < it->second.busyUntil);
}

bool StoreLinks::isIdle(const Address& store, Clock::time_point now) const
{
    const auto it = m_links.find(store);
    if (it == m_links.end())
        return true;
    const auto& link = it->second;
    return now >= link.pausedUntil && now >= link.fullUntil && !isBusy(store, now) && *link.activeExports < maximumExports;
}

void StoreLinks::recordSuccess(const Address& store)
{
    m_links[store].failures = 0;
}

void StoreLinks::recordFailure(const Address& store, Clock::time_point now)
{
    auto& link = m_links[store];
    link.pausedUntil = now + backoff(firstFailurePause, ++link.failures);
}

void StoreLinks::recordFull(const Address& store, Clock::time_point now)
{
    auto& link = m_links[store];
    link.fullUntil = now + backoff(firstFullPause, ++link.fullRefusals);
}

void StoreLinks::recordStored(const Address& store)
{
    m_links[store].fullRefusals = 0;
}

void StoreLinks::recordTransfer(const Address& store, std::int64_t bytes, Clock::duration time)
{
    const auto seconds = std::chrono::duration<double>(time).count();
    if (bytes <= 0 || seconds <= 0)
        return;
    auto& link = m_links[store];
    const auto speed = static_cast<double>(bytes) / seconds;
    link.bytesPerSecond = link.bytesPerSecond ? *link.bytesPerSecond * (1 - newestSpeedWeight) + speed * newestSpeedWeight : speed;
}

void StoreLinks::recordExport(const Address& store, std::int64_t bytes, Clock::duration time, Clock::time_point now)
{
    recordTransfer(store, bytes, time);
    const auto seconds = std::chrono::duration<double>(time).count();
    if (bytes <= 0 || seconds <= 0)
        return;
    auto& link = m_links[store];
    const auto speed = static_cast<double>(bytes) / seconds;
    if (speed < link.bestBytesPerSecond * sharedLinkSpeedRatio)
        link.busyUntil = now + time * sharedLinkPauseFactor;
    link.bestBytesPerSecond = std::max(speed, link.bestBytesPerSecond * bestSpeedDecay);
}

std::optional<double> StoreLinks::bytesPerSecond(const Address& store) const
{
    const auto it = m_links.find(store);
    return it == m_links.end() ? std::nullopt : it->second.bytesPerSecond;
}

int StoreLinks::importsInFlight(const Address& store) const
{
    const auto it = m_links.find(store);
    return it == m_links.end() ? 0 : *it->second.activeImports;
}

std::shared_ptr<void> StoreLinks::countInFlight(const std::shared_ptr<int>& counter)
{
    ++*counter;
    return { nullptr, [counter](void*) { --*counter; } };
}

std::shared_ptr<void> StoreLinks::beginImport(const Address& store)
{
    return countInFlight(m_links[store].activeImports);
}

std::shared_ptr<void> StoreLinks::beginExport(const Address& store)
{
    return countInFlight(m_links[store].activeExports);
}

}
