#include "chiveshelf/placement/VersionHistory.h"

#include <algorithm>
#include <iterator>

namespace chiveshelf {

namespace {

    // Number of stored versions. Older ones have expired everywhere.
    constexpr std::size_t maxVersions = 8;

}

bool VersionHistory::add(std::uint64_t version, AnnouncedVersion announced)
{
    if (version <= newest())
        return false;
    m_versions.emplace(version, announced);
    while (m_versions.size() > maxVersions) {
        const auto dropped = m_versions.begin()->second;
        m_versions.erase(m_versions.begin());
        // Weights older than the dropped version still expire with it.
        auto& missedSince = m_versions.begin()->second.missedSince;
        missedSince = std::min({ missedSince.value_or(dropped.since), dropped.missedSince.value_or(dropped.since), dropped.since });
    }
    return true;
}

bool VersionHistory::mergeAnnouncementTime(std::uint64_t version, std::chrono::nanoseconds since)
{
    const auto it = m_versions.lower_bound(version);
    if (it == m_versions.end())
        return false;
    // The store has only the newest version, so a host that has just started learns of earlier ones from other hosts.
    if (it->first != version) {
        m_versions.emplace_hint(it, version, AnnouncedVersion { since, false, it->second.missedSince });
        return true;
    }
    auto& announced = it->second;
    const bool wasEstimate = announced.isEstimate;
    if (wasEstimate || since < announced.since)
        announced = { since, false, announced.missedSince };
    return wasEstimate;
}

bool VersionHistory::mayLackVersionBefore(Versions::const_iterator it) const
{
    const auto previous = it == m_versions.begin() ? 0 : std::prev(it)->first;
    return it->second.missedSince && previous + 1 < it->first;
}

std::uint64_t VersionHistory::required(std::chrono::nanoseconds now, std::chrono::nanoseconds grace) const
{
    std::uint64_t out = 0;
    for (auto it = m_versions.begin(); it != m_versions.end(); ++it) {
        const auto& [version, announced] = *it;
        if (now - announced.since >= grace)
            out = version;
        else if (mayLackVersionBefore(it) && now - *announced.missedSince >= grace)
            out = std::max(out, version - 1);
    }
    return out;
}

std::optional<std::chrono::nanoseconds> VersionHistory::expiryOf(std::uint64_t version, std::chrono::nanoseconds grace) const
{
    std::optional<std::chrono::nanoseconds> out;
    const auto next = m_versions.upper_bound(version);
    if (next != m_versions.end() && next->second.missedSince && version + 1 < next->first)
        out = *next->second.missedSince + grace;
    for (auto it = next; it != m_versions.end(); ++it)
        out = std::min(out.value_or(std::chrono::nanoseconds::max()), it->second.since + grace);
    return out;
}

}
