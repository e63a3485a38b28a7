#include "chiveshelf/placement/RunnerRegistry.h"

namespace chiveshelf {

namespace {

    // Whether an entry of a runner is older than another. Entries that don't tell their runner's start can't be compared.
    bool isBefore(const RunnerRecord& record, const RunnerRecord& other)
    {
        return record.bornMs != 0 && other.bornMs != 0 && std::pair(record.bornMs, record.sequence) < std::pair(other.bornMs, other.sequence);
    }

}

bool RunnerRegistry::isOutdated(const RunnerRecord& record) const
{
    const auto present = m_records.find(record.id);
    if (present != m_records.end())
        return isBefore(record, present->second);
    // The last entry of a removed runner is no news either. One that is alive has counted on when it registers again.
    const auto departed = m_departures.find(record.id);
    return departed != m_departures.end() && record.bornMs != 0 && !isBefore(departed->second.record, record);
}

bool RunnerRegistry::put(RunnerRecord record)
{
    m_pendingRemovals.erase(record.id);
    if (isOutdated(record))
        return false;
    m_departures.erase(record.id);
    auto id = record.id;
    m_records.insert_or_assign(std::move(id), std::move(record));
    return true;
}

void RunnerRegistry::erase(const std::string& id, TimePoint now)
{
    auto node = m_records.extract(id);
    if (node.empty())
        return;
    m_renewedEntries[node.mapped().dataCentre].erase(id);
    m_departures.insert_or_assign(id, Departure { std::move(node.mapped()), now + departureMemory });
}

bool RunnerRegistry::hasRenewedNeighbour(const RunnerRecord& record) const
{
    const auto it = m_renewedEntries.find(record.dataCentre);
    if (it == m_renewedEntries.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const auto& id) { return id != record.id && !m_pendingRemovals.contains(id); });
}

bool RunnerRegistry::hasLeft(const RunnerRecord& record, TimePoint now) const
{
    // A runner that announced its shutdown does not register again.
    if (record.isLeaving)
        return true;
    if (now < m_restoreGraceEnd)
        return false;
    const auto outageStart = m_lostAt.value_or(m_outageStart);
    if (!m_lostAt && now >= m_graceEnd)
        return true;
    return m_hostContacts.hasContactAcross(record.dataCentre, outageStart) || (!m_lostAt && hasRenewedNeighbour(record));
}

void RunnerRegistry::remove(const std::string& id, TimePoint now)
{
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    if (hasLeft(it->second, now)) {
        m_pendingRemovals.erase(id);
        erase(id, now);
        return;
    }
    m_pendingRemovals.emplace(id, m_lostAt ? TimePoint::max() : std::max(m_graceEnd, m_restoreGraceEnd));
}

std::vector<RunnerRecord> RunnerRegistry::replaceAll(const std::vector<RunnerRecord>& records, TimePoint now, const std::set<std::string>& kept)
{
    m_renewedEntries.clear();
    std::set<std::string> listed;
    std::vector<RunnerRecord> left;
    for (const auto& record : records) {
        listed.insert(record.id);
        if (m_certainOutage >= m_entryLifetime && kept.contains(record.id))
            m_renewedEntries[record.dataCentre].insert(record.id);
        if (put(record) || record.isLeaving)
            continue;
        const auto it = m_records.find(record.id);
        if (it == m_records.end() || it->second.isLeaving)
            left.push_back(record);
    }
    std::vector<std::string> missing;
    for (const auto& [id, record] : m_records) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now);
    return left;
}

void RunnerRegistry::onCallFailed(TimePoint sentAt, TimePoint now)
{
    if (!m_lostAt)
        m_lostAt = now;
    m_lastFailedCall = sentAt;
}

void RunnerRegistry::onContactRegained(TimePoint now)
{
    if (!m_lostAt)
        return;
    if (now - *m_lostAt >= minOutage)
        m_graceEnd = now + reregistrationGrace;
    m_outageStart = *m_lostAt;
    m_certainOutage = std::max(m_lastFailedCall - *m_lostAt, std::chrono::nanoseconds(0));
    m_renewedEntries.clear();
    m_lostAt.reset();
    for (auto& [id, end] : m_pendingRemovals)
        end = std::min(end, std::max({ m_graceEnd, m_restoreGraceEnd, now }));
}

bool RunnerRegistry::expire(TimePoint now)
{
    std::erase_if(m_departures, [&](const auto& entry) { return entry.second.forgottenAt <= now; });
    bool hasExpired = false;
    for (auto it = m_pendingRemovals.begin(); it != m_pendingRemovals.end();) {
        const auto record = m_records.find(it->first);
        const bool isOver = it->second <= now || record == m_records.end() || hasLeft(record->second, now);
        if (!isOver) {
            ++it;
            continue;
        }
        erase(it->first, now);
        it = m_pendingRemovals.erase(it);
        hasExpired = true;
    }
    return hasExpired;
}

}
