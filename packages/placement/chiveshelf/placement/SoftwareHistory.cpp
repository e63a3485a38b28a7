#include "chiveshelf/placement/SoftwareHistory.h"

namespace chiveshelf {

void SoftwareHistory::start(TimePoint now, bool isFirstStart)
{
    m_observedSince = isFirstStart ? TimePoint::min() : now;
}

void SoftwareHistory::onGap(TimePoint now)
{
    if (m_observedSince)
        m_observedSince = now;
}

void SoftwareHistory::observe(const std::map<std::string, RunnerRecord>& runners, TimePoint now)
{
    for (const auto& [id, runner] : runners)
        m_pools[runner.pool].lastSeen.insert_or_assign(runner.softwareVersion, now);
    for (auto& [name, pool] : m_pools)
        std::erase_if(pool.lastSeen, [&](const auto& entry) { return now - entry.second > m_lifetime; });
}

void SoftwareHistory::setRecord(const std::string& name, std::optional<SoftwareRecord> record, TimePoint now)
{
    auto& pool = m_pools[name];
    // When the recorded versions stopped serving is unknown, so that they count from now on.
    if (record) {
        for (const auto& version : record->versions)
            pool.lastSeen.emplace(version, now);
    }
    pool.record = std::move(record);
}

std::set<std::string> SoftwareHistory::versionsWithin(const Pool& pool, TimePoint now) const
{
    std::set<std::string> out;
    for (const auto& [version, lastSeen] : pool.lastSeen) {
        if (now - lastSeen <= m_lifetime)
            out.insert(version);
    }
    return out;
}

bool SoftwareHistory::isComplete(const Pool& pool, std::uint64_t era, TimePoint now) const
{
    if (!m_observedSince)
        return false;
    const bool hasObserved = *m_observedSince == TimePoint::min() || now - *m_observedSince >= m_lifetime;
    return hasObserved || (pool.record && pool.record->era == era);
}

std::optional<std::string> SoftwareHistory::onlyVersion(const std::string& name, std::uint64_t era, TimePoint now) const
{
    const auto it = m_pools.find(name);
    if (it == m_pools.end() || !isComplete(it->second, era, now))
        return std::nullopt;
    const auto versions = versionsWithin(it->second, now);
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

std::set<std::string> SoftwareHistory::versions(const std::string& name, TimePoint now) const
{
    const auto it = m_pools.find(name);
    return it == m_pools.end() ? std::set<std::string>() : versionsWithin(it->second, now);
}

std::map<std::string, SoftwareRecord> SoftwareHistory::missingRecords(std::uint64_t era, TimePoint now) const
{
    std::map<std::string, SoftwareRecord> out;
    for (const auto& [name, pool] : m_pools) {
        SoftwareRecord record { era, versionsWithin(pool, now) };
        if (!record.versions.empty() && isComplete(pool, era, now) && pool.record != record)
            out.emplace(name, std::move(record));
    }
    return out;
}

}
