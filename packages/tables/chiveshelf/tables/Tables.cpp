#include "chiveshelf/tables/Tables.h"

#include <tuple>

namespace chiveshelf {

namespace {

    bool isPrefixOf(const std::string& prefix, const std::string& path)
    {
        if (path.compare(0, prefix.size(), prefix) != 0)
            return false;
        return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
    }

    bool matchesOrganisation(const Route& route, const std::string& organisation)
    {
        return route.organisation == "*" || route.organisation == organisation;
    }

}

const Pool* Tables::findPool(const std::string& name) const
{
    for (const auto& pool : pools) {
        if (pool.name == name)
            return &pool;
    }
    return nullptr;
}

const Route* Tables::findModelRoute(const std::string& organisation, const std::string& model) const
{
    const Route* bestMatch = nullptr;
    for (const auto& route : routes) {
        if (route.model.empty() || route.model != model || !matchesOrganisation(route, organisation))
            continue;
        if (!bestMatch || (bestMatch->organisation == "*" && route.organisation != "*"))
            bestMatch = &route;
    }
    return bestMatch;
}

const Route* Tables::findPathRoute(const std::string& organisation, const std::string& path) const
{
    const Route* bestMatch = nullptr;
    const auto rank = [](const Route& route) { return std::tuple(route.path.size(), route.organisation != "*"); };
    for (const auto& route : routes) {
        if (route.path.empty() || !isPrefixOf(route.path, path) || !matchesOrganisation(route, organisation))
            continue;
        if (!bestMatch || rank(route) > rank(*bestMatch))
            bestMatch = &route;
    }
    return bestMatch;
}

}
