#pragma once

#include "chiveshelf/core/Address.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

// Kind of the requests of a route. Decides whether they may be retried.
enum class RequestKind {
    Idempotent,
    NonIdempotent,
    Stream,
};

// A pool of a route. Its weight relative to those of the route's other pools is its share of the requests.
struct PoolShare {
    std::string pool;
    unsigned weight = 1;

    auto operator<=>(const PoolShare&) const = default;
};

// One row of the routes table. Requests are matched by host and longest path prefix.
struct PathRoute {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    bool isResumable = false;
    // True if callers need no API key.
    bool isPublic = false;
    // Maximum time from the arrival of a request until its caller gets the final response.
    std::chrono::milliseconds timeLimit { 10'000 };
    // Latency goal: time to the first byte, for streams to the first event.
    std::chrono::milliseconds goal { 1'000 };
    // Goal for the longest pause between two events of a stream; 0 if there is none.
    std::chrono::milliseconds longestPause { 0 };
    // Maximum number of runners on which one request may run.
    unsigned runLimit = 1;
    // 0 is the most urgent priority.
    unsigned priority = 0;
    std::vector<PoolShare> pools;

    auto operator<=>(const PathRoute&) const = default;

    // Whether a request may be sent to another runner after a runner has run it or may have run it.
    bool mayRepeat() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable); }
};

// Limits of the engines of a pool of model runners.
struct EngineLimits {
    // Maximum number of concurrent requests.
    unsigned slots = 0;
    // Size of the memory that running requests and cached parts share, in tokens.
    std::int64_t memoryTokens = 0;
    // Memory per token in bytes, and speed of the link over which a runner transfers cached parts.
    std::int64_t bytesPerToken = 0;
    double linkMbps = 0;

    auto operator<=>(const EngineLimits&) const = default;
};

// Behaviour of a pool's runners while they warm up.
struct WarmUpLimits {
    // Time after its start for which a runner warms up.
    std::chrono::milliseconds duration { 0 };
    // Requests per second that a runner sustains meanwhile.
    double perSecond = 0;

    auto operator<=>(const WarmUpLimits&) const = default;
};

// A store of cached prompt parts. It keeps parts until they are freed explicitly.
struct CacheStore {
    Address address;
    std::string dataCentre;
    std::int64_t memoryTokens = 0;
    // Speed of the store's link, 0 if unknown, and the fixed set-up time of each transfer.
    double linkMbps = 0;
    double setUpMs = 0;

    auto operator<=>(const CacheStore&) const = default;
};

// One row of the pools table. The runners of the pool register themselves.
struct RegisteredPool {
    std::string name;
    // Maximum number of connections to a runner from all hosts together; 0 if unknown.
    unsigned maxConnections = 0;
    std::optional<EngineLimits> engine;
    // Set if the runners take fewer requests while they warm up.
    std::optional<WarmUpLimits> warmUp;
    // Set if the row describes a store of cached parts instead of runners.
    std::optional<CacheStore> store;

    auto operator<=>(const RegisteredPool&) const = default;
};

// An organisation with the API keys of its callers.
struct Organisation {
    std::string name;
    std::vector<std::string> keys;
    // Overrides the priority of the route.
    std::optional<unsigned> priority;
    // True if the organisation shares no cached parts with other organisations.
    bool isDedicated = false;

    auto operator<=>(const Organisation&) const = default;
};

// Limits on the size of a caller's request and on the time to send it.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTime { 3'000 };
    std::chrono::milliseconds idleTime { 15'000 };

    auto operator<=>(const CallerLimits&) const = default;
};

// Routes, pools, organisations and caller limits at one version.
struct RoutingTables {
    std::uint64_t version = 0;
    std::vector<PathRoute> routes;
    std::vector<RegisteredPool> pools;
    // If empty, no route requires an API key.
    std::vector<Organisation> organisations;
    CallerLimits limits;

    auto operator<=>(const RoutingTables&) const = default;
};

}
