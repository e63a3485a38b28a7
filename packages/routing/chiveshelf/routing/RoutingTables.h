#pragma once

#include "chiveshelf/core/Address.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

// What a route's requests are, which decides what may be repeated.
enum class RequestKind {
    Idempotent,
    NonIdempotent,
    Stream,
};

// One pool of a route with its share of the route's requests, relative to the other pools' weights.
struct PoolShare {
    std::string pool;
    unsigned weight = 1;

    auto operator<=>(const PoolShare&) const = default;
};

// One row of the routes table, matched by host and the longest path prefix.
struct PathRoute {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    bool isResumable = false;
    // Whether callers need no key.
    bool isPublic = false;
    // Time from arrival after which the caller gets its final answer.
    std::chrono::milliseconds timeLimit { 10'000 };
    // Time to the first byte (streams: to the first event) that the operator aims at.
    std::chrono::milliseconds goal { 1'000 };
    // Longest pause between two events of a stream that the operator aims at; 0 if there is none.
    std::chrono::milliseconds longestPause { 0 };
    // Maximum number of runners on which one request may run.
    unsigned runLimit = 1;
    // 0 is the most urgent.
    unsigned priority = 0;
    std::vector<PoolShare> pools;

    auto operator<=>(const PathRoute&) const = default;

    // Whether a request may run on a second runner after it may have run on a first one.
    bool mayRepeat() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable); }
};

// What is known of the engines of a pool of model runners.
struct EngineLimits {
    // Requests computed at once.
    unsigned slots = 0;
    // Tokens that running requests and cached parts share.
    std::int64_t memoryTokens = 0;
    // Size of a token in memory, and the speed of a runner's link for such memory.
    std::int64_t bytesPerToken = 0;
    double linkMbps = 0;

    auto operator<=>(const EngineLimits&) const = default;
};

// A store of cached prompt parts. It keeps what it was given until it is told to free it.
struct CacheStore {
    Address address;
    std::string dataCentre;
    std::int64_t memoryTokens = 0;
    // Speed of its link, 0 if it is not known, and the time before each transfer.
    double linkMbps = 0;
    double setUpMs = 0;

    auto operator<=>(const CacheStore&) const = default;
};

// One row of the pools table. Its runners register themselves.
struct RegisteredPool {
    std::string name;
    // Connections that a runner accepts from all hosts together; 0 means that no limit is known.
    unsigned maxConnections = 0;
    std::optional<EngineLimits> engine;
    // Set if the row is a store of cached parts; it has no runners then.
    std::optional<CacheStore> store;

    auto operator<=>(const RegisteredPool&) const = default;
};

// An organisation with the keys that its callers may present.
struct Organisation {
    std::string name;
    std::vector<std::string> keys;
    // Replaces the priority of the route.
    std::optional<unsigned> priority;
    // Whether cached parts are kept apart from those of all others.
    bool isDedicated = false;

    auto operator<=>(const Organisation&) const = default;
};

// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTime { 3'000 };
    std::chrono::milliseconds idleTime { 15'000 };

    auto operator<=>(const CallerLimits&) const = default;
};

// Both tables and the organisations at one version.
struct RoutingTables {
    std::uint64_t version = 0;
    std::vector<PathRoute> routes;
    std::vector<RegisteredPool> pools;
    // Empty means that no route needs a key.
    std::vector<Organisation> organisations;
    CallerLimits limits;

    auto operator<=>(const RoutingTables&) const = default;
};

}
