#include "chiveshelf/dispatch/SchedulerService.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(50);
    // Time to wait for the reply to Preempt. A later one would arrive after the target of the urgent request that needs the slot.
    constexpr auto preemptTimeout = std::chrono::milliseconds(500);
    // A slot that its entry host has not renewed for this long is freed: the host has failed or is disconnected.
    constexpr auto slotLifetime = std::chrono::milliseconds(3'000);

}

struct SchedulerService::Waiter {
    explicit Waiter(asio::io_context& context)
        : timer(context)
    {
    }

    std::string entryHost;
    asio::steady_timer timer;
    std::optional<Result<Grant>> result;
};

struct SchedulerService::PoolState {
    struct Slot {
        std::string runner;
        std::string entryHost;
        Clock::time_point renewedAt;
    };

    explicit PoolState(const SchedulerSettings& settings)
        : scheduler(settings.policy, settings.fairShare, settings.dataCentre)
    {
    }

    PoolScheduler scheduler;
    std::map<std::string, std::shared_ptr<Waiter>> waiters;
    std::map<std::string, Slot> running;
};

SchedulerService::SchedulerService(asio::io_context& context, peer::PeerServer& server, peer::PeerClient& peers, MemberDirectory& members,
    TableStore& tables, SchedulerSettings settings)
    : m_context(context)
    , m_peers(peers)
    , m_members(members)
    , m_tables(tables)
    , m_settings(std::move(settings))
{
    server.handle<Enqueue>([this](Enqueue message) { return enqueue(std::move(message)); });
    server.handle<CancelQueued>([this](CancelQueued message) { return cancel(std::move(message)); });
    server.handle<Finished>([this](Finished message) { return finish(std::move(message)); });
    server.handle<InFlight>([this](InFlight message) { return renew(std::move(message)); });
}

SchedulerService::~SchedulerService() = default;

void SchedulerService::start()
{
    spawnLoop(m_context, "scheduler_service.tick_loop", [this] { return tickLoop(); });
}

SchedulerService::PoolState& SchedulerService::poolState(const std::string& name)
{
    auto& state = m_pools[name];
    if (!state) {
        state = std::make_unique<PoolState>(m_settings);
        state->scheduler.setWeightsSource(m_weights);
    }
    return *state;
}

asio::awaitable<Result<Grant>> SchedulerService::enqueue(Enqueue message)
{
    if (m_isRefusing)
        co_return failure(ErrorCode::Unavailable, "scheduler is handing over", Verdict::NotRun);
    const auto tables = m_tables.snapshot();
    const auto* pool = tables->findPool(message.pool);
    if (!pool)
        co_return failure(ErrorCode::NotFound, "no pool named '" + message.pool + "'", Verdict::NotRun);
    if (message.priority < 0 || message.priority >= static_cast<std::int32_t>(priorityCount))
        co_return failure(ErrorCode::InvalidRequest, "unknown priority", Verdict::NotRun);
    ++m_acceptedCount;
    auto& state = poolState(message.pool);
    state.scheduler.setPool(*pool, tables->revision);
    if (state.waiters.contains(message.requestId)) {
        state.scheduler.cancel(message.requestId, Clock::now());
        answer(state, message.requestId, failure(ErrorCode::Cancelled, "replaced by a repeated Enqueue", Verdict::NotRun));
    }
    const auto queued = state.scheduler.enqueue(message, Clock::now());
    if (!queued)
        co_return tl::unexpected(queued.error());
    const auto waiter = std::make_shared<Waiter>(m_context);
    waiter->entryHost = message.entryHost;
    state.waiters[message.requestId] = waiter;
    applyDecisions(message.pool);
    while (!waiter->result) {
        boost::system::error_code ec;
        waiter->timer.expires_after(std::chrono::hours(1));
        co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return std::move(*waiter->result);
}

void SchedulerService::handOver(const std::function<bool(const std::string& pool)>& isOwnedElsewhere)
{
    for (const auto& [name, state] : m_pools) {
        if (state->waiters.empty() || !isOwnedElsewhere(name))
            continue;
        std::vector<std::string> ids;
        for (const auto& [id, waiter] : state->waiters)
            ids.push_back(id);
        logEvent(LogLevel::Info, "scheduler_handed_over", { { "pool", name }, { "queued", ids.size() } });
        for (const auto& id : ids) {
            state->scheduler.cancel(id, Clock::now());
            answer(*state, id, failure(ErrorCode::Unavailable, "scheduler is handing over", Verdict::NotRun));
        }
    }
}

void SchedulerService::setRefusing(bool isRefusing)
{
    m_isRefusing = isRefusing;
    if (isRefusing)
        handOver([](const std::string&) { return true; });
}

asio::awaitable<Result<Acknowledgement>> SchedulerService::cancel(CancelQueued message)
{
    auto& state = poolState(message.pool);
    state.scheduler.cancel(message.requestId, Clock::now());
    state.running.erase(message.requestId);
    answer(state, message.requestId, failure(ErrorCode::Cancelled, "cancelled by the entry host", Verdict::NotRun));
    applyDecisions(message.pool);
    co_return Acknowledgement {};
}

asio::awaitable<Result<Acknowledgement>> SchedulerService::finish(Finished message)
{
    auto& state = poolState(message.pool);
    state.running.erase(message.requestId);
    state.scheduler.finish(message, Clock::now());
    applyDecisions(message.pool);
    co_return Acknowledgement {};
}

asio::awaitable<Result<Acknowledgement>> SchedulerService::renew(InFlight message)
{
    auto& state = poolState(message.pool);
    const auto now = Clock::now();
    for (const auto& request : message.requests) {
        state.running[request.requestId] = { request.runner, message.entryHost, now };
        state.scheduler.adopt(request, now);
    }
    co_return Acknowledgement {};
}

asio::awaitable<void> SchedulerService::tickLoop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        boost::system::error_code ec;
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const auto now = Clock::now();
        for (const auto& entry : m_pools) {
            auto& state = *entry.second;
            std::erase_if(state.running, [&](const auto& slot) {
                const bool isExpired = now - slot.second.renewedAt > slotLifetime;
                if (isExpired)
                    state.scheduler.drop(slot.first, now);
                return isExpired;
            });
            applyDecisions(entry.first);
            for (const auto& refusal : state.scheduler.expire(now))
                answer(state, refusal.requestId, tl::unexpected(refusal.error));
        }
    }
}

void SchedulerService::applyDecisions(const std::string& poolName)
{
    const auto tables = m_tables.snapshot();
    const auto* pool = tables->findPool(poolName);
    auto& state = poolState(poolName);
    if (!pool)
        return;
    state.scheduler.setPool(*pool, tables->revision);
    const auto now = Clock::now();
    for (auto& [requestId, grant] : state.scheduler.assign(now)) {
        const auto waiter = state.waiters.find(requestId);
        state.running[requestId] = { grant.runner, waiter == state.waiters.end() ? "" : waiter->second->entryHost, now };
        answer(state, requestId, std::move(grant));
    }
    for (const auto& preemption : state.scheduler.preempt(now)) {
        const auto slot = state.running.find(preemption.requestId);
        if (slot == state.running.end())
            continue;
        logEvent(LogLevel::Info, "preempting", { { "request_id", preemption.requestId }, { "pool", poolName }, { "reason", preemption.reason } });
        spawnTask(m_context, "scheduler_service.send_preempt", sendPreempt(slot->second.entryHost, { preemption.requestId, poolName }));
    }
}

asio::awaitable<void> SchedulerService::sendPreempt(std::string entryHost, Preempt message)
{
    const auto* host = m_members.find(entryHost);
    if (host)
        co_await m_peers.call(host->peerAddress, std::move(message), preemptTimeout);
}

void SchedulerService::answer(PoolState& state, const std::string& requestId, Result<Grant> result)
{
    const auto it = state.waiters.find(requestId);
    if (it == state.waiters.end())
        return;
    it->second->result = std::move(result);
    it->second->timer.cancel();
    state.waiters.erase(it);
}

nlohmann::json SchedulerService::state() const
{
    auto out = nlohmann::json::object();
    for (const auto& [name, state] : m_pools) {
        auto running = nlohmann::json::object();
        for (const auto& [id, slot] : state->running)
            running[id] = slot.runner;
        out[name] = state->scheduler.state();
        out[name]["running"] = running;
    }
    return out;
}

SchedulerCounters SchedulerService::counters() const
{
    SchedulerCounters out;
    for (const auto& [name, state] : m_pools) {
        const auto& counters = state->scheduler.counters();
        for (std::size_t i = 0; i < priorityCount; ++i) {
            out.granted[i] += counters.granted[i];
            out.refused[i] += counters.refused[i];
            out.preempted[i] += counters.preempted[i];
        }
    }
    return out;
}

}
