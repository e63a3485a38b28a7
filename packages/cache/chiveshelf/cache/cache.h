#pragma once

// KV-cache blocks: block keys, the store interface with its HTTP implementation, and the planning of imports and exports. Block
// data is transferred between runners and stores directly; hosts handle keys and records only.
//
// Dependencies: core, http, membership (rendezvous hashing).

#include "chiveshelf/cache/BlockCache.h"
#include "chiveshelf/cache/BlockKey.h"
#include "chiveshelf/cache/BlockRecord.h"
#include "chiveshelf/cache/ExportManager.h"
#include "chiveshelf/cache/ExportQueue.h"
#include "chiveshelf/cache/HttpStore.h"
#include "chiveshelf/cache/StoreLinks.h"
#include "chiveshelf/cache/StorePort.h"
