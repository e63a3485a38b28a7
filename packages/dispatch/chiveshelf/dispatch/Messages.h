#pragma once

#include "chiveshelf/core/StoredPrefix.h"
#include "chiveshelf/peer/DatagramChannel.h"
#include "chiveshelf/peer/MessageType.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chiveshelf {

// An empty reply.
struct Acknowledgement {
    template <typename Archive>
    void serialize(Archive&)
    {
    }
};

// Names the runner that a queued request may start on.
struct Grant {
    std::string runner;
    std::string runnerAddress;
    std::string version;
    // Revision of the tables that `version` was read from.
    std::uint64_t tablesRevision = 0;
    std::string reason;
    // Leading blocks of the prompt that the runner is to have from its cache or the store before it computes the rest; -1
    // leaves the number to the entry host.
    std::int64_t importBlocks = -1;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, runnerAddress, version, tablesRevision, reason, importBlocks);
    }
};

// Asks the scheduler of a pool for a runner. The reply comes when a slot is free. Asking again with the same request id
// replaces the earlier question, so it can be repeated.
struct Enqueue {
    static constexpr auto messageType = peer::MessageType::Enqueue;
    using Reply = Grant;

    std::string requestId;
    std::string entryHost;
    std::string pool;
    std::string organisation;
    std::int32_t priority = 0;
    std::int32_t weight = 1;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    // Keys of the prompt's whole cache blocks, first block first.
    std::vector<std::string> blocks;
    StoredPrefix stored;
    // The store that has them; imports are bounded per store.
    std::string store;
    // Time left until the first token is wanted, in ms.
    std::int64_t deadlineMs = 0;
    std::vector<std::string> excludedRunners;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(requestId, entryHost, pool, organisation, priority, weight, promptTokens, maxTokens, blocks, stored, store, deadlineMs, excludedRunners);
    }
};

// Takes a waiting request from the queue, for instance because its caller has gone.
struct CancelQueued {
    static constexpr auto messageType = peer::MessageType::CancelQueued;
    using Reply = Acknowledgement;

    std::string requestId;
    std::string pool;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(requestId, pool);
    }
};

// Reports that a granted request has ended and frees its slot.
struct Finished {
    static constexpr auto messageType = peer::MessageType::Finished;
    using Reply = Acknowledgement;

    std::string requestId;
    std::string pool;
    std::string runner;
    bool hasSucceeded = false;
    // The runner or its connection failed, as opposed to a caller that went away or a preemption.
    bool hasRunnerFailed = false;
    // It crashed or can not be reached.
    bool isRunnerUnreachable = false;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t importedTokens = 0;
    std::int64_t completionTokens = 0;
    // Times in ms from the start on the runner, -1 if not reached.
    std::int64_t firstTokenMs = -1;
    std::int64_t totalMs = -1;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(requestId, pool, runner, hasSucceeded, hasRunnerFailed, isRunnerUnreachable, promptTokens, cachedTokens, importedTokens, completionTokens, firstTokenMs, totalMs);
    }
};

// A request that runs on a runner, as its entry host reports it.
struct RunningRequest {
    std::string requestId;
    std::string runner;
    std::int32_t priority = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(requestId, runner, priority);
    }
};

// Lists all requests of one pool that an entry host has running. Sent at intervals: it renews their slots, and lets a new
// scheduler learn which slots are taken.
struct InFlight {
    static constexpr auto messageType = peer::MessageType::InFlight;
    using Reply = Acknowledgement;

    std::string entryHost;
    std::string pool;
    std::vector<RunningRequest> requests;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(entryHost, pool, requests);
    }
};

// The answer to Preempt.
struct PreemptReply {
    // False if the first token has already come or the request is unknown; it then runs on.
    bool isAccepted = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(isAccepted);
    }
};

// Asks an entry host to cancel a running request of a cheaper class on its runner and to queue it again.
struct Preempt {
    static constexpr auto messageType = peer::MessageType::Preempt;
    using Reply = PreemptReply;

    std::string requestId;
    std::string pool;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(requestId, pool);
    }
};

// Tells the hosts of a data centre that a runner crashed while it ran a request.
struct QuarantineNotice {
    static constexpr auto datagramType = peer::DatagramType::QuarantineNotice;

    std::string fingerprint;
    std::string runner;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(fingerprint, runner);
    }
};

}
