#include "chiveshelf/dispatch/DispatchClient.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    // A third of the scheduler's slot lifetime, so that one lost message does not free a slot.
    constexpr auto renewInterval = std::chrono::milliseconds(1'000);
    constexpr auto reportTimeout = std::chrono::milliseconds(1'000);
    // For this time after its connection was lost, a host is asked only if there is no other. Membership detects a failed host
    // meanwhile.
    constexpr auto lostHostAvoidanceTime = std::chrono::milliseconds(2'000);
    // Pause before the same host is asked again after its connection was lost, so that membership can detect a failure.
    constexpr auto reassignDelay = std::chrono::milliseconds(50);
    // Pause before the next attempt when the retry budget is used up. The request still waits: it has not run, and
    // a new owner is found within seconds.
    constexpr auto exhaustedBudgetDelay = std::chrono::milliseconds(500);
    // Retries credited per request, and the largest number of unused ones.
    constexpr double retryShare = 0.1;
    constexpr double retryReserve = 20;
    // Time to wait for a reply beyond the deadline. The owner replies by the deadline; the margin covers the network round trip.
    constexpr auto replyMargin = std::chrono::milliseconds(500);

}

DispatchClient::DispatchClient(asio::io_context& context, peer::PeerServer& server, peer::PeerClient& peers, MemberDirectory& members,
    LocalScheduler* local)
    : m_context(context)
    , m_peers(peers)
    , m_members(members)
    , m_local(local)
    , m_retries(retryShare, retryReserve)
{
    server.handle<Preempt>([this](Preempt message) { return preempt(std::move(message)); });
}

void DispatchClient::start()
{
    m_peers.onLost([this](const Address& address) { handleLostHost(address); });
    spawnLoop(m_context, "dispatch_client.renew_loop", [this] { return renewLoop(); });
}

const Member* DispatchClient::owner(const std::string& pool)
{
    const auto now = Clock::now();
    std::erase_if(m_avoidedUntil, [&](const auto& entry) { return entry.second <= now; });
    std::vector<std::string> avoided;
    for (const auto& [name, until] : m_avoidedUntil)
        avoided.push_back(name);
    return m_members.owner("scheduler/" + pool, avoided);
}

asio::awaitable<Result<Grant>> DispatchClient::acquire(Enqueue request)
{
    const auto deadline = Clock::now() + std::chrono::milliseconds(request.deadlineMs);
    request.entryHost = m_members.self().name;
    std::string lostHost;
    m_retries.onRequest();
    if (m_local) {
        auto grant = m_local->grant(request);
        if (grant)
            m_running[request.requestId] = { request.pool, grant->runner, request.priority, false, nullptr };
        co_return grant;
    }
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        if (left.count() <= 0)
            co_return failure(ErrorCode::Overloaded, "no runner became free in time", Verdict::NotRun, std::chrono::milliseconds(1'000));
        request.deadlineMs = left.count();
        const auto* host = owner(request.pool);
        if (!host)
            co_return failure(ErrorCode::Unavailable, "no host in this data centre accepts requests", Verdict::NotRun, std::chrono::milliseconds(1'000));
        if (host->name == lostHost) {
            // Asking the same host again counts as a retry.
            asio::steady_timer timer(m_context, m_retries.take() ? reassignDelay : exhaustedBudgetDelay);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            lostHost.clear();
            continue;
        }
        const auto name = host->name;
        const auto address = host->peerAddress;
        auto grant = co_await m_peers.call(address, request, left + replyMargin);
        if (grant) {
            m_running[request.requestId] = { request.pool, grant->runner, request.priority, false, nullptr };
            co_return grant;
        }
        const bool isLost = grant.error().code == ErrorCode::Unavailable || grant.error().code == ErrorCode::Timeout;
        if (!isLost) {
            grant.error().verdict = Verdict::NotRun;
            co_return grant;
        }
        logEvent(LogLevel::Info, "scheduler_lost",
            { { "host", name }, { "request_id", request.requestId }, { "organisation", request.organisation }, { "pool", request.pool }, { "error", grant.error().message } });
        lostHost = name;
        m_avoidedUntil[name] = Clock::now() + lostHostAvoidanceTime;
    }
}

void DispatchClient::handleLostHost(const Address& address)
{
    for (const auto& member : m_members.inDataCentre(m_members.self().dataCentre)) {
        if (member.peerAddress == address)
            m_avoidedUntil[member.name] = Clock::now() + lostHostAvoidanceTime;
    }
    // The next owner must know which slots are in use before the requests that waited at the lost owner reach it.
    renewSlots();
    if (m_onLostOwner)
        m_onLostOwner(address);
}

void DispatchClient::release(Finished report)
{
    m_running.erase(report.requestId);
    if (m_local) {
        m_local->finish(report);
        return;
    }
    spawnTask(m_context, "dispatch_client.send_finished", sendFinished(std::move(report)));
}

void DispatchClient::onPreempt(const std::string& requestId, std::function<void()> action)
{
    const auto it = m_running.find(requestId);
    if (it != m_running.end())
        it->second.onPreempt = std::move(action);
}

void DispatchClient::noteFirstToken(const std::string& requestId)
{
    const auto it = m_running.find(requestId);
    if (it != m_running.end())
        it->second.hasFirstToken = true;
}

asio::awaitable<Result<PreemptReply>> DispatchClient::preempt(Preempt message)
{
    const auto it = m_running.find(message.requestId);
    if (it == m_running.end() || it->second.hasFirstToken || !it->second.onPreempt)
        co_return PreemptReply { false };
    const auto action = std::exchange(it->second.onPreempt, nullptr);
    action();
    co_return PreemptReply { true };
}

asio::awaitable<void> DispatchClient::sendFinished(Finished report)
{
    const auto* host = owner(report.pool);
    if (!host)
        co_return;
    ++m_pendingReports;
    co_await m_peers.call(host->peerAddress, std::move(report), reportTimeout);
    --m_pendingReports;
}

void DispatchClient::cancel(const std::string& pool, const std::string& requestId)
{
    CancelQueued message;
    message.requestId = requestId;
    message.pool = pool;
    spawnTask(m_context, "dispatch_client.send_cancel", sendCancel(std::move(message)));
}

asio::awaitable<void> DispatchClient::sendCancel(CancelQueued message)
{
    const auto* host = owner(message.pool);
    if (host)
        co_await m_peers.call(host->peerAddress, std::move(message), reportTimeout);
}

asio::awaitable<void> DispatchClient::renewLoop()
{
    if (m_local)
        co_return;
    asio::steady_timer timer(m_context);
    while (true) {
        boost::system::error_code ec;
        timer.expires_after(renewInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        renewSlots();
    }
}

void DispatchClient::renewSlots()
{
    if (m_local)
        return;
    std::map<std::string, std::vector<RunningRequest>> byPool;
    for (const auto& [id, entry] : m_running)
        byPool[entry.pool].push_back({ id, entry.runner, entry.priority });
    for (auto& [pool, requests] : byPool)
        spawnTask(m_context, "dispatch_client.renew", renew(pool, std::move(requests)));
}

asio::awaitable<void> DispatchClient::renew(std::string pool, std::vector<RunningRequest> requests)
{
    const auto* host = owner(pool);
    if (!host)
        co_return;
    InFlight message { m_members.self().name, pool, std::move(requests) };
    co_await m_peers.call(host->peerAddress, std::move(message), reportTimeout);
}

}
