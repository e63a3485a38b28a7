#pragma once

#include "chiveshelf/routing/RoutingTables.h"

#include <algorithm>

namespace chiveshelf {

// Largest priority value that engines support. 0 is the most urgent.
constexpr unsigned leastUrgentPriority = 9;

// Returns the engine priority of a request. It is ordered by the priority of the organisation first and that of the route second,
// so that long requests of an organisation do not delay its own short urgent ones.
constexpr unsigned requestPriority(const PathRoute& route, const Organisation* organisation)
{
    constexpr unsigned routePriorityCount = 3;
    // Priority of organisations without a configured one, in the middle of the range.
    constexpr unsigned defaultPriority = 1;
    const auto organisationPriority = organisation ? organisation->priority.value_or(defaultPriority) : defaultPriority;
    return std::min(organisationPriority * routePriorityCount + std::min(route.priority, routePriorityCount - 1), leastUrgentPriority);
}

}
