#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

// Decides until when requests may fetch parts of a model version from stores, and from when on these parts may be freed.
//
// Hosts know different runners and learn of a new version at different times, and one that is cut off may never hear of it. A host
// therefore allows fetches only up to retentionTime after the last moment at which a version was confirmed to be in use. Two things
// confirm the versions that a host knows: an answer of the key-value store, as of its call; and that the host holds the lease of the
// rollout and knows all versions announced before it acquired the lease. Confirmations may be passed on to hosts that know the same
// versions. Only the holder of that lease may free parts, retentionTime after it learned of a newer version and after it acquired the
// lease.
//
// Invariant: a fetch that any host has allowed is over before any host frees its part. It needs no message between them. The limits
// of fetches are times of the runners' clock, so that neither a delayed message nor a suspended host extends them.
//
// Handles the load patterns "a host without contact goes on using a version while another host frees its parts" and "the key-value
// store is out of reach of all hosts" (the holder of the lease confirms until it ends).
class CacheRetention {
public:
    // Long enough that a rollout of a small pool ends within it, and that a new holder of the lease confirms before the confirmations
    // of the former one end. Until it has passed, parts of the old version take room from those of the new one. All hosts must use the
    // same time.
    static constexpr std::chrono::milliseconds retentionTime { 3'000 };
    // Covers the rounding of the runners' clock to whole milliseconds.
    static constexpr std::chrono::milliseconds freeMargin { 100 };

    // Records that a newer version of a model became known at `bootNow`, a time of bootTime(). Versions must increase.
    void onAnnounced(const std::string& model, std::uint64_t version, std::chrono::nanoseconds bootNow);

    // Records a confirmation of the known versions at `clockMs`, a time of the runners' clock in ms.
    void confirm(std::int64_t clockMs);

    // Returns the latest confirmed time in ms of the runners' clock, or nothing before the first confirmation.
    std::optional<std::int64_t> confirmedAt() const { return m_confirmedAt; }

    // Returns the time in ms of the runners' clock at which fetches of parts of this version must be over, or nothing if it may not be
    // fetched at all.
    std::optional<std::int64_t> fetchEnd(const std::string& model, std::uint64_t version) const;

    // Returns whether no host can allow fetches of parts of this version any more, if this host has held the lease for minTenure.
    // Times are of bootTime().
    bool mayFree(const std::string& model, std::uint64_t version, std::chrono::nanoseconds bootNow) const;

    // Time for which a host has to hold the lease before it frees parts: what the former holder confirmed has ended by then.
    static constexpr std::chrono::milliseconds minTenure = retentionTime + freeMargin;

private:
    struct Announcement {
        std::uint64_t version = 0;
        std::chrono::nanoseconds learnedAt { 0 };
        // The latest confirmed time before the announcement became known.
        std::optional<std::int64_t> confirmedBefore;
    };

    // Returns the first announcement that became known of a version newer than this one, or nullptr.
    const Announcement* firstNewer(const std::string& model, std::uint64_t version) const;

    // The last announcements of each model, in the order of their versions.
    std::map<std::string, std::vector<Announcement>> m_announcements;
    std::optional<std::int64_t> m_confirmedAt;
};

}
