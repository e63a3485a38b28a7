#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace chiveshelf {

// A version that the operator named, with the earliest bootTime() at which that can have been.
struct AnnouncedVersion {
    std::chrono::nanoseconds since { 0 };
    // Whether `since` is only a bound, for a host that has just started or missed news. What a host says that did not is better,
    // and other hosts are not told.
    bool isEstimate = false;
};

// The versions of one model's weights that were named. Each has its own time by which it must be in place, so that a newer one
// does not prolong the use of weights that are older than both.
//
// Answers the load pattern "versions are named in quick succession".
class VersionHistory {
public:
    // Records a version; false if it is known or not the newest.
    bool add(std::uint64_t version, AnnouncedVersion);

    // Takes what another host knows of the age of a version, the newest or one before.
    void acceptSince(std::uint64_t version, std::chrono::nanoseconds since);

    // The newest version, 0 if none was named.
    std::uint64_t newest() const { return m_versions.empty() ? 0 : m_versions.rbegin()->first; }

    // The oldest version that may be used at a time of bootTime(), 0 for any. `grace` is the time that each version has to be in
    // place.
    std::uint64_t required(std::chrono::nanoseconds now, std::chrono::nanoseconds grace) const;

    // Returns when weights of this version are past their time, by bootTime(), or nothing while no newer version is named.
    std::optional<std::chrono::nanoseconds> expiryOf(std::uint64_t version, std::chrono::nanoseconds grace) const;

    const std::map<std::uint64_t, AnnouncedVersion>& versions() const { return m_versions; }

private:
    std::map<std::uint64_t, AnnouncedVersion> m_versions;
};

}
