#pragma once

// Scheduling without I/O: order of service, choice of runner and import, admission, preemption, quarantine, and the measured speed
// and health of runners. Callers pass in the current time and a snapshot of the pool.
//
// Dependencies: core, Boost.MSM.

#include "chiveshelf/scheduling/AnyPolicy.h"
#include "chiveshelf/scheduling/CrashRegistry.h"
#include "chiveshelf/scheduling/RetryBudget.h"
#include "chiveshelf/scheduling/RunnerStatistics.h"
#include "chiveshelf/scheduling/SchedulingPolicy.h"
