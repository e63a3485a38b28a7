#pragma once

#include <chrono>
#include <compare>
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
    // Earliest bootTime() at which a version between the one before in the history and this one can have been announced without this
    // host's knowledge. Nothing if there is no such version.
    std::optional<std::chrono::nanoseconds> missedSince {};

    auto operator<=>(const AnnouncedVersion&) const = default;
};

// Announced versions of one model's weights. Each version has its own deadline for replacing older weights, so that a newer version
// does not extend the use of weights that are older than both.
//
// A host that starts, or reads the key-value store anew, gets only the newest version and may have missed others before it. Weights that
// may have been replaced by a missed version expire with it, however recent the known versions are. Version numbers are integers, so
// that no version is missed between two consecutive ones.
//
// Handles the load patterns "versions are announced in quick succession" and "a host starts while runners have weights that were replaced
// more than once".
class VersionHistory {
public:
    // Adds a version. Returns false if it is not newer than all known ones.
    bool add(std::uint64_t version, AnnouncedVersion);

    // Merges the announcement time of the newest version or an earlier one, as known to another host. Returns whether this host had no
    // time of that version, or only an estimate. What was missed before that version stays unknown.
    bool mergeAnnouncementTime(std::uint64_t version, std::chrono::nanoseconds since);

    // Returns the newest version, 0 if none was announced.
    std::uint64_t newest() const { return m_versions.empty() ? 0 : m_versions.rbegin()->first; }

    // Returns the oldest version that may be used at `now`, a time of bootTime(), 0 for any. `grace` is the time from the announcement
    // of a version to its deadline.
    std::uint64_t required(std::chrono::nanoseconds now, std::chrono::nanoseconds grace) const;

    // Returns the bootTime() from which on weights of this version must not be used, or nothing if no newer version was announced.
    std::optional<std::chrono::nanoseconds> expiryOf(std::uint64_t version, std::chrono::nanoseconds grace) const;

    const std::map<std::uint64_t, AnnouncedVersion>& versions() const { return m_versions; }

private:
    using Versions = std::map<std::uint64_t, AnnouncedVersion>;

    // Whether a version between an entry and the one before it may have been missed.
    bool mayLackVersionBefore(Versions::const_iterator) const;

    Versions m_versions;
};

}
