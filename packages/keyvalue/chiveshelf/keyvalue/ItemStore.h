#pragma once

#include "chiveshelf/keyvalue/StorePosition.h"

namespace chiveshelf {

// An item of an ItemStore.
struct StoredItem {
    std::string key;
    std::string value;
    // Revision of its last change, in the era of the answer that it came with.
    Revision revision = 0;
    // Revision at which it was created, in the same era. An item that was removed and written again has a later one than before.
    Revision createdAt = 0;

    auto operator<=>(const StoredItem&) const = default;
};

// A change of an item, as returned by a watch.
struct ItemChange {
    StoredItem item;
    bool isRemoval = false;

    auto operator<=>(const ItemChange&) const = default;
};

// One page of the items under a prefix. The pages together are not a consistent snapshot, so a watch has to start at the position of
// the first page. Pages of different eras don't belong together.
struct ItemPage {
    std::vector<StoredItem> items;
    bool hasMore = false;
    StorePosition position;
};

// Ordered changes after a position, and the position at which to continue.
struct ChangeBatch {
    std::vector<ItemChange> changes;
    StorePosition position;
};

// Condition of a write: the key has this revision, or does not exist if the revision is 0.
struct KeyCondition {
    std::string key;
    Revision revision = 0;

    auto operator<=>(const KeyCondition&) const = default;
};

// A write of one key. Without a lease the item exists until it is removed.
struct KeyWrite {
    std::string key;
    std::string value;
    GrantedLease lease {};

    auto operator<=>(const KeyWrite&) const = default;
};

// Key-value store with prefix reads, prefix watches, conditional writes and leases. watch() fails with NotFound if the store no
// longer has the changes after the given position, or was restored since. write() fails with Conflict and NotRun if a condition does not hold, with
// NotFound if the lease has expired, and with MayHaveRun if the response was lost. A write that was executed in a later era than that of
// its lease may have bound its keys to the lease of another holder; the returned position shows it. keepAlive() and endLease() fail with
// NotFound if the lease has ended or is of an earlier era than the store.
template <typename T>
concept ItemStore = requires(T& store, std::string text, StorePosition position, GrantedLease lease, std::chrono::milliseconds duration,
    std::vector<KeyCondition> conditions, std::vector<KeyWrite> writes, std::vector<std::string> removals)
{
    {
        store.read(text, text)
        } -> std::same_as<boost::asio::awaitable<Result<ItemPage>>>;
    {
        store.watch(text, position, duration)
        } -> std::same_as<boost::asio::awaitable<Result<ChangeBatch>>>;
    {
        store.write(conditions, writes, removals)
        } -> std::same_as<boost::asio::awaitable<Result<StorePosition>>>;
    {
        store.grantLease(duration)
        } -> std::same_as<boost::asio::awaitable<Result<GrantedLease>>>;
    {
        store.keepAlive(lease)
        } -> std::same_as<boost::asio::awaitable<Result<void>>>;
    {
        store.endLease(lease)
        } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

}
