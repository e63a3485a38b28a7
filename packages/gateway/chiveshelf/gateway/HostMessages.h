#pragma once

#include "chiveshelf/keyvalue/StorePosition.h"
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

// The sending host's outstanding requests at one runner, which is identified by runnerNumber(). Remaining prefill and fetch work
// is left out because it ends before the next notice.
struct RunnerLoadEntry {
    std::uint32_t runner = 0;
    std::uint16_t requests = 0;
    // Requests with prompts and the memory that they need in tokens, by priority class.
    std::array<std::uint16_t, priorityClassCount> prompts {};
    std::array<std::uint32_t, priorityClassCount> memoryTokens {};
    // Duration of work at the runner as a percentage of the usual duration, and the age of that measurement in ms.
    std::uint16_t workPercent = 100;
    std::uint16_t workAgeMs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, requests, prompts, memoryTokens, workPercent, workAgeMs);
    }
};

// A prompt part that the sending host has sent to a runner.
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

// Prompt parts that did not fit into a load notice.
struct PartsNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::PartsNotice;

    std::vector<PlacedPart> parts;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(parts);
    }
};

// Time in ms for which a prompt's fetch occupies the link of a store, which is identified by CacheContents::number().
struct StoreFetchEntry {
    std::uint32_t store = 0;
    std::uint16_t ms = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(store, ms);
    }
};

// A prompt that a host has just sent to a runner. Sent at once to the hosts that use the same runners, and to all hosts if prefill
// takes long; see HostExchange::announcePlacement().
struct PlacementNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::PlacementNotice;

    std::uint64_t host = 0;
    std::uint32_t runner = 0;
    std::uint8_t priority = 0;
    // Predicted times in ms of the prompt's prefill and of the fetch of cached parts.
    std::uint16_t prefillMs = 0;
    std::uint16_t fetchMs = 0;
    std::uint32_t memoryTokens = 0;
    std::vector<PlacedPart> parts;
    std::vector<StoreFetchEntry> fetches;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, runner, priority, prefillMs, fetchMs, memoryTokens, parts, fetches);
    }
};

// Time in ms since the operator announced a version of a model. `model` is the hash of its name.
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

// Duration of transfers from a store as a percentage of the nominal duration, measured by the sending host since its last notice.
struct StoreSpeedEntry {
    std::uint32_t store = 0;
    std::uint16_t percent = 100;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(store, percent);
    }
};

// A host's outstanding work, sent to all other hosts at an interval and split over several notices where necessary. The sending
// host has no work at runners that are in the range of a notice but not listed in it.
struct LoadNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::LoadNotice;
    // Entries of a notice, so that it fits into one Ethernet frame.
    static constexpr std::size_t maxLoads = 20;
    static constexpr std::size_t maxParts = 9;
    static constexpr std::size_t maxVersions = 3;
    static constexpr std::size_t maxStoreSpeeds = 16;
    // Age of the latest answer of the store while the sender's calls fail.
    static constexpr std::uint32_t noContact = std::numeric_limits<std::uint32_t>::max();

    std::uint64_t host = 0;
    // Hash of the name of the sender's data centre.
    std::uint64_t dataCentre = 0;
    std::uint64_t tablesVersion = 0;
    // Duration in ms of the sender's unbroken contact with the key-value store up to the latest answer, and the age of that answer.
    std::uint32_t contactMs = 0;
    std::uint32_t answerAgeMs = noContact;
    // Time in ms until the sender's next notice to the same hosts.
    std::uint16_t intervalMs = 0;
    // Inclusive range of the runner numbers that this notice covers.
    std::uint32_t firstRunner = 0;
    std::uint32_t lastRunner = std::numeric_limits<std::uint32_t>::max();
    std::vector<RunnerLoadEntry> loads;
    std::vector<PlacedPart> parts;
    // Recently announced versions whose time the sender knows exactly, the lowest first. Receivers treat those that are left out as
    // missed; see VersionHistory.
    std::vector<VersionAge> versions;
    std::vector<StoreSpeedEntry> storeSpeeds;
    // The sender's VersionsConfirmation. A time of the runners' clock, since an age would be wrong in a notice that waited for a
    // suspended receiver.
    std::uint64_t versionsHash = 0;
    std::int64_t versionsConfirmedMs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, dataCentre, tablesVersion, contactMs, answerAgeMs, intervalMs, firstRunner, lastRunner, loads, parts, versions, storeSpeeds, versionsHash, versionsConfirmedMs);
    }
};

// Times of requests at a runner that the sending host has measured since its last notice; see CapacitySample.
struct RunnerCapacityEntry {
    std::uint32_t runner = 0;
    std::uint8_t range = 0;
    std::uint8_t count = 0;
    float meanMs = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, range, count, meanMs);
    }
};

// A load notice with capacities of runners. A type of its own, so that load notices are the same as those of hosts that don't learn
// capacities.
struct CapacityNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::CapacityNotice;
    // Capacities use the room of missing loads. A load takes more bytes than this number of them.
    static constexpr std::size_t capacitiesPerLoad = 4;
    // Loads that a notice leaves out while there are capacities to send.
    static constexpr std::size_t loadsLeftOut = 5;

    LoadNotice load;
    // At most maxCapacities().
    std::vector<RunnerCapacityEntry> capacities;

    std::size_t maxCapacities() const { return (LoadNotice::maxLoads - load.loads.size()) * capacitiesPerLoad; }

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(load, capacities);
    }
};

// A request that was waiting for its response, or had just begun to get it, when its runner was lost.
struct CrashNoticeEntry {
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> subjects;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(fingerprint, subjects);
    }
};

// A runner was lost, or has turned out to be running although it was reported lost.
struct CrashNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::CrashNotice;

    std::uint32_t runner = 0;
    // Time in ms since the runner was lost.
    std::uint32_t ageMs = 0;
    bool isWithdrawn = false;
    std::vector<CrashNoticeEntry> suspects;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, ageMs, isWithdrawn, suspects);
    }
};

// Number of requests with a suspected subject to which the sending host has received whole answers.
struct SubjectAnswers {
    std::uint64_t subject = 0;
    std::uint32_t answers = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(subject, answers);
    }
};

// Answers that weigh against the suspicion in crash notices.
struct AnswersNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::AnswersNotice;

    std::uint64_t host = 0;
    std::vector<SubjectAnswers> entries;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, entries);
    }
};

// A request with these quarantined subjects was sent to a runner, to see whether it crashes it.
struct TryNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::TryNotice;

    std::vector<std::uint64_t> subjects;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(subjects);
    }
};

// The sending host failed to connect to a runner, or received data of it, `ageMs` before the notice.
struct SuspicionEntry {
    std::uint32_t runner = 0;
    std::uint32_t ageMs = 0;
    bool isReached = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, ageMs, isReached);
    }
};

// Failed connections to runners, and the ends of such failures; see RunnerSuspicions.
struct SuspicionNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::SuspicionNotice;

    std::uint64_t host = 0;
    // Hash of the name of the sender's data centre.
    std::uint64_t dataCentre = 0;
    std::vector<SuspicionEntry> entries;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, dataCentre, entries);
    }
};

// A part that a store has just finished storing, or has removed.
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

// Changes in the contents of a store of cached parts. The first of the hosts that poll the store sends this notice after each of
// its polls, even if nothing has changed.
struct CacheNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::CacheNotice;

    std::string store;
    std::uint64_t epoch = 0;
    // Time in ms since the poll was sent to the store.
    std::uint32_t ageMs = 0;
    // The clock of runners and stores when the notice is sent, 0 if unknown.
    std::int64_t clockMs = 0;
    // Number of parts in the store, or 0 if further notices for the same poll follow.
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

// A runner has announced that it shuts down.
struct LeavingNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::LeavingNotice;

    std::uint32_t runner = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner);
    }
};

// The limit of requests that a runner states, and the requests that the sending host sent it.
struct LimitEntry {
    std::uint32_t runner = 0;
    // Whether the runner states a limit. If not, the sending host announces the end of one.
    bool hasLimit = false;
    double perSecond = 0;
    // Time in ms since a host received this statement of the runner.
    std::uint64_t ageMs = 0;
    // Requests that the sending host sent while the runner stated a limit, since the start of its process.
    std::uint64_t sent = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, hasLimit, perSecond, ageMs, sent);
    }
};

// Limits of requests that runners state. Sent to all hosts at an interval while there are limits, and at once when a limit changes or
// a request is sent to a limited runner.
struct LimitNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::LimitNotice;

    std::uint64_t host = 0;
    // Identifies the start of the sending process, at which its counts of requests begin.
    std::uint64_t incarnation = 0;
    std::vector<LimitEntry> entries;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, incarnation, entries);
    }
};

// Which software began a stream; see StreamOrigin.
struct OriginEntry {
    std::uint64_t stream = 0;
    std::uint64_t software = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(stream, software);
    }
};

// Origins of streams, sent to the hosts that hold their records.
struct OriginNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::OriginNotice;

    std::vector<OriginEntry> entries;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(entries);
    }
};

// Asks a host for the origin of a stream of a pool.
struct OriginQuery {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::OriginQuery;

    std::uint64_t stream = 0;
    std::string pool;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(stream, pool);
    }
};

// Answers an OriginQuery.
struct OriginAnswer {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::OriginAnswer;

    std::uint64_t stream = 0;
    bool isKnown = false;
    std::uint64_t software = 0;
    // Whether the answering host knows of several software versions at which a stream of the pool can have begun.
    bool isMixed = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(stream, isKnown, software, isMixed);
    }
};

// A change in the key-value store, relayed from one host to another.
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

// Sent by a host that watches the key-value store to the other hosts of its data centre after each answer of the store: the
// store's position, and the changes since an earlier position if they fit.
struct StoreNotice {
    static constexpr peer::DatagramType datagramType = peer::DatagramType::StoreNotice;

    // WatcherElection::rank() of the sender.
    std::uint64_t host = 0;
    StorePosition from;
    StorePosition to;
    // If false, receivers request the changes with PullStoreChanges.
    bool hasChanges = false;
    std::vector<RelayedChange> changes;
    // Version of the sender's routing tables. Changes of the tables come without their text.
    std::uint64_t tablesVersion = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, from, to, hasChanges, changes, tablesVersion);
    }
};

// The requested changes; incomplete if the answering host no longer has all of them.
struct StoreChangesReply {
    bool isComplete = false;
    StorePosition position;
    std::vector<RelayedChange> changes;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(isComplete, position, changes);
    }
};

// Requests the changes in the key-value store after a position.
struct PullStoreChanges {
    static constexpr peer::MessageType messageType = peer::MessageType::PullStoreChanges;
    using Reply = StoreChangesReply;

    StorePosition after;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(after);
    }
};

// What a host that starts without the key-value store needs of another.
struct ItemsReply {
    // Version of the answering host's routing tables, 0 if it has none.
    std::uint64_t tablesVersion = 0;
    // Registered runners and hosts, and announced versions, as key and text.
    std::vector<std::pair<std::string, std::string>> items;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(tablesVersion, items);
    }
};

// Requests the items of the key-value store that a host knows.
struct PullItems {
    static constexpr peer::MessageType messageType = peer::MessageType::PullItems;
    using Reply = ItemsReply;

    template <typename Archive>
    void serialize(Archive&)
    {
    }
};

// A piece of an encoded TablesUpdate.
struct TablesPiece {
    enum class Kind : std::uint8_t {
        Piece,
        // The answering host serves others; ask again after `retryMs`.
        Busy,
        // The answering host doesn't know the requested base.
        UnknownBase,
        // The answering host doesn't have tables of the wanted version.
        Behind,
    };

    Kind kind = Kind::Piece;
    // 0 for whole tables.
    std::uint64_t baseVersion = 0;
    std::uint64_t version = 0;
    // Size and hash of the whole encoded update.
    std::uint64_t totalBytes = 0;
    std::uint64_t checksum = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    std::uint32_t retryMs = 0;
    // IP addresses of other hosts that have tables of `version`, for hosts that are told to ask again.
    std::vector<std::string> holders;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(kind, baseVersion, version, totalBytes, checksum, offset, bytes, retryMs, holders);
    }
};

// Requests a piece of an update of the routing tables.
struct PullTablesPiece {
    static constexpr peer::MessageType messageType = peer::MessageType::PullTablesPiece;
    using Reply = TablesPiece;

    // IP address of the requesting host.
    std::string ip;
    // Version to which the update is applied, 0 for whole tables.
    std::uint64_t baseVersion = 0;
    // Least version that is wanted.
    std::uint64_t wantedVersion = 0;
    // Version of the update that is continued at `offset`, 0 for a new one.
    std::uint64_t version = 0;
    std::uint64_t offset = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(ip, baseVersion, wantedVersion, version, offset);
    }
};

}
