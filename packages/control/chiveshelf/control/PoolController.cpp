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

    // Poll interval during a rollout. Short, so that the next load starts soon after one has ended.
    constexpr auto activePollInterval = std::chrono::milliseconds(50);
    constexpr auto idlePollInterval = std::chrono::milliseconds(500);
    constexpr auto acquireRetryInterval = std::chrono::milliseconds(500);
    // Interval between two checks whether all pending status reads have ended.
    constexpr auto readPollInterval = std::chrono::milliseconds(5);
    // Time between setting a runner out of service and sending it a command, so that requests granted just before still reach it.
    constexpr auto grantDeliveryTime = std::chrono::milliseconds(30);

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
        co_await sleepFor(m_machine.state() == RolloutState::Idle ? idlePollInterval : activePollInterval);
    }
    co_await m_lease.release();
}

asio::awaitable<void> PoolController::step()
{
    const auto tables = m_ports.tables.snapshot();
    const auto* row = tables->findPool(m_poolName);
    if (!row || !isOwner()) {
        // Running commands end by themselves. The next holder waits for them, since the record still has the state "held".
        dropLease();
        for (const auto& [name, runner] : m_runners)
            m_ports.statusRegistry.remove(name);
        m_runners.clear();
        co_return;
    }
    const Pool pool = *row;
    co_await readStatuses(pool);
    const auto next = plan(pool);
    if (!next.isDone())
        m_machine.rolloutNeeded();
    else if (m_machine.state() == RolloutState::Acquiring || m_machine.state() == RolloutState::Rolling)
        m_machine.rolloutDone();
    if (m_machine.state() == RolloutState::Acquiring && next.outdatedCount > 0)
        co_await tryAcquire();
    const bool needsLease = m_machine.state() == RolloutState::WaitingOut || m_machine.state() == RolloutState::Rolling;
    if (needsLease) {
        co_await m_lease.renew();
        if (!m_lease.isValid(Clock::now())) {
            logEvent(LogLevel::Warning, "control_lease_lost", { { "pool", m_poolName }, { "fencing_token", m_lease.fencingToken() } });
            dropLease();
        }
    }
    if (m_machine.state() == RolloutState::WaitingOut && Clock::now() >= m_waitUntil)
        m_machine.waitElapsed();
    if (m_machine.state() == RolloutState::Rolling)
        co_await startLoads(pool);
    if (m_machine.state() == RolloutState::Releasing) {
        co_await m_lease.release();
        m_machine.released();
        logEvent(LogLevel::Info, "rollout_finished", { { "pool", m_poolName }, { "version", pool.version } });
    }
    updateStatusRegistry(pool);
}

void PoolController::dropLease()
{
    m_machine.leaseLost();
    m_lease.abandon();
}

asio::awaitable<void> PoolController::readStatuses(Pool pool)
{
    const auto dataCentre = m_ports.members.self().dataCentre;
    std::map<std::string, ControlledRunner> current;
    std::vector<Backend> backends;
    for (const auto& backend : pool.runners) {
        if (backend.dataCentre != dataCentre)
            continue;
        backends.push_back(backend);
        const auto it = m_runners.find(backend.name);
        current[backend.name] = it == m_runners.end() ? ControlledRunner { backend.name, std::nullopt, std::nullopt } : it->second;
    }
    m_runners = std::move(current);
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
    if (Clock::now() < m_nextAcquireAt)
        co_return;
    m_nextAcquireAt = Clock::now() + acquireRetryInterval;
    const auto acquired = co_await m_lease.acquire();
    if (!acquired) {
        logEvent(LogLevel::Info, "control_lease_refused", { { "pool", m_poolName }, { "error", acquired.error().message } });
        co_return;
    }
    m_waitUntil = Clock::now() + maxCommandDuration;
    m_machine.leaseAcquired(m_lease.mustWait());
    logEvent(LogLevel::Info, "control_lease_acquired",
        { { "pool", m_poolName }, { "fencing_token", m_lease.fencingToken() }, { "waits", m_lease.mustWait() ? "yes" : "no" } });
}

asio::awaitable<void> PoolController::startLoads(Pool pool)
{
    const auto next = plan(pool);
    if (next.runnersToLoad.empty())
        co_return;
    for (const auto& name : next.runnersToLoad)
        m_ports.statusRegistry.setOutOfService(name, true);
    co_await sleepFor(grantDeliveryTime);
    for (const auto& name : next.runnersToLoad) {
        for (const auto& backend : pool.runners) {
            if (backend.name == name)
                co_await sendLoadCommand(backend, pool);
        }
    }
}

asio::awaitable<void> PoolController::sendLoadCommand(Backend backend, Pool pool)
{
    const auto& self = m_ports.members.self();
    // Read the status again to detect a load started by a previous holder, and to have an open connection on which the command
    // is written directly after the check of the lease.
    const auto status = co_await m_ports.runners.readStatus(backend.address);
    const auto it = m_runners.find(backend.name);
    if (it == m_runners.end() || !status || status->isLoading)
        co_return;
    if (!m_lease.isValid(Clock::now()) || self.state != MemberState::Live)
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
    const bool isRejected = !sent && sent.error().verdict == Verdict::NotRun;
    const auto found = m_runners.find(backend.name);
    // After an unknown outcome the runner counts as loading for maxCommandDuration.
    if (isRejected && found != m_runners.end())
        found->second.commandedAt.reset();
    if (isRejected && sent.error().code == ErrorCode::Conflict)
        dropLease();
}

void PoolController::updateStatusRegistry(const Pool& pool)
{
    const auto now = Clock::now();
    for (const auto& [name, runner] : m_runners) {
        m_ports.statusRegistry.setStatus(name, runner.status);
        const bool isPending = runner.commandedAt && now - *runner.commandedAt < maxCommandDuration;
        m_ports.statusRegistry.setOutOfService(name, isPending && !(runner.status && isUpToDate(*runner.status, pool)));
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
