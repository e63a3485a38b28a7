#pragma once

// The process of an entry host: composition of all services, the settings and the admin listener.
//
// Dependencies: every other package, prometheus-cpp.

#include "chiveshelf/daemon/AdminService.h"
#include "chiveshelf/daemon/Daemon.h"
#include "chiveshelf/daemon/DaemonSettings.h"
