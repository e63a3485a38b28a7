#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/RunnerRecord.h"

#include <chrono>
#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace chiveshelf {

// The software versions that served a pool within a stream's lifetime, as kept in the key-value store: it outlasts all hosts.
struct SoftwareRecord {
    // Era of the store in which the record was written or confirmed. A restored store may have lost versions that served since its
    // copy, so records of an earlier era prove nothing.
    std::uint64_t era = 0;
    std::set<std::string> versions;

    auto operator<=>(const SoftwareRecord&) const = default;
};

// Which software versions have served each pool lately, and whether a stream of unknown origin can have begun at only one of them.
//
// A host knows the past from its own observation, once it has lasted for a stream's lifetime without a gap, or from the pool's
// SoftwareRecord. What serves now says nothing of what served when a stream began.
//
// Handles the load pattern "all hosts are lost at once while the runners of a pool are replaced by ones of another version".
class SoftwareHistory {
public:
    explicit SoftwareHistory(std::chrono::milliseconds lifetime)
        : m_lifetime(lifetime)
    {
    }

    // Sets how long a stream can last with all its resumptions.
    void setLifetime(std::chrono::milliseconds lifetime) { m_lifetime = lifetime; }

    // Starts the observation. If the whole system starts for the first time, there is no past to miss.
    void start(TimePoint now, bool isFirstStart);

    // Records that versions may have come and gone unseen until now.
    void onGap(TimePoint now);

    // Records the registered runners.
    void observe(const std::map<std::string, RunnerRecord>&, TimePoint now);

    // Sets or removes the record of a pool that the store has.
    void setRecord(const std::string& pool, std::optional<SoftwareRecord>, TimePoint now);

    // Returns the only version at which a stream of this pool that is still alive can have begun, or nothing if there may be several.
    std::optional<std::string> onlyVersion(const std::string& pool, std::uint64_t era, TimePoint now) const;

    // Returns the versions that are known to have served a pool within a stream's lifetime.
    std::set<std::string> versions(const std::string& pool, TimePoint now) const;

    // Returns the record that the store should have of each pool, for those where it has another one. Empty while this host doesn't
    // know the past itself.
    std::map<std::string, SoftwareRecord> missingRecords(std::uint64_t era, TimePoint now) const;

private:
    struct Pool {
        // Time at which each version was last known to serve.
        std::map<std::string, TimePoint> lastSeen;
        std::optional<SoftwareRecord> record;
    };

    std::set<std::string> versionsWithin(const Pool&, TimePoint now) const;
    // Whether all versions of a stream's lifetime are known.
    bool isComplete(const Pool&, std::uint64_t era, TimePoint now) const;

    std::chrono::milliseconds m_lifetime;
    std::map<std::string, Pool> m_pools;
    std::optional<TimePoint> m_observedSince;
};

}
