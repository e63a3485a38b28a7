#pragma once

// The scheduler service of each pool that this host owns, and the client by which entry tasks ask the owning host for a
// runner.
//
// Dependencies: scheduling, peer, http, tables, membership.

#include "chiveshelf/dispatch/DispatchClient.h"
#include "chiveshelf/dispatch/Messages.h"
#include "chiveshelf/dispatch/QuarantineService.h"
#include "chiveshelf/dispatch/SchedulerService.h"
