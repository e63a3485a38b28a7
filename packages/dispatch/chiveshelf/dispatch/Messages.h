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

// Grants a queued request a slot on a runner.
struct Grant {
    std::string runner;
    std::string runnerAddress;
    std::string version;
    // Revision of the tables that `version` was read from.
    std::uint64_t tablesRevision = 0;
    std::string reason;
    // Number of leading blocks of the prompt to take from the runner's cache or the store before the rest is computed; -1 leaves
    // the number to the entry host.
    std::int64_t importBlocks = -1;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(runner, runnerAddress, version, tablesRevision, reason, importBlocks);
    }
};

// Requests a runner from the scheduler of a pool. The reply is sent when a slot is free. A message with the request id of a
// waiting request replaces that request, so Enqueue can be repeated.
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
    // The store that has the stored prefix; imports are limited per store.
    std::string store;
    // Time left until the first token is due, in ms.
    std::int64_t deadlineMs = 0;
    std::vector<std::string> excludedRunners;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(requestId, entryHost, pool, organisation, priority, weight, promptTokens, maxTokens, blocks, stored, store, deadlineMs, excludedRunners);
    }
};

// Removes a waiting request from the queue, for instance because its caller disconnected.
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
    // The runner or its connection failed. False if the caller disconnected or the request was preempted.
    bool hasRunnerFailed = false;
    // The runner crashed or cannot be reached.
    bool isRunnerUnreachable = false;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t importedTokens = 0;
    std::int64_t completionTokens = 0;
    // Times in ms from the start on the runner; -1 if not reached.
    std::int64_t firstTokenMs = -1;
    std::int64_t totalMs = -1;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(requestId, pool, runner, hasSucceeded, hasRunnerFailed, isRunnerUnreachable, promptTokens, cachedTokens, importedTokens, completionTokens, firstTokenMs, totalMs);
    }
};

// A running request, as reported by its entry host.
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

// Lists all running requests of one entry host in one pool. Sent periodically to renew their slots, and to inform a new scheduler
// of the slots in use.
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

// The reply to Preempt.
struct PreemptReply {
    // False if the first token has already arrived or the request is unknown; a running request then continues.
    bool isAccepted = false;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(isAccepted);
    }
};

// Asks an entry host to cancel a running request of a lower class on its runner and to queue it again.
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

// Notifies the hosts of a data centre that a runner crashed while it ran a request.
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
