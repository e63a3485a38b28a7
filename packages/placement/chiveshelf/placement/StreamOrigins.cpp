#include "chiveshelf/placement/StreamOrigins.h"

#include "chiveshelf/core/Hash.h"

#include <algorithm>

namespace chiveshelf {

SoftwareId softwareOf(std::string_view pool, std::string_view version)
{
    // 0 stands for a disputed origin.
    return hash64(version, hash64(pool)) | 1;
}

SoftwareId softwareOf(const RunnerRecord& runner)
{
    return softwareOf(runner.pool, runner.softwareVersion);
}

std::optional<StreamOrigin> StreamOrigins::record(StreamOrigin origin, TimePoint now)
{
    const auto [it, isNew] = m_records.try_emplace(origin.stream, Record { origin.software, now });
    if (isNew) {
        if (m_records.size() > maxStreams)
            expire(now);
        return origin;
    }
    auto& record = it->second;
    const bool isAlive = now - record.recordedAt <= m_lifetime;
    const auto previous = record.software;
    if (isAlive && previous != origin.software)
        record.software = disputed;
    else
        record.software = origin.software;
    record.recordedAt = now;
    if (isAlive && record.software == previous)
        return std::nullopt;
    return StreamOrigin { origin.stream, record.software };
}

std::optional<StreamOrigin> StreamOrigins::recordOf(std::uint64_t stream, TimePoint now) const
{
    const auto it = m_records.find(stream);
    if (it == m_records.end() || now - it->second.recordedAt > m_lifetime)
        return std::nullopt;
    return StreamOrigin { stream, it->second.software };
}

void StreamOrigins::expire(TimePoint now)
{
    std::erase_if(m_records, [&](const auto& entry) { return now - entry.second.recordedAt > m_lifetime; });
    while (m_records.size() > maxStreams) {
        const auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) { return a.second.recordedAt < b.second.recordedAt; });
        m_records.erase(oldest);
    }
}

}
