#pragma once

#include "chiveshelf/peer/DatagramChannel.h"
#include "chiveshelf/peer/MessageType.h"
#include "chiveshelf/placement/OutstandingWork.h"

#include <cereal/types/array.hpp>
#include <cereal/types/utility.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace chiveshelf {

// A host's requests at one runner. Runners are named by runnerNumber(). What has still to be read or fetched is not
// told here: it is over before the next notice.
struct RunnerLoadEntry {
    std::uint32_t runner = 0;
    std::uint16_t requests = 0;
    // Requests with prompts and their memory, by rank class.
    std::array<std::uint16_t, priorityClassCount> prompts {};
    std::array<std::uint32_t, priorityClassCount> memoryTokens {};
    // How long work took there, in per cent of the usual, by the last answer that told it, and how long ago that was.
    std::uint16_t workPercent = 100;
    std::uint16_t workAgeMs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, requests, prompts, memoryTokens, workPercent, workAgeMs);
    }
};

// A part of a prompt that a host sent to a runner.
struct PlacedPart {
    std::uint32_t runner = 0;
    std::uint64_t scope = 0;
    std::uint64_t part = 0;
    std::uint32_t tokens = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, scope, part, tokens);
    }
};

// More parts than a load notice has room for.
struct PartsNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::PartsNotice;

    std::vector<PlacedPart> parts;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(parts);
    }
};

// Time that a store's link spends for a prompt. Stores are named by CacheContents::number().
struct StoreFetchEntry {
    std::uint32_t store = 0;
    std::uint16_t ms = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(store, ms);
    }
};

// A prompt that a host has just sent to a runner, told at once to the hosts that choose among the same runners, and to all if it takes long.
struct PlacementNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::PlacementNotice;

    std::uint64_t host = 0;
    std::uint32_t runner = 0;
    std::uint8_t rank = 0;
    // Predicted time to read the prompt and to fetch parts of it.
    std::uint16_t readMs = 0;
    std::uint16_t fetchMs = 0;
    std::uint32_t memoryTokens = 0;
    std::vector<PlacedPart> parts;
    std::vector<StoreFetchEntry> fetches;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, runner, rank, readMs, fetchMs, memoryTokens, parts, fetches);
    }
};

// How long ago a version of a model was named, in ms.
struct VersionAge {
    std::uint64_t model = 0;
    std::uint64_t version = 0;
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, version, ageMs);
    }
};

// How much longer than nominal the transfers of a store took that a host has measured since its last notice.
struct StoreSpeedEntry {
    std::uint32_t store = 0;
    std::uint16_t percent = 100;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(store, percent);
    }
};

// What a host tells all others several times a second, in as many notices as it takes. A runner within the range of a notice
// that is not listed has no work of this host.
struct LoadNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::LoadNotice;

    std::uint64_t host = 0;
    // Hash of the name of its data centre.
    std::uint64_t dataCentre = 0;
    std::uint64_t tablesVersion = 0;
    // Time until the sender's next notice to the same hosts.
    std::uint16_t intervalMs = 0;
    // The runners that this notice is about, both ends included.
    std::uint32_t firstRunner = 0;
    std::uint32_t lastRunner = std::numeric_limits<std::uint32_t>::max();
    std::vector<RunnerLoadEntry> loads;
    std::vector<PlacedPart> parts;
    // Versions that were named lately.
    std::vector<VersionAge> versions;
    std::vector<StoreSpeedEntry> storeSpeeds;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, dataCentre, tablesVersion, intervalMs, firstRunner, lastRunner, loads, parts, versions, storeSpeeds);
    }
};

// A request was running when a runner broke off.
struct CrashNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::CrashNotice;

    std::string fingerprint;
    std::string runner;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(fingerprint, runner);
    }
};

// A part that a store has whole since now, or no longer has.
struct CacheNoticeEntry {
    std::string scope;
    std::string part;
    std::uint64_t partId = 0;
    std::uint32_t tokens = 0;
    bool isStored = true;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(scope, part, partId, tokens, isStored);
    }
};

// What a host that follows a store tells the others, also when nothing has changed.
struct CacheNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::CacheNotice;

    std::string store;
    std::uint64_t epoch = 0;
    // How long ago the store was asked, in ms.
    std::uint32_t ageMs = 0;
    // The clock of runners and stores at the sending, 0 if it is not known.
    std::int64_t clockMs = 0;
    // Parts that the store has, or 0 if more notices follow.
    std::uint32_t partCount = 0;
    std::vector<CacheNoticeEntry> entries;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(store, epoch, ageMs, clockMs, partCount, entries);
    }
};

// A runner is about to load weights, or has loaded them.
struct RolloutNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::RolloutNotice;

    std::uint32_t runner = 0;
    std::string model;
    std::uint64_t version = 0;
    bool isDone = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, model, version, isDone);
    }
};

// A runner said that it leaves.
struct LeavingNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::LeavingNotice;

    std::uint32_t runner = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner);
    }
};

// A change of the store as one host tells it to another.
struct RelayedChange {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool isRemoval = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, value, revision, isRemoval);
    }
};

// What a host that watches the store tells the others of its data centre after each answer: the revision that the store had, and
// the changes since an earlier one if they have room.
struct StoreNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::StoreNotice;

    std::uint64_t host = 0;
    std::uint64_t fromRevision = 0;
    std::uint64_t toRevision = 0;
    // Otherwise they have to be asked for.
    bool hasChanges = false;
    std::vector<RelayedChange> changes;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, fromRevision, toRevision, hasChanges, changes);
    }
};

// The changes that were asked for; incomplete if the asked host no longer has them all.
struct StoreChangesReply {
    bool isComplete = false;
    std::uint64_t revision = 0;
    std::vector<RelayedChange> changes;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(isComplete, revision, changes);
    }
};

// Asks a host for the changes of the store after a revision.
struct PullStoreChanges {
    static constexpr peer::MessageType messageType = peer::MessageType::PullStoreChanges;
    using Reply = StoreChangesReply;

    std::uint64_t after = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(after);
    }
};

// The tables of a host, as the operator wrote them; empty if the asking host has them.
struct RoutingTablesReply {
    std::uint64_t version = 0;
    std::string text;
    // Registered runners and named versions as key and text, if they were asked for.
    std::vector<std::pair<std::string, std::string>> items;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version, text, items);
    }
};

// Asks a host for tables that are newer than `knownVersion`.
struct PullRoutingTables {
    static constexpr peer::MessageType messageType = peer::MessageType::PullRoutingTables;
    using Reply = RoutingTablesReply;

    std::uint64_t knownVersion = 0;
    bool wantsItems = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(knownVersion, wantsItems);
    }
};

}
