#pragma once

// Runs a request with an idempotency key at most once. Records are kept in shards in the platform's service; one host per
// shard and data centre groups the writes. Correctness rests on compare-and-swap alone, never on there being one writer.
//
// Dependencies: core, platform, peer, membership, Boost.MSM.

#include "chiveshelf/idempotency/IdempotencyService.h"
#include "chiveshelf/idempotency/IdempotentRequest.h"
#include "chiveshelf/idempotency/IdempotentRequestStateMachine.h"
#include "chiveshelf/idempotency/Messages.h"
#include "chiveshelf/idempotency/Shard.h"
#include "chiveshelf/idempotency/ShardWriter.h"
