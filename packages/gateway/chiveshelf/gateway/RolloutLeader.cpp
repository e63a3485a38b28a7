#include "chiveshelf/gateway/RolloutLeader.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "platform/RunnerOrders.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // A failed holder is replaced after this time. A holder that has only lost its connection to the store can finish the rollout
    // of a small pool within it.
    constexpr std::chrono::milliseconds leaseTimeToLive { 2'500 };
    constexpr std::chrono::milliseconds renewInterval { 500 };
    // An order is sent only while the lease is valid for at least this time, which covers the transmission and the timeout of the
    // call.
    constexpr std::chrono::milliseconds orderMargin { 500 };
    // Hosts try to acquire the lease one after another, so that usually one of them makes a call instead of all.
    constexpr std::chrono::milliseconds campaignDelayPerPosition { 100 };
    constexpr std::size_t maxCampaignPosition = 6;
    constexpr std::chrono::milliseconds checkInterval { 100 };
    // Delay before an order, after the notice on which other hosts stop sending requests to the runner. Short requests end in
    // this time.
    constexpr std::chrono::milliseconds orderDelay { 60 };
    // Interval of calls to a runner that loads weights.
    constexpr std::chrono::milliseconds pollInterval { 50 };
    // Longest such interval for a runner that limits its requests.
    constexpr std::chrono::milliseconds maxPollInterval { 1'000 };
    // How often an order may be repeated to find out whether the load has finished. Reports are some 100 ms old, while the answer
    // to a repeated order is current but more expensive.
    constexpr int maxConfirmations = 6;
    // A runner that has not loaded the weights within this time counts as failed.
    constexpr std::chrono::milliseconds loadTimeout { 3'500 };
    // An order is repeated if the runner's reports don't show it after this time.
    constexpr std::chrono::milliseconds retryDelay { 700 };
    constexpr int maxOrders = 3;

}

RolloutLeader::RolloutLeader(asio::io_context& context, const GatewaySettings& settings, http::Client& client, platform::StoreClient& store,
    ServingState& state, StoreFollower& follower, HostExchange& exchange)
    : m_context(context)
    , m_settings(settings)
    , m_client(client)
    , m_state(state)
    , m_follower(follower)
    , m_exchange(exchange)
    , m_lease(context, store, StoreLease::Options { std::string(leaderKey), settings.hostName, leaseTimeToLive, renewInterval, true },
          [this] { return mayCampaign(); })
{
}

void RolloutLeader::start()
{
    m_lease.start();
    spawnLoop(m_context, "rollout_leader.run", [this] { return run(); });
}

asio::awaitable<void> RolloutLeader::stop()
{
    m_isStopped = true;
    co_await m_lease.stop();
}

bool RolloutLeader::mayCampaign() const
{
    if (m_isStopped || m_lease.mayHaveUnseenHolder() || !m_follower.isInContact() || m_follower.hostItems().contains(std::string(leaderKey)))
        return false;
    // The first host tries at once, the others only if none before them has acquired the lease.
    const auto position = static_cast<int>(std::min(m_exchange.rendezvousPosition(leaderKey), maxCampaignPosition));
    return std::chrono::steady_clock::now() - m_follower.leaderKeyFreeSince() > campaignDelayPerPosition * position;
}

bool RolloutLeader::isLeading() const
{
    return !m_isStopped && m_lease.isHeld(orderMargin) && m_lease.heldFor() >= m_settings.orderGap;
}

asio::awaitable<void> RolloutLeader::sleep(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> RolloutLeader::run()
{
    while (!m_isStopped) {
        co_await sleep(checkInterval);
        // A former holder may have freed parts of a version that this host doesn't know to be old before it knows its own acquisition.
        if (holdsLease() && m_follower.position() >= m_lease.acquiredAt())
            m_state.confirmVersions(bootTime());
        if (isLeading() && !m_state.versions().empty())
            startUpdates();
    }
}

void RolloutLeader::startUpdates()
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [model, history] : m_state.versions()) {
        const auto newest = history.newest();
        std::map<std::string, std::vector<RolloutRunner>> pools;
        for (const auto& [id, runner] : m_state.backendDirectory().all()) {
            const auto version = runner->version(model);
            if (version && !runner->isLeaving() && !runner->isPaused(now))
                pools[runner->record().pool].push_back({ id, *version, runner->requests(now) });
        }
        for (auto& [pool, runners] : pools) {
            for (const auto& id : m_schedules[{ model, pool }].next(std::move(runners), newest, now)) {
                if (auto runner = m_state.backendDirectory().find(id))
                    spawnTask(m_context, "rollout_leader.update", update(std::move(runner), model, newest));
            }
        }
    }
}

asio::awaitable<void> RolloutLeader::update(std::shared_ptr<BackendState> runner, std::string model, std::uint64_t version)
{
    const auto id = runner->record().id;
    const bool isDone = co_await order(runner, model, version);
    if (isDone)
        m_exchange.announceRollout(runner->record(), model, version, true);
    else
        m_schedules[{ model, runner->record().pool }].onFailed(id);
    logEvent(LogLevel::Info, "rollout_step", { { "runner", id }, { "model", model }, { "version", version }, { "done", isDone ? "yes" : "no" } });
    if (isDone && isLeading())
        startUpdates();
}

asio::awaitable<bool> RolloutLeader::order(std::shared_ptr<BackendState> runner, std::string model, std::uint64_t version)
{
    const auto record = runner->record();
    const auto report = co_await platform::readWeightReport(m_client, record.address, m_exchange.countCall(runner));
    if (!report || (report->bornMs != 0 && record.bornMs != 0 && report->bornMs != record.bornMs)) {
        co_await sleep(retryDelay);
        co_return false;
    }
    const auto present = report->modelVersions.find(model);
    if (present != report->modelVersions.end() && present->second >= version)
        co_return true;
    if (report->isBusy)
        co_return co_await awaitVersion(runner, model, version, report->orderCount + 1);
    m_exchange.announceRollout(record, model, version, false);
    co_await sleep(orderDelay);
    platform::VersionOrder command;
    command.model = model;
    command.version = version;
    // Running requests continue: waiting for long streams would make a runner unavailable for seconds, and the last runners of the
    // rollout would exceed the time limit for the version.
    command.running = platform::RunningRequests::Continue;
    command.holder = m_settings.hostName;
    command.expectedOrderCount = report->orderCount;
    const std::function<bool()> isAllowed = [this] { return isLeading(); };
    for (int i = 0; i < maxOrders; ++i) {
        if (!isLeading() || runner->isLeaving())
            co_return false;
        command.fencingToken = m_lease.fencingToken();
        const auto outcome = co_await platform::orderVersion(m_client, record, command, m_exchange.countCall(runner), isAllowed);
        logEvent(LogLevel::Info, "order_sent", { { "runner", record.id }, { "version", version }, { "fence", command.fencingToken }, { "outcome", static_cast<int>(outcome) } });
        if (outcome == platform::OrderOutcome::AlreadyInPlace)
            co_return true;
        if (outcome == platform::OrderOutcome::Refused)
            co_return false;
        if (outcome == platform::OrderOutcome::Accepted && co_await confirm(runner, command))
            co_return true;
        if (co_await awaitVersion(runner, model, version, report->orderCount + (outcome == platform::OrderOutcome::Accepted ? 0 : 1)))
            co_return true;
        if (outcome == platform::OrderOutcome::Accepted)
            co_return false;
    }
    co_return false;
}

std::chrono::milliseconds RolloutLeader::pollIntervalOf(const BackendState& runner)
{
    const auto& limit = runner.requestLimit();
    if (!limit.perSecond())
        return pollInterval;
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(limit.interval()), pollInterval, maxPollInterval);
}

// Polls a runner that has accepted an order by repeating the order, which has no further effect. Starts after the expected load time.
asio::awaitable<bool> RolloutLeader::confirm(std::shared_ptr<BackendState> runner, platform::VersionOrder command)
{
    const auto record = runner->record();
    ++command.expectedOrderCount;
    const auto start = std::chrono::steady_clock::now();
    co_await sleep(m_loadTime);
    const std::function<bool()> isAllowed = [this] { return isLeading(); };
    for (int i = 0; i < maxConfirmations && isLeading() && !runner->isLeaving(); ++i) {
        const auto outcome = co_await platform::orderVersion(m_client, record, command, m_exchange.countCall(runner), isAllowed);
        if (outcome == platform::OrderOutcome::AlreadyInPlace) {
            const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
            m_loadTime = std::clamp(elapsed - pollInterval / 2, pollInterval, m_settings.orderGap);
            co_return true;
        }
        co_await sleep(pollIntervalOf(*runner));
    }
    co_return false;
}

// Waits until the runner has the version. Returns false early if the runner is idle and its order count is still below
// `orderCount`, as the order then didn't arrive.
asio::awaitable<bool> RolloutLeader::awaitVersion(std::shared_ptr<BackendState> runner, std::string model, std::uint64_t version,
    std::uint64_t orderCount)
{
    const auto address = runner->record().address;
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < loadTimeout && !m_isStopped) {
        co_await sleep(pollIntervalOf(*runner));
        if (runner->isLeaving())
            co_return false;
        if (runner->isPaused(std::chrono::steady_clock::now()))
            continue;
        const auto report = co_await platform::readWeightReport(m_client, address, m_exchange.countCall(runner));
        if (!report)
            continue;
        const auto present = report->modelVersions.find(model);
        if (present != report->modelVersions.end() && present->second >= version)
            co_return true;
        const bool hasNotArrived = !report->isBusy && report->orderCount < orderCount;
        if (hasNotArrived && std::chrono::steady_clock::now() - start >= retryDelay)
            co_return false;
    }
    co_return false;
}

}
