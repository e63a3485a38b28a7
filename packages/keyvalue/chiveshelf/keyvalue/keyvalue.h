#pragma once

// Ports to the platform's key-value service and host list, and the HTTP adapter that implements both. Another platform
// needs another adapter in this package only.
//
// Dependencies: core, http.

#include "chiveshelf/keyvalue/HttpPlatform.h"
#include "chiveshelf/keyvalue/ItemStore.h"
#include "chiveshelf/keyvalue/KeyValueStore.h"
