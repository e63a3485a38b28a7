#pragma once

#include "chiveshelf/cache/BlockCache.h"
#include "chiveshelf/idempotency/ShardWriter.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/settings/OptionSet.h"

namespace chiveshelf {

// The settings of chiveshelfd after all checks.
struct DaemonSettings {
    std::string hostName;
    std::string dataCentre;
    Address callerAddress;
    Address adminAddress;
    Address peerAddress;
    // Where other hosts reach this one; the peer address itself unless something forwards to it.
    Address advertisedPeerAddress;
    Address platformAddress;
    ShardWriterSettings idempotency;
    std::chrono::milliseconds drainLimit { 0 };
    // Time between the announcement of a leave and the end of accepting callers.
    std::chrono::milliseconds drainNotice { 0 };
    OwnershipPolicy ownershipPolicy = OwnershipPolicy::BarReturned;
    std::string logLevel;
    std::string schedulingPolicy;
    // Blocks that the cache of one runner holds, for the guess of what it still caches.
    std::int64_t cacheBlocksPerRunner = 0;
    std::chrono::milliseconds cacheHalfLife { 0 };
    std::int64_t importsPerLink = 0;
    CacheSettings cache;

    bool operator==(const DaemonSettings&) const = default;
};

// Returns the options of chiveshelfd.
OptionSet makeDaemonOptions();

// Builds the settings from parsed options. Adds a problem for each clash between them.
DaemonSettings readDaemonSettings(const OptionSet&, std::vector<std::string>& problems);

}
