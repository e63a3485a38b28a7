#pragma once

#include "chiveshelf/routing/RoutingTables.h"

#include <algorithm>

namespace chiveshelf {

// Ranks that engines tell apart, 0 the most urgent.
constexpr unsigned leastUrgentPriority = 9;

// Returns the priority of a request: organisations are ordered by their priority first, and the requests of organisations with the
// same priority by that of their routes. Without the second, an organisation's long drafts would delay its own questions.
constexpr unsigned requestPriority(const PathRoute& route, const Organisation* organisation)
{
    constexpr unsigned routePriorities = 3;
    // Organisations without a priority of their own stand in the middle of those that have one.
    constexpr unsigned usualPriority = 1;
    const auto first = organisation ? organisation->priority.value_or(usualPriority) : usualPriority;
    return std::min(first * routePriorities + std::min(route.priority, routePriorities - 1), leastUrgentPriority);
}

}
