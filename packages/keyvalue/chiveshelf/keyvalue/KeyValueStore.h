#pragma once

#include "chiveshelf/core/Address.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

// Revision of the key-value service. Revisions are global and strictly increasing; 0 means that the key does not exist. A KeyValueStore
// never loses what it has acknowledged, and so never gives out a revision twice. An ItemStore may be restored from an older copy, after
// which its revisions are only comparable within an era; see StorePosition.
using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

// A value and the revision of its last write.
struct KeyValueEntry {
    std::string value;
    Revision revision = 0;

    auto operator<=>(const KeyValueEntry&) const = default;
};

// Entry of the platform's host list, which lags behind the actual state of the hosts.
struct ListedHost {
    std::string name;
    Address peerAddress;
    std::string dataCentre;
    bool isLeaving = false;
    // Address of the admin listener, which chivesctl uses; absent if the platform does not list it.
    std::optional<Address> adminAddress = std::nullopt;

    auto operator<=>(const ListedHost&) const = default;
};

// Interface to the key-value service. compareAndSwap() fails with Conflict and NotRun if the key has another revision, and with
// Timeout and MayHaveRun if the response was lost. watch() waits until the revision of the key is greater than the given one, and
// returns the entry. If the duration expires first, it returns the unchanged entry.
template <typename T>
concept KeyValueStore = requires(T& store, std::string key, std::string value, Revision revision, LeaseId lease,
    std::optional<LeaseId> optionalLease, std::chrono::milliseconds duration)
{
    {
        store.get(key)
        } -> std::same_as<boost::asio::awaitable<Result<KeyValueEntry>>>;
    {
        store.compareAndSwap(key, revision, value, optionalLease)
        } -> std::same_as<boost::asio::awaitable<Result<Revision>>>;
    {
        store.watch(key, revision, duration)
        } -> std::same_as<boost::asio::awaitable<Result<KeyValueEntry>>>;
    {
        store.grantLease(duration)
        } -> std::same_as<boost::asio::awaitable<Result<LeaseId>>>;
    {
        store.keepAlive(lease)
        } -> std::same_as<boost::asio::awaitable<Result<void>>>;
    {
        store.revoke(lease)
        } -> std::same_as<boost::asio::awaitable<Result<void>>>;
};

// Interface to the platform's host list.
template <typename T>
concept HostList = requires(T& list)
{
    {
        list.list()
        } -> std::same_as<boost::asio::awaitable<Result<std::vector<ListedHost>>>>;
};

}
