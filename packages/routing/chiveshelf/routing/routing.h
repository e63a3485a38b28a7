#pragma once

// The tables of routes by host and path, pools that fill themselves, and organisations with keys, with look-ups over one
// version. No I/O.
//
// Dependencies: core.

#include "chiveshelf/routing/Prompt.h"
#include "chiveshelf/routing/RouteIndex.h"
#include "chiveshelf/routing/RoutingTables.h"
