#include "chiveshelf/gateway/WatcherElection.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chiveshelf {

namespace {

    // Link and processor of the slowest class: those of the smallest hosts that serve.
    constexpr double unitMbps = 10;
    constexpr double unitShare = 0.1;

}

std::uint64_t WatcherElection::rank(std::uint64_t hash, double linkMbps, double cpuShare)
{
    constexpr int classBits = 4;
    constexpr int hashBits = std::numeric_limits<std::uint64_t>::digits - classBits;
    // Each class has twice the speed of the one below. The slower of link and processor counts.
    const auto speed = std::min(linkMbps / unitMbps, cpuShare / unitShare);
    const auto speedClass = std::clamp(std::floor(std::log2(std::max(speed, 1.0))), 0.0, static_cast<double>((1 << classBits) - 1));
    return (static_cast<std::uint64_t>(speedClass) << hashBits) | (hash >> classBits);
}

void WatcherElection::onNotice(std::uint64_t host, TimePoint now)
{
    if (host <= m_host)
        return;
    m_lastNoticeAt[host] = now;
    std::erase_if(m_lastNoticeAt, [&](const auto& entry) { return now - entry.second > silenceLimit + maxDelay; });
}

bool WatcherElection::mustWatch(TimePoint now) const
{
    const std::chrono::milliseconds delay(static_cast<std::int64_t>(m_host % static_cast<std::uint64_t>(maxDelay.count())));
    const auto n = std::count_if(m_lastNoticeAt.begin(), m_lastNoticeAt.end(), [&](const auto& entry) { return now - entry.second <= silenceLimit + delay; });
    return static_cast<std::size_t>(n) < watcherCount;
}

}
