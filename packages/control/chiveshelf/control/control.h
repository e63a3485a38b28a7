#pragma once

// Control of the runners: a lease decides which host may send commands to a pool's runners, and a rolling update brings all
// runners of the pool to a new version while the pool continues to serve.
//
// Dependencies: core, platform, runner, tables, membership.

#include "chiveshelf/control/ControlService.h"
#include "chiveshelf/control/RunnerStatusRegistry.h"
