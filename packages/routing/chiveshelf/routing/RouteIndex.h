#pragma once

#include "chiveshelf/routing/RoutingTables.h"

#include <string_view>
#include <unordered_map>

namespace chiveshelf {

// Indexes one version of the tables. Immutable, so that a request uses the version with which it arrived until it ends.
class RouteIndex {
public:
    explicit RouteIndex(RoutingTables);
    RouteIndex(const RouteIndex&) = delete;
    RouteIndex& operator=(const RouteIndex&) = delete;

    const RoutingTables& tables() const { return m_tables; }

    // Returns the route of `host` with the longest prefix of `path`, or nullptr. Port and case of `host` are ignored.
    const PathRoute* findRoute(std::string_view host, std::string_view path) const;

    // Returns the organisation with the API key `key`, or nullptr.
    const Organisation* findOrganisation(std::string_view key) const;

    // Returns the pool with this name, or nullptr.
    const RegisteredPool* findPool(std::string_view name) const;

    // Returns the name of the pool for the request with this hash. Requests are distributed by the weights of the route's pools.
    // Returns an empty string if the route has no pools.
    static const std::string& choosePool(const PathRoute&, std::uint64_t requestHash);

private:
    RoutingTables m_tables;
    std::unordered_map<std::string, const PathRoute*> m_routes;
    std::unordered_map<std::string, const Organisation*> m_organisations;
    std::unordered_map<std::string, const RegisteredPool*> m_pools;
};

}
