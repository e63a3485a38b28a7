#pragma once

// The operators' tables of routes and pools: value types, JSON form, validation, differences and merges, and the agent that
// keeps a host's copy at the highest revision.
//
// Dependencies: core, platform, peer, membership.

#include "chiveshelf/tables/Tables.h"
#include "chiveshelf/tables/TablesJson.h"
