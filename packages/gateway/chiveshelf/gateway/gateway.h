#pragma once

// The gateway of an entry host: accepts connections of callers, routes their requests to registered backend servers by host and
// path, follows the store, exchanges state with the other hosts and orders runners to load weights. The placement decisions are
// in packages/placement.
//
// Dependencies: core, http, keyvalue, peer, placement, routing, scheduling, settings, platform.

#include "chiveshelf/gateway/Gateway.h"
