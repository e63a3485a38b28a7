#include "chiveshelf/gateway/StoreNotices.h"

namespace chiveshelf {

namespace {

    // Bytes of changes in one notice, so that it fits into a datagram, and bytes of one change beside its key and value.
    constexpr std::size_t mostBytes = 1'250;
    constexpr std::size_t overheadBytes = 32;
    // Notices for the changes of one answer: more would take longer to send than the receivers to ask.
    constexpr std::size_t mostNotices = 12;

    std::size_t sizeOf(const ItemChange& change)
    {
        return change.item.key.size() + change.item.value.size() + overheadBytes;
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

std::vector<StoreNotice> makeStoreNotices(std::uint64_t host, Revision from, const ChangeBatch& batch)
{
    std::vector<StoreNotice> out;
    std::vector<ItemChange> waiting;
    std::size_t n = 0;
    auto begin = from;
    for (const auto& change : batch.changes) {
        const auto size = sizeOf(change);
        // Changes of one revision stay together.
        const bool isFull = n + size > mostBytes && !waiting.empty() && waiting.back().item.revision < change.item.revision;
        if (isFull) {
            const auto end = waiting.back().item.revision;
            out.push_back({ host, begin, end, true, toRelayedChanges(waiting) });
            begin = end;
            waiting.clear();
            n = 0;
        }
        waiting.push_back(change);
        n += size;
        if (n > mostBytes || out.size() >= mostNotices)
            return { StoreNotice { host, from, batch.revision, false, {} } };
    }
    out.push_back({ host, begin, batch.revision, true, toRelayedChanges(waiting) });
    return out;
}

}
