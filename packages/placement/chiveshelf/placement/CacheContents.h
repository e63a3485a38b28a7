#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/CacheScope.h"
#include "chiveshelf/placement/TransferSpeed.h"
#include "chiveshelf/routing/RoutingTables.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace chiveshelf {

// Name of a cached part in a store.
struct CachedPartName {
    std::string scope;
    std::string part;

    auto operator<=>(const CachedPartName&) const = default;
};

// Change of one part in a store: it was completed, or it was removed.
struct CacheChange {
    bool isStored = true;
    CachedPartName name;
    std::uint64_t partId = 0;
    std::int64_t tokens = 0;

    auto operator<=>(const CacheChange&) const = default;
};

// Returns the hash of a store's address that identifies the store in messages between hosts.
std::uint32_t storeNumber(const Address&);

// Known contents of one store, and the load of its link. Only parts that the store itself reported as complete count as present.
//
// Handles the load pattern "more prompts are sent again than the runners' memory holds".
class CacheContents {
public:
    // Time after a requested save in which the same save is not requested again.
    static constexpr std::chrono::milliseconds saveTimeout { 4'000 };
    // Time after a full listing in which nothing is saved. A restarted store is empty, and hosts that have not noticed the restart
    // would treat a part that is still being written as the complete part from before.
    static constexpr std::chrono::milliseconds restartSettleTime { 2'000 };
    // Maximum age of the store's last answer up to which its known contents are used. Shorter than `restartSettleTime`.
    static constexpr std::chrono::milliseconds confirmationLifetime { 1'300 };

    explicit CacheContents(CacheStore);

    const CacheStore& store() const { return m_store; }

    // Replaces the contents by a full listing.
    void replaceAll(const std::vector<CacheChange>& parts, std::uint64_t epoch, TimePoint now);

    // Records that the store answered at `at`, a time of bootTime().
    void confirm(std::chrono::nanoseconds at) { m_confirmedAt = at; }

    // Returns whether the contents are recent enough to be used at `at`, a time of bootTime(). That clock includes the time in
    // which this machine was suspended and received no changes.
    bool isConfirmed(std::chrono::nanoseconds at) const { return m_isKnown && at - m_confirmedAt <= confirmationLifetime; }

    // Applies changes. Returns false if the contents are unknown or the store has restarted, so that it has to be listed again.
    bool apply(const std::vector<CacheChange>& changes, std::uint64_t epoch);

    // Clears the contents, for a store that cannot be reached.
    void clear();

    // Returns whether the store has the complete part in this scope.
    bool contains(const CacheScope&, std::uint64_t part) const;

    // Returns whether to request a save of a part with this number of tokens: the store does not have the part, no save of it is in
    // progress, and there is room.
    bool maySave(const CacheScope&, std::uint64_t part, std::int64_t tokens, TimePoint now) const;

    // Returns whether a save of the part was requested within `saveTimeout`.
    bool isSaving(const CacheScope&, std::uint64_t part, TimePoint now) const;

    // Records that a save was requested.
    void recordSave(const CacheScope&, std::uint64_t part, std::int64_t tokens, TimePoint now);

    // Returns up to `limit` parts whose scope is obsolete.
    template <typename IsObsolete>
    std::vector<CachedPartName> obsoleteParts(IsObsolete isObsolete, std::size_t limit) const
    {
        std::vector<CachedPartName> out;
        for (const auto& [key, part] : m_parts) {
            if (out.size() >= limit)
                break;
            const auto scope = CacheScope::parse(part.name.scope);
            if (scope && isObsolete(*scope))
                out.push_back(part.name);
        }
        return out;
    }

    // Removes a part that was freed in the store.
    void removePart(const CachedPartName&);

    // Records that a request was sent, by this host or another, whose fetches occupy the store's link for `ms`. Transfers of a link
    // run one after another.
    void recordFetch(double ms, TimePoint now);

    // Returns the time in ms until the known fetches from the store are done.
    double queueMs(TimePoint now) const;

    // Returns the storeNumber() of the store's address.
    std::uint32_t number() const { return m_number; }

    TransferSpeed& speed() { return m_speed; }
    const TransferSpeed& speed() const { return m_speed; }

    // Position in the store's list of changes up to which the changes were applied.
    std::uint64_t position() const { return m_position; }
    void setPosition(std::uint64_t position) { m_position = position; }

    std::uint64_t epoch() const { return m_epoch; }
    // Returns the tokens of complete parts and of saves in progress.
    std::int64_t usedTokens(TimePoint now) const;
    std::size_t partCount() const { return m_parts.size(); }
    // Returns whether a full listing was received since the last clear().
    bool isKnown() const { return m_isKnown; }

private:
    struct Part {
        CachedPartName name;
        std::int64_t tokens;
    };

    struct Save {
        TimePoint at;
        std::int64_t tokens;
    };

    void add(const CacheChange&);
    void remove(std::uint64_t key);

    CacheStore m_store;
    std::uint32_t m_number;
    TransferSpeed m_speed;
    // End of the known transfers over the store's link.
    TimePoint m_linkBusyUntil {};
    std::uint64_t m_epoch = 0;
    std::uint64_t m_position = 0;
    TimePoint m_listedAt {};
    std::chrono::nanoseconds m_confirmedAt { 0 };
    bool m_isKnown = false;
    std::unordered_map<std::uint64_t, Part> m_parts;
    mutable std::unordered_map<std::uint64_t, Save> m_saves;
    std::int64_t m_tokens = 0;
};

}
