#include "chiveshelf/dispatch/LocalScheduler.h"

#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(250);
    // The load of a runner is a short JSON object.
    constexpr http::CallLimits pollLimits { std::chrono::milliseconds(200), std::chrono::milliseconds(500), true, 256 * 1024 };

}

LocalScheduler::LocalScheduler(asio::io_context& context, http::Client& client, TableStore& tables, PolicyKind kind, std::string dataCentre)
    : m_context(context)
    , m_client(client)
    , m_tables(tables)
    , m_kind(kind)
    , m_dataCentre(std::move(dataCentre))
{
}

void LocalScheduler::start()
{
    if (m_kind == PolicyKind::LeastLoaded)
        spawnLoop(m_context, "local_scheduler.poll_loop", [this] { return pollLoop(); });
}

PoolScheduler& LocalScheduler::scheduler(const Pool& pool, std::uint64_t tablesRevision)
{
    auto& out = m_pools.try_emplace(pool.name, m_kind, FairShareSettings {}, m_dataCentre).first->second;
    out.setPool(pool, tablesRevision);
    return out;
}

Result<Grant> LocalScheduler::grant(const Enqueue& message)
{
    const auto tables = m_tables.snapshot();
    const auto* pool = tables->findPool(message.pool);
    if (!pool)
        return failure(ErrorCode::NotFound, "unknown pool '" + message.pool + "'", Verdict::NotRun);
    auto& poolScheduler = scheduler(*pool, tables->revision);
    const auto now = Clock::now();
    const auto queued = poolScheduler.enqueue(message, now);
    if (!queued)
        return tl::unexpected(queued.error());
    for (auto& granted : poolScheduler.assign(now)) {
        if (granted.requestId == message.requestId)
            return std::move(granted.grant);
    }
    poolScheduler.cancel(message.requestId, now);
    return failure(ErrorCode::Unavailable, "no runner is left for the request", Verdict::NotRun);
}

void LocalScheduler::finish(const Finished& message)
{
    const auto it = m_pools.find(message.pool);
    if (it != m_pools.end())
        it->second.finish(message, Clock::now());
}

nlohmann::json LocalScheduler::state() const
{
    auto out = nlohmann::json::object();
    for (const auto& [name, pool] : m_pools)
        out[name] = pool.state();
    return out;
}

asio::awaitable<void> LocalScheduler::pollLoop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        const auto tables = m_tables.snapshot();
        for (const auto& pool : tables->pools) {
            for (const auto& runner : pool.runners) {
                if (pool.kind == PoolKind::Model && runner.dataCentre == m_dataCentre)
                    spawnTask(m_context, "local_scheduler.poll", poll(pool.name, runner));
            }
        }
        boost::system::error_code ec;
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> LocalScheduler::poll(std::string poolName, Backend runner)
{
    const auto response = co_await m_client.send(runner.address, http::makeRequest(http::Verb::get, "/v1/load"), pollLimits);
    const auto body = response ? nlohmann::json::parse(response->body(), nullptr, false) : nlohmann::json();
    const auto tables = m_tables.snapshot();
    const auto* pool = tables->findPool(poolName);
    if (!pool || !body.is_object())
        co_return;
    const auto count = [&](const char* name) { return body.contains(name) && body[name].is_number_integer() ? body[name].get<int>() : 0; };
    scheduler(*pool, tables->revision).statistics().setReportedLoad(runner.name, count("queue") + count("running"));
}

}
