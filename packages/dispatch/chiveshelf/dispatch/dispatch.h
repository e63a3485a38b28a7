#pragma once

// The scheduler service for the pools that this host owns, and the client through which entry tasks request a runner from the
// host that owns a pool.
//
// Dependencies: scheduling, peer, http, tables, membership.

#include "chiveshelf/dispatch/DispatchClient.h"
#include "chiveshelf/dispatch/Messages.h"
#include "chiveshelf/dispatch/QuarantineService.h"
#include "chiveshelf/dispatch/SchedulerService.h"
