#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/core/Priority.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

enum class PoolKind {
    Model,
    Service,
};

// A backend server of a pool: a runner or a store.
struct Backend {
    std::string name;
    Address address;
    std::string dataCentre;

    auto operator<=>(const Backend&) const = default;
};

// One row of the routes table. Exactly one of `model` and `path` is set.
struct Route {
    std::string name;
    // Name of the organisation, or "*" for all organisations without a matching row of their own.
    std::string organisation = "*";
    std::string model;
    // Prefix of the request path, for plain services.
    std::string path;
    std::string pool;
    Priority priority = Priority::Standard;
    std::optional<Priority> maxPriority;
    // Weight of the organisation relative to others of the same priority class, 1 to 1000.
    int weight = 1;

    auto operator<=>(const Route&) const = default;
};

// One row of the pools table.
struct Pool {
    std::string name;
    PoolKind kind = PoolKind::Model;
    std::string model;
    std::string adapter;
    std::string version;
    std::vector<Backend> runners;
    std::vector<Backend> stores;
    // Target of the time to first token, by priority class.
    std::array<std::chrono::milliseconds, priorityCount> targets { std::chrono::milliseconds(450), std::chrono::milliseconds(2'000),
        std::chrono::milliseconds(30'000) };
    // Percentage of the slots reserved for each priority class while it has queued requests.
    std::array<int, priorityCount> shares { 60, 30, 10 };
    int maxConcurrentLoads = 2;
    int slotsPerRunner = 8;
    // For services: whether a call without an idempotency key may be retried when its outcome is unknown.
    bool isRepeatable = false;

    auto operator<=>(const Pool&) const = default;
};

// The routes and pools tables at one revision.
struct Tables {
    std::uint64_t revision = 0;
    std::string editId;
    std::vector<Route> routes;
    std::vector<Pool> pools;

    auto operator<=>(const Tables&) const = default;

    // Returns the pool with this name, or nullptr.
    const Pool* findPool(const std::string& name) const;

    // Returns the route for a model, or nullptr. A route of the organisation takes precedence over one for "*".
    const Route* findModelRoute(const std::string& organisation, const std::string& model) const;

    // Returns the route with the longest prefix of `path`, or nullptr. Among equal prefixes, a route of the organisation takes
    // precedence over one for "*".
    const Route* findPathRoute(const std::string& organisation, const std::string& path) const;
};

// Key of the tables in the platform's key-value service.
constexpr const char* tablesKey = "chiveshelf/tables";

}
