#include "chiveshelf/placement/VersionHistory.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Versions that are remembered; older ones are past their time.
    constexpr std::size_t mostVersions = 8;

}

bool VersionHistory::add(std::uint64_t version, AnnouncedVersion named)
{
    if (version <= newest())
        return false;
    m_versions.emplace(version, named);
    if (m_versions.size() > mostVersions)
        m_versions.erase(m_versions.begin());
    return true;
}

void VersionHistory::acceptSince(std::uint64_t version, std::chrono::nanoseconds since)
{
    const auto it = m_versions.find(version);
    // The store keeps the newest version only, so that a host that has just started hears of the ones before from others.
    if (it == m_versions.end() && version < newest())
        m_versions.emplace(version, AnnouncedVersion { since, false });
    else if (it != m_versions.end() && (it->second.isEstimate || since < it->second.since))
        it->second = { since, false };
}

std::uint64_t VersionHistory::required(std::chrono::nanoseconds now, std::chrono::nanoseconds grace) const
{
    std::uint64_t out = 0;
    for (const auto& [version, named] : m_versions) {
        if (now - named.since >= grace)
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
