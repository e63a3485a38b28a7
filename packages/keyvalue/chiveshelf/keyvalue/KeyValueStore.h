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

// A revision of the key-value service. Revisions are global and strictly increasing; 0 means that the key is absent.
using Revision = std::uint64_t;
using LeaseId = std::uint64_t;

// A value with the revision that wrote it.
struct KeyValueEntry {
    std::string value;
    Revision revision = 0;

    auto operator<=>(const KeyValueEntry&) const = default;
};

// A host as the platform's lagging list shows it.
struct ListedHost {
    std::string name;
    Address peerAddress;
    std::string dataCentre;
    bool isLeaving = false;
    // Where the host serves state and drain, for chivesctl; absent if the platform does not list it.
    std::optional<Address> adminAddress = std::nullopt;

    auto operator<=>(const ListedHost&) const = default;
};

// Port to the key-value service. compareAndSwap() fails with Conflict and NotRun when the revision differs, and with
// Timeout and MayHaveRun when the reply was lost. watch() returns the present entry once its revision is above
// `afterRevision`, or unchanged when `wait` has passed.
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

// Port to the platform's list of hosts.
template <typename T>
concept HostList = requires(T& list)
{
    {
        list.list()
        } -> std::same_as<boost::asio::awaitable<Result<std::vector<ListedHost>>>>;
};

}
