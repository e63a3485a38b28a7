#pragma once

#include "chiveshelf/keyvalue/KeyValueStore.h"

namespace chiveshelf {

// An item of a store that is read by prefix.
struct StoredItem {
    std::string key;
    std::string value;
    // The revision of its last change.
    Revision revision = 0;

    auto operator<=>(const StoredItem&) const = default;
};

// A change that a watch delivered.
struct ItemChange {
    StoredItem item;
    bool isRemoval = false;

    auto operator<=>(const ItemChange&) const = default;
};

// Part of the items under a prefix. Pages are not a snapshot: watch from the first page's revision.
struct ItemPage {
    std::vector<StoredItem> items;
    bool hasMore = false;
    Revision revision = 0;
};

// Changes after a revision, in order, and the revision to go on from.
struct ChangeBatch {
    std::vector<ItemChange> changes;
    Revision revision = 0;
};

// A condition on a key: its revision, 0 for a key that must not exist.
struct KeyCondition {
    std::string key;
    Revision revision = 0;

    auto operator<=>(const KeyCondition&) const = default;
};

// A write of one key. `lease` 0 keeps the item until it is removed.
struct KeyWrite {
    std::string key;
    std::string value;
    LeaseId lease = 0;

    auto operator<=>(const KeyWrite&) const = default;
};

// A store of items with prefix reads, watches, conditional writes and leases. watch() fails with NotFound when the history
// after the revision is no longer kept. write() fails with Conflict and NotRun when a condition does not hold, with
// NotFound when the lease has ended, and with MayHaveRun when the reply was lost.
template <typename T>
concept ItemStore = requires(T& store, std::string text, Revision revision, LeaseId lease, std::chrono::milliseconds duration,
    std::vector<KeyCondition> conditions, std::vector<KeyWrite> writes)
{
    {
        store.read(text, text)
        } -> std::same_as<boost::asio::awaitable<Result<ItemPage>>>;
    {
        store.watch(text, revision, duration)
        } -> std::same_as<boost::asio::awaitable<Result<ChangeBatch>>>;
    {
        store.write(conditions, writes)
        } -> std::same_as<boost::asio::awaitable<Result<Revision>>>;
    {
        store.grantLease(duration)
        } -> std::same_as<boost::asio::awaitable<Result<LeaseId>>>;
    {
        store.keepAlive(lease)
        } -> std::same_as<boost::asio::awaitable<Result<void>>>;
    {
        store.endLease(lease)
        } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

}
