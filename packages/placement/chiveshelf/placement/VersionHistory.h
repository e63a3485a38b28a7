#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace chiveshelf {

// A version that the operator announced.
struct AnnouncedVersion {
    // Earliest bootTime() at which it can have been announced.
    std::chrono::nanoseconds since { 0 };
    // Whether `since` is only a lower bound, because this host has just started or missed changes. An exact time from another host
    // replaces it, and it is not sent to other hosts.
    bool isEstimate = false;
};

// Announced versions of one model's weights. Each version has its own deadline for replacing older weights, so that a newer version
// does not extend the use of weights that are older than both.
//
// Handles the load pattern "versions are announced in quick succession".
class VersionHistory {
public:
    // Adds a version. Returns false if it is not newer than all known ones.
    bool add(std::uint64_t version, AnnouncedVersion);

    // Merges the announcement time of the newest version or an earlier one, as known to another host.
    void mergeAnnouncementTime(std::uint64_t version, std::chrono::nanoseconds since);

    // Returns the newest version, 0 if none was announced.
    std::uint64_t newest() const { return m_versions.empty() ? 0 : m_versions.rbegin()->first; }

    // Returns the oldest version that may be used at `now`, a time of bootTime(), 0 for any. `grace` is the time from the announcement
    // of a version to its deadline.
    std::uint64_t required(std::chrono::nanoseconds now, std::chrono::nanoseconds grace) const;

    // Returns the bootTime() from which on weights of this version must not be used, or nothing if no newer version was announced.
    std::optional<std::chrono::nanoseconds> expiryOf(std::uint64_t version, std::chrono::nanoseconds grace) const;

    const std::map<std::uint64_t, AnnouncedVersion>& versions() const { return m_versions; }

private:
    std::map<std::uint64_t, AnnouncedVersion> m_versions;
};

}
