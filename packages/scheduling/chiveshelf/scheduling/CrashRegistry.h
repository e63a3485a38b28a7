#pragma once

#include "chiveshelf/scheduling/QueuedRequest.h"

#include <map>
#include <set>

namespace chiveshelf {

// Records which request fingerprints were running when runners crashed. A fingerprint with crashes of two different runners
// is quarantined until `lifetime` has passed since the last of them.
class CrashRegistry {
public:
    // Crashes of different runners after which a fingerprint is quarantined.
    static constexpr std::size_t crashLimit = 2;

    // Keeps at most `capacity` fingerprints and removes the one with the oldest crash first.
    CrashRegistry(std::chrono::milliseconds lifetime, std::size_t capacity);

    // Records a crash that this host observed or another host reported. Returns false if the crash was recorded before.
    bool record(const std::string& fingerprint, const std::string& runner, TimePoint now);

    bool isQuarantined(const std::string& fingerprint, TimePoint now) const;

    // Time until the quarantine ends; 0 if there is none.
    std::chrono::milliseconds remaining(const std::string& fingerprint, TimePoint now) const;

    // Returns the quarantined fingerprints.
    std::vector<std::string> quarantined(TimePoint now) const;

private:
    struct Entry {
        std::set<std::string> runners;
        TimePoint lastCrash;
    };

    std::chrono::milliseconds m_lifetime;
    std::size_t m_capacity;
    std::map<std::string, Entry> m_entries;
};

}
