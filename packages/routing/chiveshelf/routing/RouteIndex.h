#pragma once

#include "chiveshelf/routing/RoutingTables.h"

#include <string_view>
#include <unordered_map>

namespace chiveshelf {

// Look-ups over one version of the tables. Immutable, so that a request keeps the version under which it arrived.
class RouteIndex {
public:
    explicit RouteIndex(RoutingTables);
    RouteIndex(const RouteIndex&) = delete;
    RouteIndex& operator=(const RouteIndex&) = delete;

    const RoutingTables& tables() const { return m_tables; }

    // Returns the row of `host` (a port is ignored, as is case) whose prefix is the longest that begins `path`, or nullptr.
    const PathRoute* findRoute(std::string_view host, std::string_view path) const;

    // Returns the organisation that holds `key`, or nullptr.
    const Organisation* findOrganisation(std::string_view key) const;

    // Returns the pool, or nullptr.
    const RegisteredPool* findPool(std::string_view name) const;

    // Returns the pool that gets the request with this hash, by the weights of the route's pools.
    static const std::string& choosePool(const PathRoute&, std::uint64_t requestHash);

private:
    RoutingTables m_tables;
    std::unordered_map<std::string, const PathRoute*> m_routes;
    std::unordered_map<std::string, const Organisation*> m_organisations;
    std::unordered_map<std::string, const RegisteredPool*> m_pools;
};

}
