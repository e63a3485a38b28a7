#include "chiveshelf/gateway/StoreNotices.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Limit for the changes in one notice, so that it fits into a datagram.
    constexpr std::size_t maxNoticeBytes = 1'250;
    // Encoded size of a change without its key and value.
    constexpr std::size_t changeOverheadBytes = 32;
    // Limit for the notices sent after one answer of the store. Sending more would take longer than letting the receivers request
    // the changes.
    constexpr std::size_t maxNotices = 12;

    std::size_t sizeOf(const ItemChange& change)
    {
        return change.item.key.size() + change.item.value.size() + changeOverheadBytes;
    }

}

std::vector<RelayedChange> toRelayedChanges(const std::vector<ItemChange>& changes)
{
    std::vector<RelayedChange> out;
    out.reserve(changes.size());
    for (const auto& change : changes)
        out.push_back({ change.item.key, change.item.value, change.item.revision, change.isRemoval });
    return out;
}

std::vector<ItemChange> toItemChanges(const std::vector<RelayedChange>& changes)
{
    std::vector<ItemChange> out;
    out.reserve(changes.size());
    for (const auto& change : changes)
        out.push_back({ StoredItem { change.key, change.value, change.revision }, change.isRemoval });
    return out;
}

std::vector<ItemChange> withoutValues(std::vector<ItemChange> changes, std::string_view key)
{
    for (auto& change : changes) {
        if (change.item.key == key)
            change.item.value.clear();
    }
    return changes;
}

bool isSuperseded(const std::vector<ItemChange>& changes, const ItemChange& change)
{
    return std::any_of(changes.begin(), changes.end(), [&](const auto& other) {
        return other.item.key == change.item.key && other.item.revision > change.item.revision;
    });
}

std::vector<StoreNotice> makeStoreNotices(std::uint64_t host, StorePosition from, const ChangeBatch& batch)
{
    std::vector<StoreNotice> out;
    std::vector<ItemChange> pending;
    std::size_t n = 0;
    auto begin = from;
    for (const auto& change : batch.changes) {
        const auto size = sizeOf(change);
        // Changes of one revision must not be split over two notices.
        const bool isFull = n + size > maxNoticeBytes && !pending.empty() && pending.back().item.revision < change.item.revision;
        if (isFull) {
            const StorePosition end { from.era, pending.back().item.revision };
            out.push_back({ host, begin, end, true, toRelayedChanges(pending), 0 });
            begin = end;
            pending.clear();
            n = 0;
        }
        pending.push_back(change);
        n += size;
        if (n > maxNoticeBytes || out.size() >= maxNotices)
            return { StoreNotice { host, from, batch.position, false, {}, 0 } };
    }
    out.push_back({ host, begin, batch.position, true, toRelayedChanges(pending), 0 });
    return out;
}

}
