#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/RunnerRecord.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace chiveshelf {

// Runners listed in the registry. An entry that expires while the registry is unreachable is kept for a grace time, since its
// runner may be alive and register again after the outage.
//
// A registry that was restored from an older copy lists former states of runners, and runners that have left since. What is known of a
// runner never goes back: its entries are ordered by the time of its start and its count of reports.
//
// Handles the load pattern "the store is unreachable for seconds and has lost most entries afterwards".
class RunnerRegistry {
public:
    // Time after an outage for which missing entries are kept. Live runners register again within two seconds; the rest covers the
    // propagation of the entry.
    static constexpr std::chrono::milliseconds reregistrationGrace { 2'200 };
    // Shorter outages have no grace time, since no entries expire in them.
    static constexpr std::chrono::milliseconds minOutage { 1'000 };

    // Time for which removed runners are remembered. Much longer than the age of a copy from which the registry is restored.
    static constexpr std::chrono::minutes departureMemory { 2 };

    // Adds or replaces an entry. Returns false if it is older than what is known of its runner; it is ignored then.
    bool put(RunnerRecord);

    // Removes an entry, at once or after the grace time.
    void remove(const std::string& id, TimePoint now);

    // Replaces all entries by a full listing. Returns the listed entries of runners that are known to leave or to have left, though
    // the listing shows them as before.
    std::vector<RunnerRecord> replaceAll(const std::vector<RunnerRecord>&, TimePoint now);

    // Records that the registry was restored from an older copy: runners that it lacks register again within the grace time.
    void onRestored(TimePoint now) { m_graceEnd = std::max(m_graceEnd, now + reregistrationGrace); }

    // Records that calls to the registry fail.
    void onContactLost(TimePoint now);

    // Records that the registry answers again.
    void onContactRegained(TimePoint now);

    // Removes the entries whose grace time has ended. Returns whether there were any.
    bool expire(TimePoint now);

    const std::map<std::string, RunnerRecord>& records() const { return m_records; }

private:
    // A removed runner, as far as later entries are compared with it.
    struct Departure {
        RunnerRecord record;
        TimePoint forgottenAt;
    };

    void erase(const std::string& id, TimePoint now);
    // Whether an entry is older than what is known of its runner.
    bool isOutdated(const RunnerRecord&) const;

    std::map<std::string, RunnerRecord> m_records;
    std::map<std::string, Departure> m_departures;
    // Missing entries by id, with the time at which they are removed.
    std::map<std::string, TimePoint> m_pendingRemovals;
    std::optional<TimePoint> m_lostAt;
    // End of the grace time after the last outage.
    TimePoint m_graceEnd {};
};

}
