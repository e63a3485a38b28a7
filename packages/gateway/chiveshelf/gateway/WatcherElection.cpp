#include "chiveshelf/gateway/WatcherElection.h"

#include <algorithm>

namespace chiveshelf {

void WatcherElection::onHeard(std::uint64_t host, TimePoint now)
{
    if (host <= m_host)
        return;
    m_heard[host] = now;
    std::erase_if(m_heard, [&](const auto& entry) { return now - entry.second > silenceLimit + longestDelay; });
}

bool WatcherElection::mustWatch(TimePoint now) const
{
    const std::chrono::milliseconds delay(static_cast<std::int64_t>(m_host % static_cast<std::uint64_t>(longestDelay.count())));
    const auto n = std::count_if(m_heard.begin(), m_heard.end(), [&](const auto& entry) { return now - entry.second <= silenceLimit + delay; });
    return static_cast<std::size_t>(n) < watcherCount;
}

}
