#include "chiveshelf/gateway/WatcherElection.h"

#include <algorithm>

namespace chiveshelf {

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
