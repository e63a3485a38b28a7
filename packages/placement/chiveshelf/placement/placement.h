#pragma once

// Beliefs about backend servers and the decisions made on them: where a request goes, whether it is refused and when it may
// come back, what may be repeated, and the order of a rollout. No I/O, and no clock: callers pass the time.
//
// Dependencies: core, routing.

#include "chiveshelf/placement/AttemptHistory.h"
#include "chiveshelf/placement/EnginePlacement.h"
#include "chiveshelf/placement/FleetRetryBudget.h"
#include "chiveshelf/placement/RolloutSchedule.h"
#include "chiveshelf/placement/RunnerRegistry.h"
#include "chiveshelf/placement/ServicePlacement.h"
