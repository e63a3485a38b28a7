#pragma once

// Interfaces to the platform's key-value service and host list, and an HTTP client that implements both. Support for another
// platform needs changes to this package only.
//
// Dependencies: core, http.

#include "chiveshelf/keyvalue/HttpPlatform.h"
#include "chiveshelf/keyvalue/ItemStore.h"
#include "chiveshelf/keyvalue/KeyValueStore.h"
#include "chiveshelf/keyvalue/StorePosition.h"
