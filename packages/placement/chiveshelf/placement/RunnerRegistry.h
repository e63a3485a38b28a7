#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/RunnerRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace chiveshelf {

// The runners that the registry lists. Entries that vanish while the registry can not be reached lapse without meaning:
// their runners may be alive and register again once it is back.
//
// Answers the load pattern "the store is away for seconds and returns without most entries".
class RunnerRegistry {
public:
    // Time after the return of the registry in which a vanished entry may still come back. Runners that are alive register
    // within two seconds; the rest covers the way.
    static constexpr std::chrono::milliseconds lapseGrace { 2'200 };
    // Shorter gaps in contact than this do not let entries lapse.
    static constexpr std::chrono::milliseconds shortGap { 1'000 };

    // Adds or replaces an entry.
    void put(RunnerRecord);

    // Handles the removal of an entry.
    void remove(const std::string& id, TimePoint now);

    // Replaces all entries by those of a full read.
    void replaceAll(const std::vector<RunnerRecord>&, TimePoint now);

    // Tells that calls to the registry began to fail.
    void onContactLost(TimePoint now);

    // Tells that the registry answers again.
    void onContactRegained(TimePoint now);

    // Drops the entries whose grace has ended. Returns whether there were any.
    bool expire(TimePoint now);

    const std::map<std::string, RunnerRecord>& records() const { return m_records; }

private:
    std::map<std::string, RunnerRecord> m_records;
    // Vanished entries with the moment at which they count as gone.
    std::map<std::string, TimePoint> m_lapsing;
    std::optional<TimePoint> m_lostAt;
    // End of the grace after the last outage.
    TimePoint m_graceEnd {};
};

}
