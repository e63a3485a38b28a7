#include "chiveshelf/placement/RunnerRegistry.h"

#include <set>

namespace chiveshelf {

void RunnerRegistry::put(RunnerRecord record)
{
    m_pendingRemovals.erase(record.id);
    auto id = record.id;
    m_records.insert_or_assign(std::move(id), std::move(record));
}

void RunnerRegistry::remove(const std::string& id, TimePoint now)
{
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    // A runner that announced its shutdown does not register again.
    if (it->second.isLeaving || (now >= m_graceEnd && !m_lostAt)) {
        m_records.erase(it);
        m_pendingRemovals.erase(id);
        return;
    }
    m_pendingRemovals.emplace(id, m_lostAt ? TimePoint::max() : m_graceEnd);
}

void RunnerRegistry::replaceAll(const std::vector<RunnerRecord>& records, TimePoint now)
{
    std::set<std::string> listed;
    for (const auto& record : records) {
        listed.insert(record.id);
        put(record);
    }
    std::vector<std::string> missing;
    for (const auto& [id, record] : m_records) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now);
}

void RunnerRegistry::onContactLost(TimePoint now)
{
    if (!m_lostAt)
        m_lostAt = now;
}

void RunnerRegistry::onContactRegained(TimePoint now)
{
    if (!m_lostAt)
        return;
    if (now - *m_lostAt >= minOutage)
        m_graceEnd = now + reregistrationGrace;
    m_lostAt.reset();
    for (auto& [id, end] : m_pendingRemovals)
        end = std::min(end, std::max(m_graceEnd, now));
}

bool RunnerRegistry::expire(TimePoint now)
{
    bool hasExpired = false;
    for (auto it = m_pendingRemovals.begin(); it != m_pendingRemovals.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        m_records.erase(it->first);
        it = m_pendingRemovals.erase(it);
        hasExpired = true;
    }
    return hasExpired;
}

}
