#pragma once

#include "chiveshelf/idempotency/ShardWriter.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/peer/PeerClient.h"

namespace chiveshelf {

// Claims idempotency keys and records the results of attempts. Claims and completions are sent to the host of this data centre that
// writes the shard; if that host is unreachable, this host writes the shard itself. Construct it before the peer server starts.
class IdempotencyService {
public:
    IdempotencyService(boost::asio::io_context&, peer::PeerServer&, peer::PeerClient&, MemberDirectory&, HttpPlatform&, ShardWriterSettings);
    IdempotencyService(const IdempotencyService&) = delete;
    IdempotencyService& operator=(const IdempotencyService&) = delete;

    // Claims a key. On failure the attempt must not run; the verdict states whether the claim may have been written.
    boost::asio::awaitable<Result<ClaimReply>> claim(ClaimKey);

    // Records the result of an attempt, with retries until it is recorded or given up. Returns when it is recorded, or after
    // `timeout`; the retries then continue in the background.
    boost::asio::awaitable<void> recordResult(CompleteKey, std::chrono::milliseconds timeout);

    // Returns the number of results that are not recorded yet.
    std::size_t pendingCount() const { return m_pendingCount; }

    // Returns the number of results that were given up. Their keys stay claimed, and later attempts are refused because the outcome
    // is unknown.
    std::uint64_t givenUpCount() const { return m_givenUpCount; }
    const ShardWriterCounters& counters() const { return m_writer.counters(); }

private:
    struct PendingResult;

    template <typename Message>
    boost::asio::awaitable<Result<typename Message::Reply>> send(Message);
    boost::asio::awaitable<Result<ClaimReply>> write(ClaimKey message) { return m_writer.claim(std::move(message)); }
    boost::asio::awaitable<Result<CompletionReply>> write(CompleteKey message) { return m_writer.complete(std::move(message)); }
    boost::asio::awaitable<void> recordLoop(CompleteKey, std::shared_ptr<PendingResult>);

    boost::asio::io_context& m_context;
    peer::PeerClient& m_peers;
    MemberDirectory& m_members;
    ShardWriter m_writer;
    // Writer hosts that were unreachable, with the time until which they are skipped.
    std::map<std::string, std::chrono::steady_clock::time_point> m_avoidedUntil;
    std::size_t m_pendingCount = 0;
    std::uint64_t m_givenUpCount = 0;
};

}
