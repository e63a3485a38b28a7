#pragma once

// Decisions under load as pure code: which request is served next, on which runner and with which import, which is refused,
// preempted or quarantined, and what runners' own work says about them. No I/O; each call takes the time and a snapshot.
//
// Dependencies: core, Boost.MSM.

#include "chiveshelf/scheduling/AnyPolicy.h"
#include "chiveshelf/scheduling/CrashRegistry.h"
#include "chiveshelf/scheduling/RetryBudget.h"
#include "chiveshelf/scheduling/RunnerStatistics.h"
#include "chiveshelf/scheduling/SchedulingPolicy.h"
