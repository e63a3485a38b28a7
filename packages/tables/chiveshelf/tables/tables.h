#pragma once

// The operators' two tables, routes and pools: value types, their JSON form, checks and differences, and the task that
// keeps a host's copy at the highest revision.
//
// Dependencies: core, platform, peer, membership.

#include "chiveshelf/tables/Tables.h"
#include "chiveshelf/tables/TablesJson.h"
