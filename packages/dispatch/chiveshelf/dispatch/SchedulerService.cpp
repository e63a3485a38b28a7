#include "chiveshelf/dispatch/SchedulerService.h"

#include "chiveshelf/core/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(50);
    // A slot whose entry host has not renewed it for this long is free again: the host is gone or was cut off.
    constexpr auto slotLifetime = std::chrono::milliseconds(3'000);
    constexpr std::size_t keptDecisions = 32;

}

struct SchedulerService::Waiter {
    explicit Waiter(asio::io_context& context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    std::optional<Result<Grant>> result;
};

struct SchedulerService::PoolState {
    struct Slot {
        std::string runner;
        Clock::time_point renewedAt;
    };

    PoolQueue queue;
    std::map<std::string, std::shared_ptr<Waiter>> waiters;
    std::map<std::string, Slot> running;
    std::deque<Assignment> decisions;
};

SchedulerService::SchedulerService(asio::io_context& context, peer::PeerServer& server, TableStore& tables, std::string dataCentre)
    : m_context(context)
    , m_tables(tables)
    , m_dataCentre(std::move(dataCentre))
{
    server.handle<Enqueue>([this](Enqueue message) { return enqueue(std::move(message)); });
    server.handle<CancelQueued>([this](CancelQueued message) { return cancel(std::move(message)); });
    server.handle<Finished>([this](Finished message) { return finish(std::move(message)); });
    server.handle<InFlight>([this](InFlight message) { return renew(std::move(message)); });
}

SchedulerService::~SchedulerService() = default;

void SchedulerService::start()
{
    asio::co_spawn(m_context, tickLoop(), asio::detached);
}

SchedulerService::PoolState& SchedulerService::poolState(const std::string& name)
{
    auto& state = m_pools[name];
    if (!state)
        state = std::make_unique<PoolState>();
    return *state;
}

asio::awaitable<Result<Grant>> SchedulerService::enqueue(Enqueue message)
{
    if (m_isRefusing)
        co_return failure(ErrorCode::Unavailable, "scheduler is handing over", Verdict::NotRun);
    if (!m_tables.snapshot()->findPool(message.pool))
        co_return failure(ErrorCode::NotFound, "no pool named '" + message.pool + "'", Verdict::NotRun);
    if (message.priority < 0 || message.priority >= static_cast<std::int32_t>(priorityCount))
        co_return failure(ErrorCode::InvalidRequest, "unknown priority", Verdict::NotRun);
    ++m_acceptedCount;
    auto& state = poolState(message.pool);
    const auto now = Clock::now();
    if (state.waiters.contains(message.requestId)) {
        state.queue.cancel(message.requestId);
        answer(state, message.requestId, failure(ErrorCode::Cancelled, "asked again", Verdict::NotRun));
    }
    QueuedRequest request;
    request.id = message.requestId;
    request.organisation = message.organisation;
    request.priority = static_cast<Priority>(message.priority);
    request.weight = message.weight;
    request.promptTokens = message.promptTokens;
    request.maxTokens = message.maxTokens;
    request.blocks = std::move(message.blocks);
    request.stored = message.stored;
    request.enqueuedAt = now;
    request.deadline = now + std::chrono::milliseconds(message.deadlineMs);
    request.excludedRunners = std::move(message.excludedRunners);
    state.queue.enqueue(std::move(request));
    const auto waiter = std::make_shared<Waiter>(m_context);
    state.waiters[message.requestId] = waiter;
    pump(message.pool);
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
            state->queue.cancel(id);
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
    state.queue.cancel(message.requestId);
    state.running.erase(message.requestId);
    answer(state, message.requestId, failure(ErrorCode::Cancelled, "cancelled by the entry host", Verdict::NotRun));
    pump(message.pool);
    co_return Acknowledgement {};
}

asio::awaitable<Result<Acknowledgement>> SchedulerService::finish(Finished message)
{
    poolState(message.pool).running.erase(message.requestId);
    pump(message.pool);
    co_return Acknowledgement {};
}

asio::awaitable<Result<Acknowledgement>> SchedulerService::renew(InFlight message)
{
    auto& state = poolState(message.pool);
    for (const auto& request : message.requests)
        state.running[request.requestId] = { request.runner, Clock::now() };
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
        for (const auto& [name, state] : m_pools) {
            std::erase_if(state->running, [&](const auto& entry) { return now - entry.second.renewedAt > slotLifetime; });
            pump(name);
            for (const auto& refusal : state->queue.expire(now))
                answer(*state, refusal.requestId, tl::unexpected(refusal.error));
        }
    }
}

std::vector<RunnerSnapshot> SchedulerService::snapshotRunners(const Pool& pool, const PoolState& state) const
{
    std::vector<RunnerSnapshot> out;
    for (const auto& runner : pool.runners) {
        if (runner.dataCentre == m_dataCentre)
            out.push_back({ runner.name, pool.slotsPerRunner, 0, true });
    }
    for (const auto& [id, slot] : state.running) {
        for (auto& runner : out) {
            if (runner.name == slot.runner)
                ++runner.running;
        }
    }
    return out;
}

void SchedulerService::pump(const std::string& poolName)
{
    const auto tables = m_tables.snapshot();
    const auto* pool = tables->findPool(poolName);
    auto& state = poolState(poolName);
    if (!pool || state.queue.size() == 0)
        return;
    const auto now = Clock::now();
    auto runners = snapshotRunners(*pool, state);
    for (const auto& assignment : state.queue.assign(now, runners)) {
        state.running[assignment.requestId] = { assignment.runner, now };
        state.decisions.push_back(assignment);
        if (state.decisions.size() > keptDecisions)
            state.decisions.pop_front();
        for (const auto& runner : pool->runners) {
            if (runner.name == assignment.runner)
                answer(state, assignment.requestId, Grant { runner.name, toString(runner.address), pool->version, tables->revision, assignment.reason });
        }
    }
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
        auto decisions = nlohmann::json::array();
        for (const auto& decision : state->decisions)
            decisions.push_back({ { "request_id", decision.requestId }, { "runner", decision.runner }, { "reason", decision.reason } });
        out[name] = { { "queued", state->queue.size() }, { "running", running }, { "decisions", decisions } };
    }
    return out;
}

}
