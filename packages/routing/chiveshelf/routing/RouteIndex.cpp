#include "chiveshelf/routing/RouteIndex.h"

#include <algorithm>
#include <cctype>

namespace chiveshelf {

namespace {

    // Separates host and path prefix in a key. Host names contain no line break, so keys are unambiguous.
    constexpr char separator = '\n';

    std::string normalizedHost(std::string_view host)
    {
        std::string out(host.substr(0, host.rfind(':')));
        std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return out;
    }

}

RouteIndex::RouteIndex(RoutingTables tables)
    : m_tables(std::move(tables))
{
    for (const auto& route : m_tables.routes)
        m_routes.emplace(normalizedHost(route.host) + separator + route.pathPrefix, &route);
    for (const auto& organisation : m_tables.organisations) {
        for (const auto& key : organisation.keys)
            m_organisations.emplace(key, &organisation);
    }
    for (const auto& pool : m_tables.pools)
        m_pools.emplace(pool.name, &pool);
}

const PathRoute* RouteIndex::findRoute(std::string_view host, std::string_view path) const
{
    const auto hostKey = normalizedHost(host) + separator;
    auto end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto it = m_routes.find(hostKey + std::string(path.substr(0, end + 1)));
        if (it != m_routes.end())
            return it->second;
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const Organisation* RouteIndex::findOrganisation(std::string_view key) const
{
    const auto it = m_organisations.find(std::string(key));
    return it == m_organisations.end() ? nullptr : it->second;
}

const RegisteredPool* RouteIndex::findPool(std::string_view name) const
{
    const auto it = m_pools.find(std::string(name));
    return it == m_pools.end() ? nullptr : it->second;
}

const std::string& RouteIndex::choosePool(const PathRoute& route, std::uint64_t requestHash)
{
    static const std::string noPool;
    if (route.pools.empty())
        return noPool;
    std::uint64_t total = 0;
    for (const auto& share : route.pools)
        total += share.weight;
    if (total == 0)
        return route.pools.front().pool;
    auto offset = requestHash % total;
    for (const auto& share : route.pools) {
        if (offset < share.weight)
            return share.pool;
        offset -= share.weight;
    }
    return route.pools.back().pool;
}

}
