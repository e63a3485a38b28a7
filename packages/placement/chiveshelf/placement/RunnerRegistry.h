#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/RunnerRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace chiveshelf {

// Runners listed in the registry. An entry that expires while the registry is unreachable is kept for a grace time, since its
// runner may be alive and register again after the outage.
//
// Handles the load pattern "the store is unreachable for seconds and has lost most entries afterwards".
class RunnerRegistry {
public:
    // Time after an outage for which missing entries are kept. Live runners register again within two seconds; the rest covers the
    // propagation of the entry.
    static constexpr std::chrono::milliseconds reregistrationGrace { 2'200 };
    // Shorter outages have no grace time, since no entries expire in them.
    static constexpr std::chrono::milliseconds minOutage { 1'000 };

    // Adds or replaces an entry.
    void put(RunnerRecord);

    // Removes an entry, at once or after the grace time.
    void remove(const std::string& id, TimePoint now);

    // Replaces all entries by a full listing.
    void replaceAll(const std::vector<RunnerRecord>&, TimePoint now);

    // Records that calls to the registry fail.
    void onContactLost(TimePoint now);

    // Records that the registry answers again.
    void onContactRegained(TimePoint now);

    // Removes the entries whose grace time has ended. Returns whether there were any.
    bool expire(TimePoint now);

    const std::map<std::string, RunnerRecord>& records() const { return m_records; }

private:
    std::map<std::string, RunnerRecord> m_records;
    // Missing entries by id, with the time at which they are removed.
    std::map<std::string, TimePoint> m_pendingRemovals;
    std::optional<TimePoint> m_lostAt;
    // End of the grace time after the last outage.
    TimePoint m_graceEnd {};
};

}
