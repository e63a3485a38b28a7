#pragma once

// State of the backend servers, and the decisions that depend on it: which runner gets a request, refusals and their retry delay,
// retries, and the order of a rollout. This package does no I/O and reads no clock: callers pass the time.
//
// Dependencies: core, routing.

#include "chiveshelf/placement/AttemptHistory.h"
#include "chiveshelf/placement/CacheRetention.h"
#include "chiveshelf/placement/EnginePlacement.h"
#include "chiveshelf/placement/FleetRetryBudget.h"
#include "chiveshelf/placement/RolloutSchedule.h"
#include "chiveshelf/placement/RunnerRegistry.h"
#include "chiveshelf/placement/RunnerSuspicions.h"
#include "chiveshelf/placement/ServicePlacement.h"
