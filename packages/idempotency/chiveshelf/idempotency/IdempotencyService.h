#pragma once

#include "chiveshelf/idempotency/ShardWriter.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/peer/PeerClient.h"

namespace chiveshelf {

// Reaches the records of idempotent requests. Claims and completions go to the writer host of the shard in this data centre; if
// that host can not be reached, this host writes itself. Construct it before the peer server starts.
class IdempotencyService {
public:
    IdempotencyService(boost::asio::io_context&, peer::PeerServer&, peer::PeerClient&, MemberDirectory&, HttpPlatform&, ShardWriterSettings);
    IdempotencyService(const IdempotencyService&) = delete;
    IdempotencyService& operator=(const IdempotencyService&) = delete;

    // Asks for a key. On failure the attempt must not run; the verdict says whether the claim may have been written.
    boost::asio::awaitable<Result<ClaimReply>> claim(ClaimKey);

    // Records the end of an attempt, repeating it until it is recorded or given up. Returns when it is recorded, and after
    // `limit` at the latest; it then goes on by itself.
    boost::asio::awaitable<void> settle(CompleteKey, std::chrono::milliseconds limit);

    // Ends that are not recorded yet.
    std::size_t pendingCount() const { return m_pendingCount; }

    // Ends that were given up; their keys stay claimed and are answered as unknown.
    std::uint64_t givenUpCount() const { return m_givenUpCount; }
    const ShardWriterCounters& counters() const { return m_writer.counters(); }

private:
    struct Settlement;

    template <typename Message>
    boost::asio::awaitable<Result<typename Message::Reply>> send(Message);
    boost::asio::awaitable<Result<ClaimReply>> write(ClaimKey message) { return m_writer.claim(std::move(message)); }
    boost::asio::awaitable<Result<CompletionReply>> write(CompleteKey message) { return m_writer.complete(std::move(message)); }
    boost::asio::awaitable<void> settleLoop(CompleteKey, std::shared_ptr<Settlement>);

    boost::asio::io_context& m_context;
    peer::PeerClient& m_peers;
    MemberDirectory& m_members;
    ShardWriter m_writer;
    // Writer hosts that did not answer, and until when they are passed over.
    std::map<std::string, std::chrono::steady_clock::time_point> m_avoidedUntil;
    std::size_t m_pendingCount = 0;
    std::uint64_t m_givenUpCount = 0;
};

}
