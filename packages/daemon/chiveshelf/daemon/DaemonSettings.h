#pragma once

#include "chiveshelf/cache/BlockCache.h"
#include "chiveshelf/idempotency/ShardWriter.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/settings/OptionSet.h"

namespace chiveshelf {

// Validated settings of chiveshelfd.
struct DaemonSettings {
    std::string hostName;
    std::string dataCentre;
    Address callerAddress;
    Address adminAddress;
    Address peerAddress;
    // Address at which other hosts reach this host. It differs from the peer address only behind a port forwarding.
    Address advertisedPeerAddress;
    Address platformAddress;
    ShardWriterSettings idempotency;
    std::chrono::milliseconds drainLimit { 0 };
    // Time between the announcement of a shutdown and the end of accepting callers.
    std::chrono::milliseconds drainNotice { 0 };
    OwnershipPolicy ownershipPolicy = OwnershipPolicy::BarReturned;
    bool areRolloutsEnabled = true;
    std::string logLevel;
    std::string schedulingPolicy;
    // Assumed capacity of a runner's cache in blocks, used to estimate which blocks it still has.
    std::int64_t cacheBlocksPerRunner = 0;
    std::chrono::milliseconds cacheHalfLife { 0 };
    std::int64_t importsPerLink = 0;
    CacheSettings cache;

    bool operator==(const DaemonSettings&) const = default;
};

// Returns the command-line options of chiveshelfd.
OptionSet makeDaemonOptions();

// Builds the settings from parsed options. Appends to `problems` if options contradict each other.
DaemonSettings readDaemonSettings(const OptionSet&, std::vector<std::string>& problems);

}
