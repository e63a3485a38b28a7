#include "chiveshelf/scheduling/CrashRegistry.h"

#include <algorithm>

namespace chiveshelf {

CrashRegistry::CrashRegistry(std::chrono::milliseconds lifetime, std::size_t capacity)
    : m_lifetime(lifetime)
    , m_capacity(capacity)
{
}

bool CrashRegistry::record(const std::string& fingerprint, const std::string& runner, TimePoint now)
{
    std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second.lastCrash > m_lifetime; });
    if (m_entries.size() >= m_capacity && !m_entries.contains(fingerprint)) {
        const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
            [](const auto& a, const auto& b) { return a.second.lastCrash < b.second.lastCrash; });
        m_entries.erase(oldest);
    }
    auto& entry = m_entries[fingerprint];
    if (!entry.runners.insert(runner).second)
        return false;
    entry.lastCrash = now;
    return true;
}

std::chrono::milliseconds CrashRegistry::remaining(const std::string& fingerprint, TimePoint now) const
{
    const auto it = m_entries.find(fingerprint);
    if (it == m_entries.end() || it->second.runners.size() < crashLimit)
        return std::chrono::milliseconds(0);
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(it->second.lastCrash + m_lifetime - now), std::chrono::milliseconds(0));
}

bool CrashRegistry::isQuarantined(const std::string& fingerprint, TimePoint now) const
{
    return remaining(fingerprint, now).count() > 0;
}

std::vector<std::string> CrashRegistry::quarantined(TimePoint now) const
{
    std::vector<std::string> out;
    for (const auto& [fingerprint, entry] : m_entries) {
        if (isQuarantined(fingerprint, now))
            out.push_back(fingerprint);
    }
    return out;
}

}
