#pragma once

// Commands to runners: which host may send them, and how a new version reaches all runners of a pool while the pool goes on
// serving.
//
// Dependencies: core, platform, runner, tables, membership.

#include "chiveshelf/control/ControlService.h"
#include "chiveshelf/control/RunnerStatusRegistry.h"
