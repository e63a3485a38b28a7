#include "chiveshelf/placement/VersionHistory.h"

#include <algorithm>

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
    if (m_versions.size() > maxVersions)
        m_versions.erase(m_versions.begin());
    return true;
}

void VersionHistory::mergeAnnouncementTime(std::uint64_t version, std::chrono::nanoseconds since)
{
    const auto it = m_versions.find(version);
    // The store has only the newest version, so a host that has just started learns of earlier ones from other hosts.
    if (it == m_versions.end() && version < newest())
        m_versions.emplace(version, AnnouncedVersion { since, false });
    else if (it != m_versions.end() && (it->second.isEstimate || since < it->second.since))
        it->second = { since, false };
}

std::uint64_t VersionHistory::required(std::chrono::nanoseconds now, std::chrono::nanoseconds grace) const
{
    std::uint64_t out = 0;
    for (const auto& [version, announced] : m_versions) {
        if (now - announced.since >= grace)
            out = version;
    }
    return out;
}

std::optional<std::chrono::nanoseconds> VersionHistory::expiryOf(std::uint64_t version, std::chrono::nanoseconds grace) const
{
    std::optional<std::chrono::nanoseconds> out;
    for (auto it = m_versions.upper_bound(version); it != m_versions.end(); ++it)
        out = std::min(out.value_or(std::chrono::nanoseconds::max()), it->second.since + grace);
    return out;
}

}
