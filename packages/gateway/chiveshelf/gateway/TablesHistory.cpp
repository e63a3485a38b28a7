#include "chiveshelf/gateway/TablesHistory.h"

#include <algorithm>

namespace chiveshelf {

void TablesHistory::add(std::shared_ptr<const RouteIndex> routes)
{
    m_versions.push_back(std::move(routes));
    if (m_versions.size() > maxVersions)
        m_versions.pop_front();
}

const RoutingTables* TablesHistory::find(std::uint64_t version) const
{
    static const RoutingTables empty;
    if (version == 0)
        return &empty;
    const auto it = std::find_if(m_versions.begin(), m_versions.end(), [&](const auto& routes) { return routes->tables().version == version; });
    return it == m_versions.end() ? nullptr : &(*it)->tables();
}

}
