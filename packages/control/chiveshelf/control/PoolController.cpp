#include "chiveshelf/control/PoolController.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // While something changes, reports are read often enough that a slot for the next load does not stay empty for long.
    constexpr auto busyInterval = std::chrono::milliseconds(50);
    constexpr auto idleInterval = std::chrono::milliseconds(500);
    constexpr auto acquireRetry = std::chrono::milliseconds(500);
    constexpr auto readPollInterval = std::chrono::milliseconds(5);
    // Requests that were granted a runner just before it was taken out reach it within this time.
    constexpr auto grantSettling = std::chrono::milliseconds(30);

}

PoolController::PoolController(Ports ports, std::string pool)
    : m_ports(ports)
    , m_poolName(std::move(pool))
    , m_lease(ports.platform, m_poolName, ports.members.self().dataCentre, ports.members.self().name)
{
}

bool PoolController::isOwner()
{
    const auto* owner = m_ports.members.owner("scheduler/" + m_poolName);
    const auto& self = m_ports.members.self();
    return owner && owner->name == self.name && self.state == MemberState::Live;
}

asio::awaitable<void> PoolController::run()
{
    while (!m_isStopped) {
        co_await step();
        co_await sleepFor(m_machine.state() == RolloutState::Idle ? idleInterval : busyInterval);
    }
    co_await m_lease.release();
}

asio::awaitable<void> PoolController::step()
{
    const auto tables = m_ports.tables.snapshot();
    const auto* row = tables->findPool(m_poolName);
    if (!row || !isOwner()) {
        // Commands that are under way end by themselves; the next holder waits for them, since the record still says "held".
        standDown();
        for (const auto& [name, runner] : m_runners)
            m_ports.board.forget(name);
        m_runners.clear();
        co_return;
    }
    const Pool pool = *row;
    co_await readStatuses(pool);
    const auto next = plan(pool);
    if (!next.isDone())
        m_machine.workFound();
    else if (m_machine.state() == RolloutState::Acquiring || m_machine.state() == RolloutState::Rolling)
        m_machine.workDone();
    if (m_machine.state() == RolloutState::Acquiring && next.outdated > 0)
        co_await tryAcquire();
    const bool needsLease = m_machine.state() == RolloutState::WaitingOut || m_machine.state() == RolloutState::Rolling;
    if (needsLease) {
        co_await m_lease.renew();
        if (!m_lease.mayAct(Clock::now())) {
            logEvent(LogLevel::Warning, "control_lease_lost", { { "pool", m_poolName }, { "fencing_token", m_lease.fencingToken() } });
            standDown();
        }
    }
    if (m_machine.state() == RolloutState::WaitingOut && Clock::now() >= m_waitUntil)
        m_machine.waitedOut();
    if (m_machine.state() == RolloutState::Rolling)
        co_await roll(pool);
    if (m_machine.state() == RolloutState::Releasing) {
        co_await m_lease.release();
        m_machine.released();
        logEvent(LogLevel::Info, "rollout_finished", { { "pool", m_poolName }, { "version", pool.version } });
    }
    updateBoard(pool);
}

void PoolController::standDown()
{
    m_machine.leaseLost();
    m_lease.abandon();
}

asio::awaitable<void> PoolController::readStatuses(Pool pool)
{
    const auto dataCentre = m_ports.members.self().dataCentre;
    std::map<std::string, ControlledRunner> present;
    std::vector<Backend> backends;
    for (const auto& backend : pool.runners) {
        if (backend.dataCentre != dataCentre)
            continue;
        backends.push_back(backend);
        const auto it = m_runners.find(backend.name);
        present[backend.name] = it == m_runners.end() ? ControlledRunner { backend.name, std::nullopt, std::nullopt } : it->second;
    }
    m_runners = std::move(present);
    m_pendingReads = backends.size();
    for (const auto& backend : backends)
        spawnTask(m_ports.context, "pool_controller.read_status", readStatus(backend.name, backend.address));
    while (m_pendingReads > 0)
        co_await sleepFor(readPollInterval);
    for (auto& [name, runner] : m_runners) {
        if (runner.status && isUpToDate(*runner.status, pool))
            runner.commandedAt.reset();
    }
}

asio::awaitable<void> PoolController::readStatus(std::string name, Address address)
{
    const auto status = co_await m_ports.runners.readStatus(address);
    const auto it = m_runners.find(name);
    if (it != m_runners.end()) {
        const bool wasLoading = it->second.status && it->second.status->isLoading;
        it->second.status = status ? std::optional(*status) : std::nullopt;
        if (wasLoading && status && !status->isLoading)
            it->second.commandedAt.reset();
    }
    --m_pendingReads;
}

RolloutPlan PoolController::plan(const Pool& pool) const
{
    std::vector<ControlledRunner> runners;
    for (const auto& [name, runner] : m_runners)
        runners.push_back(runner);
    return planRollout(runners, pool, Clock::now());
}

asio::awaitable<void> PoolController::tryAcquire()
{
    if (Clock::now() < m_nextAcquire)
        co_return;
    m_nextAcquire = Clock::now() + acquireRetry;
    const auto acquired = co_await m_lease.acquire();
    if (!acquired) {
        logEvent(LogLevel::Info, "control_lease_refused", { { "pool", m_poolName }, { "error", acquired.error().message } });
        co_return;
    }
    m_waitUntil = Clock::now() + longestCommand;
    m_machine.leaseAcquired(m_lease.mustWait());
    logEvent(LogLevel::Info, "control_lease_acquired",
        { { "pool", m_poolName }, { "fencing_token", m_lease.fencingToken() }, { "waits", m_lease.mustWait() ? "yes" : "no" } });
}

asio::awaitable<void> PoolController::roll(Pool pool)
{
    const auto next = plan(pool);
    if (next.load.empty())
        co_return;
    for (const auto& name : next.load)
        m_ports.board.setTakenOut(name, true);
    co_await sleepFor(grantSettling);
    for (const auto& name : next.load) {
        for (const auto& backend : pool.runners) {
            if (backend.name == name)
                co_await commandLoad(backend, pool);
        }
    }
}

asio::awaitable<void> PoolController::commandLoad(Backend backend, Pool pool)
{
    const auto& self = m_ports.members.self();
    // Read once more: it shows a load that an earlier holder began, and leaves an open connection on which the command is
    // written directly after the check of the lease.
    const auto status = co_await m_ports.runners.readStatus(backend.address);
    const auto it = m_runners.find(backend.name);
    if (it == m_runners.end() || !status || status->isLoading)
        co_return;
    if (!m_lease.mayAct(Clock::now()) || self.state != MemberState::Live)
        co_return;
    RunnerCommand command;
    command.fencingToken = m_lease.fencingToken();
    command.command = status->version != pool.version && !pool.version.empty() ? "load_version" : "load_adapter";
    command.version = pool.version.empty() ? status->version : pool.version;
    command.adapter = pool.adapter;
    it->second.commandedAt = Clock::now();
    ++m_commandCount;
    const auto sent = co_await m_ports.runners.command(backend.address, command);
    logEvent(sent ? LogLevel::Info : LogLevel::Warning, "runner_commanded",
        { { "pool", m_poolName }, { "runner", backend.name }, { "command", command.command }, { "version", command.version },
            { "adapter", command.adapter }, { "fencing_token", command.fencingToken }, { "result", sent ? "accepted" : sent.error().message } });
    const bool isRefused = !sent && sent.error().verdict == Verdict::NotRun;
    const auto found = m_runners.find(backend.name);
    // After an unknown outcome the runner counts as loading until the longest command has passed.
    if (isRefused && found != m_runners.end())
        found->second.commandedAt.reset();
    if (isRefused && sent.error().code == ErrorCode::Conflict)
        standDown();
}

void PoolController::updateBoard(const Pool& pool)
{
    const auto now = Clock::now();
    for (const auto& [name, runner] : m_runners) {
        m_ports.board.setStatus(name, runner.status);
        const bool isPending = runner.commandedAt && now - *runner.commandedAt < longestCommand;
        m_ports.board.setTakenOut(name, isPending && !(runner.status && isUpToDate(*runner.status, pool)));
    }
}

asio::awaitable<void> PoolController::sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_ports.context, time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

nlohmann::json PoolController::state() const
{
    auto runners = nlohmann::json::object();
    for (const auto& [name, runner] : m_runners) {
        const auto status = runner.status.value_or(RunnerStatus {});
        runners[name] = { { "answers", runner.status.has_value() }, { "version", status.version }, { "adapter", status.adapter },
            { "loading", status.isLoading }, { "commanded", runner.commandedAt.has_value() } };
    }
    return { { "phase", rolloutStateName(m_machine.state()) }, { "fencing_token", m_lease.fencingToken() }, { "commands", m_commandCount },
        { "runners", runners } };
}

}
