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

// A cached part as a store names it.
struct CachedPartName {
    std::string scope;
    std::string part;

    auto operator<=>(const CachedPartName&) const = default;
};

// A part that a store has whole since now, or no longer has.
struct CacheChange {
    bool isStored = true;
    CachedPartName name;
    std::uint64_t partId = 0;
    std::int64_t tokens = 0;

    auto operator<=>(const CacheChange&) const = default;
};

// Returns the number under which hosts name a store to each other.
std::uint32_t storeNumber(const Address&);

// Known contents of one store, and the load of its link. Only parts that the store itself reported as whole count as present.
//
// Answers the load pattern "more returning prompts than the runners' memory holds".
class CacheContents {
public:
    // Time in which a save that was asked for is not asked for again.
    static constexpr std::chrono::milliseconds saveTime { 4'000 };
    // Time after a listing in which nothing is saved. A store that restarted is empty; until every host has noticed, parts that
    // are written anew could be taken for the whole ones of before.
    static constexpr std::chrono::milliseconds settleTime { 2'000 };
    // Age of the last word of the store up to which its contents are relied on. Shorter than `settleTime`.
    static constexpr std::chrono::milliseconds confirmedTime { 1'300 };

    explicit CacheContents(CacheStore);

    const CacheStore& store() const { return m_store; }

    // Replaces the contents by a listing.
    void replaceAll(const std::vector<CacheChange>& parts, std::uint64_t epoch, TimePoint now);

    // Records that the store answered, at a time of bootTime().
    void confirm(std::chrono::nanoseconds at) { m_confirmedAt = at; }

    // Whether the contents can be relied on at a time of bootTime(): a machine that was suspended may have missed anything.
    bool isConfirmed(std::chrono::nanoseconds at) const { return m_isKnown && at - m_confirmedAt <= confirmedTime; }

    // Applies changes. Returns false if the store has restarted since, so that it has to be listed.
    bool apply(const std::vector<CacheChange>& changes, std::uint64_t epoch);

    // Forgets everything, since the store can not be asked.
    void clear();

    // Whether the store has the part whole. `scope` is the text under which parts are shared.
    bool contains(const CacheScope&, std::uint64_t part) const;

    // Whether a save of so many tokens is worth asking for: it is not there, nobody asked lately, and there is room.
    bool maySave(const CacheScope&, std::uint64_t part, std::int64_t tokens, TimePoint now) const;

    // Whether a save of the part was asked for lately.
    bool isSaving(const CacheScope&, std::uint64_t part, TimePoint now) const;

    // Records that a save was asked for.
    void recordSave(const CacheScope&, std::uint64_t part, std::int64_t tokens, TimePoint now);

    // Returns up to `most` parts whose scope is obsolete.
    template <typename IsObsolete>
    std::vector<CachedPartName> obsoleteParts(IsObsolete isObsolete, std::size_t most) const
    {
        std::vector<CachedPartName> out;
        for (const auto& [key, part] : m_parts) {
            if (out.size() >= most)
                break;
            const auto scope = CacheScope::parse(part.name.scope);
            if (scope && isObsolete(*scope))
                out.push_back(part.name);
        }
        return out;
    }

    // Forgets a part that is about to be freed.
    void forget(const CachedPartName&);

    // Records that a request was sent, by this host or another, for which the store's link is busy for so long. Transfers go
    // one after another.
    void recordFetch(double ms, TimePoint now);

    // Returns how long the store's link is busy with what is known to be fetched.
    double queueMs(TimePoint now) const;

    // The number under which hosts name the store to each other.
    std::uint32_t number() const { return m_number; }

    TransferSpeed& speed() { return m_speed; }
    const TransferSpeed& speed() const { return m_speed; }

    // The position in the store's changes up to which the contents are known.
    std::uint64_t position() const { return m_position; }
    void setPosition(std::uint64_t position) { m_position = position; }

    std::uint64_t epoch() const { return m_epoch; }
    // Tokens of whole parts and of saves in progress.
    std::int64_t usedTokens(TimePoint now) const;
    std::size_t partCount() const { return m_parts.size(); }
    // Whether the contents are known.
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
    // When the link has sent what is known.
    TimePoint m_queueEnd {};
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
