#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/HostContacts.h"
#include "chiveshelf/placement/RunnerRecord.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chiveshelf {

// Runners listed in the registry. An entry that expires while the registry is unreachable is kept for a grace time, since its
// runner may be alive and register again after the outage.
//
// An entry that is removed while this host alone is out of contact has no grace time: its runner has left, and ends soon. Two things show
// that the entries of a data centre did not expire: a host there had contact with the registry all the while, or an entry from there has
// existed throughout an outage in which it would have expired if it had not been renewed.
//
// A registry that was restored from an older copy lists former states of runners, and runners that have left since. What is known of a
// runner never goes back: its entries are ordered by the time of its start and its count of reports.
//
// Handles the load patterns "the store is unreachable for seconds and has lost most entries afterwards" and "one host is cut from the
// store while runners are replaced".
class RunnerRegistry {
public:
    // Time after an outage for which missing entries are kept. Live runners register again within two seconds; the rest covers the
    // propagation of the entry.
    static constexpr std::chrono::milliseconds reregistrationGrace { 2'200 };
    // Shorter outages have no grace time, since no entries expire in them.
    static constexpr std::chrono::milliseconds minOutage { 1'000 };

    // Time for which removed runners are remembered. Much longer than the age of a copy from which the registry is restored.
    static constexpr std::chrono::minutes departureMemory { 2 };

    // `entryLifetime` is the time after which an entry expires if its runner doesn't renew it.
    explicit RunnerRegistry(std::chrono::milliseconds entryLifetime = std::chrono::milliseconds(3'600))
        : m_entryLifetime(entryLifetime)
    {
    }

    // Adds or replaces an entry. Returns false if it is older than what is known of its runner; it is ignored then.
    bool put(RunnerRecord);

    // Removes an entry, at once or after the grace time.
    void remove(const std::string& id, TimePoint now);

    // Replaces all entries by a full listing. `kept` has the ids of those that have existed since before contact was last lost. Returns
    // the listed entries of runners that are known to leave or to have left, though the listing shows them as before.
    std::vector<RunnerRecord> replaceAll(const std::vector<RunnerRecord>&, TimePoint now, const std::set<std::string>& kept = {});

    // Records that the registry was restored from an older copy: runners that it lacks register again within the grace time.
    void onRestored(TimePoint now) { m_restoreGraceEnd = std::max(m_restoreGraceEnd, now + reregistrationGrace); }

    // Records that a call to the registry failed, which was sent at `sentAt`.
    void onCallFailed(TimePoint sentAt, TimePoint now);

    // Records that calls to the registry fail.
    void onContactLost(TimePoint now) { onCallFailed(now, now); }

    // Records that the registry answers again.
    void onContactRegained(TimePoint now);

    // Removes the entries whose grace time has ended. Returns whether there were any.
    bool expire(TimePoint now);

    const std::map<std::string, RunnerRecord>& records() const { return m_records; }

    // Number of entries that are missing and kept for the grace time.
    std::size_t deferredRemovals() const { return m_pendingRemovals.size(); }

    // The contact of the other hosts with the registry.
    HostContacts& hostContacts() { return m_hostContacts; }

private:
    // A removed runner, as far as later entries are compared with it.
    struct Departure {
        RunnerRecord record;
        TimePoint forgottenAt;
    };

    void erase(const std::string& id, TimePoint now);
    // Whether an entry that is missing shows that its runner has left, not only that it could not be renewed.
    bool hasLeft(const RunnerRecord&, TimePoint now) const;
    // Whether another entry of the runner's data centre was renewed during the last outage.
    bool hasRenewedNeighbour(const RunnerRecord&) const;
    // Whether an entry is older than what is known of its runner.
    bool isOutdated(const RunnerRecord&) const;

    std::map<std::string, RunnerRecord> m_records;
    std::map<std::string, Departure> m_departures;
    // Missing entries by id, with the time at which they are removed.
    std::map<std::string, TimePoint> m_pendingRemovals;
    std::optional<TimePoint> m_lostAt;
    // When the last call that failed was sent.
    TimePoint m_lastFailedCall {};
    // Start of the last outage, and the time for which the registry was certainly out of reach.
    TimePoint m_outageStart {};
    std::chrono::nanoseconds m_certainOutage { 0 };
    // End of the grace time after the last outage, and after the registry was restored.
    TimePoint m_graceEnd {};
    TimePoint m_restoreGraceEnd {};
    // Ids of entries that were renewed during the last outage, by data centre.
    std::map<std::string, std::set<std::string>> m_renewedEntries;
    HostContacts m_hostContacts;
    std::chrono::milliseconds m_entryLifetime;
};

}
