#include "chiveshelf/idempotency/IdempotencyService.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/membership/RendezvousHash.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    // Time limit for a call to the writer host. Covers the time in which it collects a group, a write whose reply is lost and the read
    // that follows.
    constexpr auto writerTimeout = std::chrono::milliseconds(1'300);
    // Time for which an unreachable writer host is skipped. Membership assigns another writer within seconds; until then, further calls
    // need not wait for the unreachable host.
    constexpr auto writerAvoidanceTime = std::chrono::milliseconds(2'000);
    constexpr auto recordRetryTimeout = std::chrono::seconds(30);
    constexpr auto firstRetryDelay = std::chrono::milliseconds(100);
    constexpr auto maxRetryDelay = std::chrono::milliseconds(3'000);
    // Limits memory in a long outage. An attempt whose result is not recorded counts as unknown, which is safe.
    constexpr std::size_t maxPendingResults = 2'000;

}

struct IdempotencyService::PendingResult {
    explicit PendingResult(asio::io_context& context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    bool isDone = false;
};

IdempotencyService::IdempotencyService(asio::io_context& context, peer::PeerServer& server, peer::PeerClient& peers, MemberDirectory& members,
    HttpPlatform& platform, ShardWriterSettings settings)
    : m_context(context)
    , m_peers(peers)
    , m_members(members)
    , m_writer(context, platform, settings)
{
    server.handle<ClaimKey>([this](ClaimKey message) { return m_writer.claim(std::move(message)); });
    server.handle<CompleteKey>([this](CompleteKey message) { return m_writer.complete(std::move(message)); });
}

template <typename Message>
asio::awaitable<Result<typename Message::Reply>> IdempotencyService::send(Message message)
{
    const auto role = "idempotency/" + std::to_string(m_writer.shardOf(message.organisation, message.key));
    const auto now = Clock::now();
    std::erase_if(m_avoidedUntil, [&](const auto& entry) { return entry.second <= now; });
    auto members = m_members.inDataCentre(m_members.self().dataCentre);
    std::erase_if(members, [&](const Member& member) { return m_avoidedUntil.contains(member.name); });
    const auto* owner = ownerOf(role, members);
    if (!owner || owner->name == m_members.self().name)
        co_return co_await write(std::move(message));
    const auto name = owner->name;
    const auto address = owner->peerAddress;
    auto reply = co_await m_peers.call(address, message, writerTimeout);
    // An error without a retry time comes from the connection, since all errors of the writer have one.
    const bool isWriterUnreachable = !reply && !reply.error().retryAfter;
    if (!isWriterUnreachable)
        co_return reply;
    m_avoidedUntil[name] = Clock::now() + writerAvoidanceTime;
    logEvent(LogLevel::Info, "idempotency_writer_unreachable", { { "host", name }, { "error", reply.error().message } });
    // The unreachable writer may still write the same attempt, which is harmless: a claim or completion can be applied repeatedly.
    const auto verdict = reply.error().verdict;
    reply = co_await write(std::move(message));
    if (!reply)
        reply.error().verdict = std::max(reply.error().verdict, verdict);
    co_return reply;
}

asio::awaitable<Result<ClaimReply>> IdempotencyService::claim(ClaimKey message)
{
    return send(std::move(message));
}

asio::awaitable<void> IdempotencyService::recordResult(CompleteKey message, std::chrono::milliseconds timeout)
{
    if (m_pendingCount >= maxPendingResults) {
        ++m_givenUpCount;
        co_return;
    }
    const auto pendingResult = std::make_shared<PendingResult>(m_context);
    pendingResult->timer.expires_after(timeout);
    ++m_pendingCount;
    spawnTask(m_context, "idempotency_service.record_loop", recordLoop(std::move(message), pendingResult));
    boost::system::error_code ec;
    if (!pendingResult->isDone && timeout.count() > 0)
        co_await pendingResult->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> IdempotencyService::recordLoop(CompleteKey message, std::shared_ptr<PendingResult> pendingResult)
{
    const auto deadline = Clock::now() + recordRetryTimeout;
    std::chrono::milliseconds delay = firstRetryDelay;
    while (true) {
        const auto recorded = co_await send(message);
        if (recorded)
            break;
        if (Clock::now() + delay > deadline) {
            ++m_givenUpCount;
            logEvent(LogLevel::Warning, "idempotency_result_not_recorded",
                { { "organisation", message.organisation }, { "attempt", message.attemptId }, { "error", recorded.error().message } });
            break;
        }
        asio::steady_timer timer(m_context, delay);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        delay = std::min(delay * 2, maxRetryDelay);
    }
    --m_pendingCount;
    pendingResult->isDone = true;
    pendingResult->timer.cancel();
}

}
