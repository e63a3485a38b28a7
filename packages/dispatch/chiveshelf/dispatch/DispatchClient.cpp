#include "chiveshelf/dispatch/DispatchClient.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/membership/RendezvousHash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    // A third of the scheduler's slot lifetime, so that one lost message frees no slot.
    constexpr auto renewInterval = std::chrono::milliseconds(1'000);
    constexpr auto reportLimit = std::chrono::milliseconds(1'000);
    // Pause before asking again after the owner was lost, for membership to notice.
    constexpr auto reassignDelay = std::chrono::milliseconds(50);
    // The owner answers by itself at the deadline; this covers the way there and back.
    constexpr auto answerSlack = std::chrono::milliseconds(500);

}

DispatchClient::DispatchClient(asio::io_context& context, peer::PeerClient& peers, MemberDirectory& members)
    : m_context(context)
    , m_peers(peers)
    , m_members(members)
{
}

void DispatchClient::start()
{
    asio::co_spawn(m_context, renewLoop(), asio::detached);
}

const Member* DispatchClient::owner(const std::string& pool) const
{
    const auto members = m_members.inDataCentre(m_members.self().dataCentre);
    const auto* best = ownerOf("scheduler/" + pool, members);
    return best ? m_members.find(best->name) : nullptr;
}

asio::awaitable<Result<Grant>> DispatchClient::acquire(Enqueue request)
{
    const auto deadline = Clock::now() + std::chrono::milliseconds(request.deadlineMs);
    request.entryHost = m_members.self().name;
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        if (left.count() <= 0)
            co_return failure(ErrorCode::Overloaded, "no runner became free in time", Verdict::NotRun, std::chrono::milliseconds(1'000));
        request.deadlineMs = left.count();
        const auto* host = owner(request.pool);
        if (!host)
            co_return failure(ErrorCode::Unavailable, "no host takes work in this data centre", Verdict::NotRun, std::chrono::milliseconds(1'000));
        auto grant = co_await m_peers.call(host->peerAddress, request, left + answerSlack);
        if (grant) {
            m_running[request.requestId] = { request.pool, grant->runner };
            co_return grant;
        }
        const bool isLost = grant.error().code == ErrorCode::Unavailable || grant.error().code == ErrorCode::Timeout;
        if (!isLost) {
            grant.error().verdict = Verdict::NotRun;
            co_return grant;
        }
        logEvent(LogLevel::Info, "scheduler_lost",
            { { "request_id", request.requestId }, { "organisation", request.organisation }, { "pool", request.pool }, { "error", grant.error().message } });
        asio::steady_timer timer(m_context, reassignDelay);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

void DispatchClient::release(Finished report)
{
    m_running.erase(report.requestId);
    asio::co_spawn(m_context, sendFinished(std::move(report)), asio::detached);
}

asio::awaitable<void> DispatchClient::sendFinished(Finished report)
{
    const auto* host = owner(report.pool);
    if (host)
        co_await m_peers.call(host->peerAddress, std::move(report), reportLimit);
}

void DispatchClient::cancel(const std::string& pool, const std::string& requestId)
{
    CancelQueued message;
    message.requestId = requestId;
    message.pool = pool;
    asio::co_spawn(m_context, sendCancel(std::move(message)), asio::detached);
}

asio::awaitable<void> DispatchClient::sendCancel(CancelQueued message)
{
    const auto* host = owner(message.pool);
    if (host)
        co_await m_peers.call(host->peerAddress, std::move(message), reportLimit);
}

asio::awaitable<void> DispatchClient::renewLoop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        boost::system::error_code ec;
        timer.expires_after(renewInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        std::map<std::string, std::vector<RunningRequest>> byPool;
        for (const auto& [id, entry] : m_running)
            byPool[entry.pool].push_back({ id, entry.runner });
        for (auto& [pool, requests] : byPool)
            asio::co_spawn(m_context, renew(pool, std::move(requests)), asio::detached);
    }
}

asio::awaitable<void> DispatchClient::renew(std::string pool, std::vector<RunningRequest> requests)
{
    const auto* host = owner(pool);
    if (!host)
        co_return;
    InFlight message { m_members.self().name, pool, std::move(requests) };
    co_await m_peers.call(host->peerAddress, std::move(message), reportLimit);
}

}
