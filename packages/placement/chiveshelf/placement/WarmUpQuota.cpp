#include "chiveshelf/placement/WarmUpQuota.h"

#include "chiveshelf/core/Hash.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    // Time over which the requests to a runner are counted.
    constexpr std::chrono::seconds window { 1 };
    // Share of the bound that the hosts use. While a change of the list of hosts spreads, two sets of hosts may send.
    constexpr double boundShare = 0.5;

    std::uint64_t rendezvousScore(std::uint64_t host, std::uint32_t runner)
    {
        return hash64(std::string_view(reinterpret_cast<const char*>(&host), sizeof(host)), runner);
    }

}

double WarmUpQuota::usedRate(double bound)
{
    return std::max(std::floor(bound * boundShare), 0.0);
}

std::size_t WarmUpQuota::shareOf(double bound, std::uint32_t runner, std::uint64_t host, const std::set<std::uint64_t>& others)
{
    const auto total = static_cast<std::size_t>(usedRate(bound));
    const auto holders = std::min({ others.size() + 1, maxHolders, total });
    const auto own = rendezvousScore(host, runner);
    const auto position = static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](auto other) { return rendezvousScore(other, runner) > own; }));
    if (position >= holders)
        return 0;
    return total / holders + (position < total % holders ? 1 : 0);
}

std::size_t WarmUpQuota::recentSends(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_sends.begin(), m_sends.end(), [&](auto at) { return at > now - window; }));
}

bool WarmUpQuota::hasRoom(TimePoint now) const
{
    return recentSends(now) + m_reserved < m_share;
}

std::optional<TimePoint> WarmUpQuota::nextRoomAt(TimePoint now) const
{
    if (m_share == 0)
        return std::nullopt;
    if (hasRoom(now))
        return now;
    const auto oldest = std::find_if(m_sends.begin(), m_sends.end(), [&](auto at) { return at > now - window; });
    return (oldest == m_sends.end() ? now : *oldest) + window;
}

void WarmUpQuota::recordSend(TimePoint now)
{
    while (!m_sends.empty() && m_sends.front() <= now - window)
        m_sends.pop_front();
    m_sends.push_back(now);
}

}
