#pragma once

// Serves routes by host and path on an entry host: accepts callers, forwards their requests to registered backend servers,
// follows the store, talks to the other hosts and gives orders to load weights. Decisions come from packages/placement.
//
// Dependencies: core, http, keyvalue, peer, placement, routing, scheduling, settings, platform.

#include "chiveshelf/gateway/Gateway.h"
