#include "chiveshelf/placement/CacheRetention.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Announcements kept per model. Parts of versions older than all of them were freed long ago.
    constexpr std::size_t maxAnnouncements = 8;

}

void CacheRetention::onAnnounced(const std::string& model, std::uint64_t version, std::chrono::nanoseconds bootNow)
{
    auto& announcements = m_announcements[model];
    announcements.push_back({ version, bootNow, m_confirmedAt });
    if (announcements.size() <= maxAnnouncements)
        return;
    announcements.erase(announcements.begin());
    // Stands for the dropped ones, too, whose confirmations were earlier.
    announcements.front().confirmedBefore.reset();
}

void CacheRetention::confirm(std::int64_t clockMs)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(clockMs), clockMs);
}

const CacheRetention::Announcement* CacheRetention::firstNewer(const std::string& model, std::uint64_t version) const
{
    const auto it = m_announcements.find(model);
    if (it == m_announcements.end())
        return nullptr;
    const auto newer = std::upper_bound(it->second.begin(), it->second.end(), version, [](std::uint64_t lhs, const Announcement& rhs) { return lhs < rhs.version; });
    return newer == it->second.end() ? nullptr : &*newer;
}

std::optional<std::int64_t> CacheRetention::fetchEnd(const std::string& model, std::uint64_t version) const
{
    const auto* newer = firstNewer(model, version);
    const auto& confirmedAt = newer ? newer->confirmedBefore : m_confirmedAt;
    return confirmedAt ? std::optional(*confirmedAt + retentionTime.count()) : std::nullopt;
}

bool CacheRetention::mayFree(const std::string& model, std::uint64_t version, std::chrono::nanoseconds bootNow) const
{
    const auto* newer = firstNewer(model, version);
    return newer && bootNow - newer->learnedAt >= retentionTime + freeMargin;
}

}
