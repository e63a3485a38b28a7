#pragma once

// Tables of routes by host and path, of pools whose runners register themselves, and of organisations with API keys, and an
// index over one version of them. Updates hold the difference between two versions. No I/O.
//
// Dependencies: core.

#include "chiveshelf/routing/Prompt.h"
#include "chiveshelf/routing/RouteIndex.h"
#include "chiveshelf/routing/RoutingTables.h"
#include "chiveshelf/routing/TableFields.h"
#include "chiveshelf/routing/TablesUpdate.h"
