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

    // Covers the window of a group, a write whose reply is lost and the read after it.
    constexpr auto writerLimit = std::chrono::milliseconds(1'300);
    // Membership moves the role within seconds; until then other calls need not find the lost host again.
    constexpr auto avoidPeriod = std::chrono::milliseconds(2'000);
    constexpr auto settleLimit = std::chrono::seconds(30);
    constexpr auto firstSettleDelay = std::chrono::milliseconds(100);
    constexpr auto longestSettleDelay = std::chrono::milliseconds(3'000);
    // Bounds memory in a long outage. A claim that is not settled is answered as unknown, which is safe.
    constexpr std::size_t maximumPending = 2'000;

}

struct IdempotencyService::Settlement {
    explicit Settlement(asio::io_context& context)
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
    auto reply = co_await m_peers.call(address, message, writerLimit);
    // An error of the writer has a retry time; one without comes from the connection.
    const bool isLost = !reply && !reply.error().retryAfter;
    if (!isLost)
        co_return reply;
    m_avoidedUntil[name] = Clock::now() + avoidPeriod;
    logEvent(LogLevel::Info, "idempotency_writer_lost", { { "host", name }, { "error", reply.error().message } });
    // The lost writer may still write the same attempt; the shard's rules make that harmless.
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

asio::awaitable<void> IdempotencyService::settle(CompleteKey message, std::chrono::milliseconds limit)
{
    if (m_pendingCount >= maximumPending) {
        ++m_givenUpCount;
        co_return;
    }
    const auto settlement = std::make_shared<Settlement>(m_context);
    settlement->timer.expires_after(limit);
    ++m_pendingCount;
    spawnTask(m_context, "idempotency_service.settle_loop", settleLoop(std::move(message), settlement));
    boost::system::error_code ec;
    if (!settlement->isDone && limit.count() > 0)
        co_await settlement->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> IdempotencyService::settleLoop(CompleteKey message, std::shared_ptr<Settlement> settlement)
{
    const auto deadline = Clock::now() + settleLimit;
    std::chrono::milliseconds delay = firstSettleDelay;
    while (true) {
        const auto recorded = co_await send(message);
        if (recorded)
            break;
        if (Clock::now() + delay > deadline) {
            ++m_givenUpCount;
            logEvent(LogLevel::Warning, "idempotency_end_not_recorded",
                { { "organisation", message.organisation }, { "attempt", message.attemptId }, { "error", recorded.error().message } });
            break;
        }
        asio::steady_timer timer(m_context, delay);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        delay = std::min(delay * 2, longestSettleDelay);
    }
    --m_pendingCount;
    settlement->isDone = true;
    settlement->timer.cancel();
}

}
