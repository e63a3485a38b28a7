#include "chiveshelf/gateway/Gateway.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <malloc.h>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Exit codes, documented in docs/OPERATIONS.md.
    constexpr int exitSettings = 2;
    constexpr int exitListen = 3;

    // File descriptors reserved for files, peers, the store and the admin address.
    constexpr std::size_t reservedDescriptors = 264;
    constexpr http::ServerLimits adminLimits { 16 * 1024, 64 * 1024, 32 };
    constexpr std::chrono::milliseconds sweepInterval { 500 };

    // Lease of this host's registration. Long enough to keep renewals rare, short enough that peers notice a lost host within
    // seconds.
    constexpr std::chrono::milliseconds registrationTimeToLive { 9'000 };
    constexpr std::chrono::milliseconds registrationRenewInterval { 3'000 };

    // The load balancer probes readiness every second and removes a host after two failed probes.
    constexpr std::chrono::milliseconds balancerDetectionTime { 2'600 };
    // Part of the stop limit reserved for the exit of the process itself.
    constexpr std::chrono::milliseconds exitMargin { 250 };
    // After this share of the stop limit, new requests might not finish in time and are refused, so that callers use other hosts.
    // With the default limit of 8 s, this is some 200 ms after the load balancer has removed this host.
    constexpr double acceptShareOfStopLimit = 0.35;
    // Time that removing the registration from the store may take. If less is left, the registration's lease expires instead.
    constexpr std::chrono::milliseconds deregistrationTimeout { 1'200 };
    constexpr std::chrono::milliseconds drainCheckInterval { 50 };
    // Requests without a response get an answer of this host so long before its exit, which is enough to write it to any caller.
    constexpr std::chrono::milliseconds finalAnswerMargin { 400 };

    LogLevel levelFromName(const std::string& name)
    {
        if (name == "debug")
            return LogLevel::Debug;
        if (name == "warning")
            return LogLevel::Warning;
        return name == "error" ? LogLevel::Error : LogLevel::Info;
    }

}

Gateway::Gateway(asio::io_context& context, GatewaySettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_state(m_settings)
    , m_loopMonitor(context)
    , m_backends(context)
    , m_exchange(context, m_settings, m_state)
    , m_client(context)
    , m_store(m_client, m_settings.storeAddress)
    , m_storeFollower(context, m_settings, m_store, m_state, m_exchange)
    , m_registration(context, m_store,
          StoreLease::Options { std::string(hostKeyPrefix) + m_settings.hostName, toString(m_settings.peerAddress), registrationTimeToLive, registrationRenewInterval, false },
          [this] { return m_storeFollower.isInContact(); })
    , m_rolloutLeader(context, m_settings, m_client, m_store, m_state, m_storeFollower, m_exchange)
    , m_softwareLedger(context, m_store, m_state, m_storeFollower, m_rolloutLeader)
    , m_cacheFollower(context, m_client, m_state, m_exchange, [this] { return m_rolloutLeader.mayFreeParts(); })
    , m_memoryPlan(planMemory(m_settings))
    , m_bodyBudget(std::make_shared<BodyBudget>(BodyBudget::Limits { m_memoryPlan.bodyBytes, m_memoryPlan.smallBodyBytes, m_settings.slowBodyBytesPerSecond }))
    , m_forwardContext { context, m_settings, m_state, m_backends, m_exchange, m_client, m_metrics, std::make_shared<HeldBytesBudget>(m_memoryPlan.responseBytes) }
    , m_server(
          context, { m_memoryPlan.connections, m_settings.receiveBufferBytes }, m_bodyBudget,
          [this] { return m_state.routes() ? m_state.routes()->tables().limits : CallerLimits {}; },
          [this](std::shared_ptr<CallerConnection> caller, CallerRequest request) { return serve(std::move(caller), std::move(request)); })
    , m_admin(context, adminLimits, [this](http::Exchange& exchange) { return serveAdmin(exchange); })
{
    m_state.setTablesHandler([this] { m_server.applyIdleTime(); });
    m_exchange.setItemHandlers([this] { return m_storeFollower.relayItems(); },
        [this](const std::vector<std::pair<std::string, std::string>>& items) { m_storeFollower.applyRelayedItems(items); });
}

MemoryPlan Gateway::planMemory(const GatewaySettings& settings)
{
    // Each request in progress may need a second descriptor for its runner.
    const auto descriptors = (settings.maxDescriptors - std::min(reservedDescriptors, settings.maxDescriptors / 2)) / 2;
    auto out = MemoryPlan::forMachine(settings.memoryMb, descriptors);
    if (settings.maxCallers > 0)
        out.connections = std::min(settings.maxCallers, descriptors);
    if (settings.bodyMemoryBytes > 0) {
        out.bodyBytes = settings.bodyMemoryBytes;
        out.smallBodyBytes = settings.bodyMemoryBytes / 4;
    }
    return out;
}

Result<void> Gateway::start()
{
    auto started = m_server.start(m_settings.callerAddress);
    if (started)
        started = m_admin.start(m_settings.adminAddress);
    if (started)
        started = m_exchange.start();
    if (!started)
        return started;
    m_state.softwareHistory().start(std::chrono::steady_clock::now(), m_settings.isFirstStart);
    m_loopMonitor.start();
    m_storeFollower.start();
    m_registration.start();
    m_rolloutLeader.start();
    m_softwareLedger.start();
    m_cacheFollower.start();
    spawnLoop(m_context, "gateway.sweep_loop", [this] { return sweepLoop(); });
    logEvent(LogLevel::Info, "started", { { "data_centre", m_settings.dataCentre }, { "listen", toString(m_settings.callerAddress) }, { "first_start", m_settings.isFirstStart ? "yes" : "no" } });
    return {};
}

bool Gateway::isReady() const
{
    return m_state.routes() && !m_server.isClosing() && !m_state.backendDirectory().all().empty();
}

asio::awaitable<void> Gateway::serve(std::shared_ptr<CallerConnection> caller, CallerRequest request)
{
    const bool isStopping = std::chrono::steady_clock::now() >= m_refuseRequestsFrom;
    ForwardTask task(m_forwardContext, std::move(caller), std::move(request));
    co_await task.run(isStopping);
}

asio::awaitable<void> Gateway::serveAdmin(http::Exchange& exchange)
{
    const auto target = exchange.request().target();
    const auto path = http::parseTarget({ target.data(), target.size() }).path;
    if (path == "/ready" || path == "/readyz") {
        auto response = http::makeResponse(isReady() ? http::Status::ok : http::Status::service_unavailable, isReady() ? "ready\n" : "not ready\n", "text/plain");
        co_await exchange.respond(std::move(response));
    } else if (path == "/metrics") {
        auto response = http::makeResponse(http::Status::ok, metricsText(), "text/plain; version=0.0.4");
        co_await exchange.respond(std::move(response));
    } else if (path == "/state") {
        auto response = http::makeResponse(http::Status::ok, stateText());
        co_await exchange.respond(std::move(response));
    } else {
        auto response = http::makeResponse(http::Status::not_found, "unknown path\n", "text/plain");
        co_await exchange.respond(std::move(response));
    }
}

asio::awaitable<void> Gateway::sleep(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> Gateway::sweepLoop()
{
    while (true) {
        co_await sleep(sweepInterval);
        m_backends.sweep(std::chrono::steady_clock::now());
    }
}

void Gateway::stop()
{
    if (m_server.isClosing())
        return;
    logEvent(LogLevel::Info, "stopping", { { "active", m_server.activeRequests() } });
    m_server.announceClose();
    m_refuseRequestsFrom = std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.stopLimit * acceptShareOfStopLimit);
    spawnTask(m_context, "gateway.drain_and_stop", drainAndStop());
}

asio::awaitable<void> Gateway::answerBeforeExit(TimePoint end)
{
    co_await sleep(std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()) - finalAnswerMargin);
    logEvent(LogLevel::Info, "ending_requests", { { "active", m_forwardContext.tasks->size() } });
    for (auto* task : *m_forwardContext.tasks)
        task->endBeforeExit();
}

asio::awaitable<void> Gateway::drainAndStop()
{
    const auto end = std::chrono::steady_clock::now() + m_settings.stopLimit - exitMargin;
    spawnTask(m_context, "gateway.answer_before_exit", answerBeforeExit(end));
    co_await m_rolloutLeader.stop();
    co_await sleep(balancerDetectionTime);
    co_await drainCallers(end);
    if (std::chrono::steady_clock::now() + deregistrationTimeout < end)
        co_await m_registration.stop();
    // Requests may have arrived while the registration was removed.
    co_await drainCallers(end);
    logEvent(LogLevel::Info, "stopped", { { "active", m_server.activeRequests() } });
    m_server.abortActive();
    m_context.stop();
}

asio::awaitable<void> Gateway::drainCallers(TimePoint end)
{
    m_server.closeIdle();
    while (std::chrono::steady_clock::now() < end && (m_server.acceptPending() || m_server.connectionCount() > 0)) {
        co_await sleep(drainCheckInterval);
        m_server.closeIdle();
    }
}

std::string Gateway::stateText() const
{
    const auto now = std::chrono::steady_clock::now();
    nlohmann::json out { { "host", m_settings.hostName }, { "ready", isReady() }, { "tables_version", m_state.tablesVersion() },
        { "store_reached", m_storeFollower.isInContact() }, { "store_era", m_store.era() },
        { "store_revision", m_storeFollower.position().revision }, { "leading", m_rolloutLeader.isLeading() }, { "hosts", m_exchange.hostCount() },
        { "active", m_server.activeRequests() }, { "connections", m_server.connectionCount() } };
    for (const auto& [model, history] : m_state.versions())
        out["versions"][model] = history.newest();
    for (const auto& [id, runner] : m_state.backendDirectory().all()) {
        const auto total = runner->totalWork(now);
        out["runners"][id] = { { "pool", runner->record().pool }, { "address", toString(runner->record().address) },
            { "leaving", runner->isLeaving() }, { "usable", runner->isUsable(now) }, { "paused", runner->isPaused(now) }, { "loading", runner->isLoading(now) },
            { "versions", runner->record().modelVersions }, { "software", runner->record().softwareVersion }, { "requests", runner->requests(now) }, { "prefill_tokens", total.prefillTokens },
            { "prompts", total.prompts }, { "memory_tokens", total.memoryTokens }, { "failure_share", runner->health().failureShare(now) },
            { "tokens_per_ms", runner->tokensPerMs(0) }, { "cached_tokens", runner->cachedParts().tokens() } };
        if (runner->isEvacuated())
            out["runners"][id]["evacuated"] = true;
        if (runner->isWarmingUp(now))
            out["runners"][id]["warm_up"] = { { "bound_per_second", runner->warmUpBound()->perSecond }, { "share_per_second", runner->warmUpQuota().share() }, { "has_room", runner->warmUpQuota().hasRoom(now) } };
        if (m_settings.learnsCapacity) {
            const auto& record = runner->record();
            const auto reference = ServicePlacement::referenceMs(m_state.backendDirectory().runnersOf(record.pool), 0);
            const auto& capacity = runner->capacity().estimate(reference, static_cast<std::int32_t>(record.slots), now);
            out["runners"][id]["capacity"] = { { "mean_ms", runner->capacity().meanMs() }, { "factor_alone", capacity.factor(1) }, { "factor_at_good_load", capacity.factor(capacity.limit()) }, { "good_load", capacity.limit() } };
        }
        if (const auto limit = runner->requestLimit().perSecond())
            out["runners"][id]["limit"] = { { "per_second", *limit }, { "sent", runner->requestLimit().sentSinceChange() }, { "has_permit", runner->requestLimit().hasPermit(now) } };
    }
    return out.dump(2) + "\n";
}

std::string Gateway::metricsText() const
{
    auto metrics = m_metrics;
    metrics.loopDelays = m_loopMonitor.delays();
    metrics.closedCallers = m_server.closedConnections();
    metrics.refusedConnections = m_server.refusedConnections();
    metrics.tablesArrivals = m_state.tablesArrivals();
    metrics.suspicionEvents = m_exchange.suspicions().events();
    const auto& served = m_exchange.tables().counts();
    metrics.tablesPieces = served.pieces;
    metrics.tablesBytes = served.bytes;
    metrics.tablesBusy = served.busy;
    return formatGatewayMetrics(metrics,
        { { "active_requests", static_cast<double>(m_server.activeRequests()) }, { "connections", static_cast<double>(m_server.connectionCount()) },
            { "connections_bound", static_cast<double>(m_memoryPlan.connections) }, { "body_bytes", static_cast<double>(m_bodyBudget->held()) },
            { "body_bytes_bound", static_cast<double>(m_memoryPlan.bodyBytes) },
            { "idle_backend_connections", static_cast<double>(m_backends.idleCount()) },
            { "backend_connects", static_cast<double>(m_backends.connectCount()) }, { "store_calls", static_cast<double>(m_store.callCount()) },
            { "store_era", static_cast<double>(m_store.era()) }, { "store_revision", static_cast<double>(m_storeFollower.position().revision) },
            { "tables_version", static_cast<double>(m_state.tablesVersion()) },
            { "tables_texts_decoded", static_cast<double>(m_storeFollower.decodedTablesCount()) }, { "runners", static_cast<double>(m_state.backendDirectory().all().size()) },
            { "hosts", static_cast<double>(m_exchange.hostCount()) },
            { "suspected_runners", static_cast<double>(m_exchange.suspicions().suspectedCount(std::chrono::steady_clock::now())) },
            { "stream_origins", static_cast<double>(m_state.streamOriginCount()) }, { "store_reached", m_storeFollower.isInContact() ? 1.0 : 0.0 },
            { "leading", m_rolloutLeader.isLeading() ? 1.0 : 0.0 } });
}

int runGateway(int argc, char** argv)
{
    auto options = makeGatewayOptions();
    auto problems = options.parse(argc, argv);
    if (options.isSet("help")) {
        std::cout << "Usage: chiveshelfd gateway [flags]\n\nServes routes by host and path on an entry host.\n\n"
                  << options.help();
        return 0;
    }
    for (const auto& argument : options.arguments())
        problems.push_back(argument + ": unexpected argument");
    auto settings = readGatewaySettings(options, problems);
    if (options.isSet("print-settings"))
        std::cout << options.describe();
    for (const auto& problem : problems)
        std::cerr << "chiveshelfd gateway: " << problem << "\n";
    if (!problems.empty())
        return exitSettings;
    if (options.isSet("print-settings"))
        return 0;
    std::signal(SIGPIPE, SIG_IGN);
    // A fixed threshold makes the allocator return the memory of large bodies to the system. By default the threshold rises with the first
    // large block that is freed, and later ones stay resident in a fragmented heap.
    ::mallopt(M_MMAP_THRESHOLD, 128 * 1024);
    initializeLog(settings.hostName, levelFromName(settings.logLevel));
    asio::io_context context(1);
    Gateway gateway(context, std::move(settings));
    const auto started = gateway.start();
    if (!started) {
        logEvent(LogLevel::Error, "start_failed", { { "error", started.error().message } });
        return exitListen;
    }
    asio::signal_set stopSignals(context, SIGINT, SIGTERM);
    stopSignals.async_wait([&](boost::system::error_code ec, int) {
        if (!ec)
            gateway.stop();
    });
    // Settings come from flags and environment variables, which don't change while the process runs.
    asio::signal_set reloadSignals(context, SIGHUP);
    std::function<void()> awaitReload = [&] {
        reloadSignals.async_wait([&](boost::system::error_code ec, int) {
            if (ec)
                return;
            logEvent(LogLevel::Info, "reload_ignored", { { "reason", "settings are only read at start" } });
            awaitReload();
        });
    };
    awaitReload();
    runGuarded(context);
    return 0;
}

}
