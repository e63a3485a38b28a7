#pragma once

// Ensures that a request with an idempotency key runs at most once. The records are stored in shards in the platform's service; one
// host per shard and data centre groups the writes. Correctness depends on compare-and-swap only, not on there being one writer.
//
// Dependencies: core, platform, peer, membership, Boost.MSM.

#include "chiveshelf/idempotency/IdempotencyService.h"
#include "chiveshelf/idempotency/IdempotentRequest.h"
#include "chiveshelf/idempotency/IdempotentRequestStateMachine.h"
#include "chiveshelf/idempotency/Messages.h"
#include "chiveshelf/idempotency/Shard.h"
#include "chiveshelf/idempotency/ShardWriter.h"
