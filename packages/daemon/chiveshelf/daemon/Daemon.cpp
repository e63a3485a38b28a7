#include "chiveshelf/daemon/Daemon.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    constexpr http::CallLimits platformCallLimits { std::chrono::milliseconds(300), std::chrono::milliseconds(1'000) };
    constexpr http::CallLimits runnerCallLimits { std::chrono::milliseconds(300), std::chrono::milliseconds(2'000) };
    // Short, since callers wait while the idempotency record of their key is read. A value has up to 1 MB.
    constexpr http::CallLimits recordCallLimits { std::chrono::milliseconds(200), std::chrono::milliseconds(400) };
    constexpr auto drainCheckInterval = std::chrono::milliseconds(20);
    // Interval at which a draining host repeats its announcement, since datagrams may be lost.
    constexpr auto announceInterval = std::chrono::milliseconds(250);
    // Maximum wait at shutdown until other hosts confirm that this host's requests have ended. Without a confirmation the slots of
    // these requests are freed later.
    constexpr auto reportTimeout = std::chrono::milliseconds(1'000);

    PolicyKind policyKind(const DaemonSettings& settings)
    {
        return policyKindFromName(settings.schedulingPolicy).value_or(PolicyKind::FairShare);
    }

    SchedulerSettings schedulerSettings(const DaemonSettings& settings)
    {
        SchedulerSettings out;
        out.dataCentre = settings.dataCentre;
        out.policy = policyKind(settings);
        out.fairShare.cacheBlocksPerRunner = static_cast<std::size_t>(settings.cacheBlocksPerRunner);
        out.fairShare.blockTokens = settings.cache.blockTokens;
        out.fairShare.cacheHalfLife = settings.cacheHalfLife;
        out.fairShare.importsPerLink = static_cast<std::size_t>(settings.importsPerLink);
        // Each host has its own seed, so that callers of different hosts do not retry at the same time.
        out.fairShare.seed = static_cast<std::uint32_t>(hash64(settings.hostName));
        return out;
    }

    void addSchedulerMetrics(prometheus::Registry& registry, const SchedulerCounters& counters)
    {
        auto& decisions = prometheus::BuildCounter()
                              .Name("chiveshelf_scheduler_decisions_total")
                              .Help("Decisions of this host as scheduler, by priority class.")
                              .Register(registry);
        for (const auto priority : allPriorities) {
            const std::string name(priorityName(priority));
            const auto index = priorityIndex(priority);
            decisions.Add({ { "class", name }, { "decision", "granted" } }).Increment(static_cast<double>(counters.granted[index]));
            decisions.Add({ { "class", name }, { "decision", "refused" } }).Increment(static_cast<double>(counters.refused[index]));
            decisions.Add({ { "class", name }, { "decision", "preempted" } }).Increment(static_cast<double>(counters.preempted[index]));
        }
    }

}

Daemon::Daemon(asio::io_context& context, DaemonSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_client(context)
    , m_platform(m_client, m_settings.platformAddress, platformCallLimits)
    , m_runnerClient(m_client, runnerCallLimits)
    , m_cache(context, m_client, m_settings.cache,
          [this](Address runner, ExportRequest request) { return m_runnerClient.exportBlock(std::move(runner), std::move(request)); })
    , m_members({ m_settings.hostName, m_settings.dataCentre, m_settings.advertisedPeerAddress, MemberState::Live, 0 }, m_settings.ownershipPolicy)
    , m_datagrams(context)
    , m_peerServer(context)
    , m_peerClient(context)
    , m_membership(context, m_platform, m_datagrams, m_peerClient, m_members)
    , m_tableAgent(context, m_platform, m_tables, m_members, m_datagrams, m_peerServer, m_peerClient)
    , m_scheduler(context, m_peerServer, m_peerClient, m_members, m_tables, schedulerSettings(m_settings))
    , m_localScheduler(context, m_client, m_tables, policyKind(m_settings), m_settings.dataCentre)
    , m_dispatch(context, m_peerServer, m_peerClient, m_members, hasCommonQueue(policyKind(m_settings)) ? nullptr : &m_localScheduler)
    , m_quarantine(context, m_datagrams, m_members)
    , m_recordPlatform(m_client, m_settings.platformAddress, recordCallLimits)
    , m_idempotency(context, m_peerServer, m_peerClient, m_members, m_recordPlatform, m_settings.idempotency)
    , m_control({ context, m_platform, m_runnerClient, m_tables, m_members, m_runnerStatus })
    , m_entry(context, {}, { m_tables, m_dispatch, m_quarantine, m_runnerClient, m_cache, m_client, m_idempotency }, m_settings.dataCentre)
    , m_admin(context,
          { [this] { return state(); }, [this] { return metrics(); },
              [this] { return m_tables.snapshot()->revision > 0 && !m_isDraining; }, [this] { drain(); } })
{
}

Result<void> Daemon::start()
{
    for (const auto& started : { m_datagrams.start(m_settings.peerAddress), m_peerServer.start(m_settings.peerAddress), m_admin.start(m_settings.adminAddress),
             m_entry.start(m_settings.callerAddress) }) {
        if (!started)
            return started;
    }
    m_tableAgent.start();
    m_membership.subscribe([this](const MemberChange& change) { handleMemberChange(change); });
    m_dispatch.onLostOwner([this](const Address& address) { m_membership.reportLostConnection(address); });
    m_membership.start();
    m_scheduler.setWeightsSource([this](const std::string& runner) {
        RunnerWeights weights { m_runnerStatus.mayServe(runner), m_runnerStatus.version(runner) };
        return weights;
    });
    if (m_settings.areRolloutsEnabled)
        m_control.start();
    m_scheduler.start();
    if (!hasCommonQueue(policyKind(m_settings)))
        m_localScheduler.start();
    m_dispatch.start();
    m_cache.start();
    logEvent(LogLevel::Info, "started",
        { { "host", m_settings.hostName }, { "data_centre", m_settings.dataCentre }, { "listen", toString(m_settings.callerAddress) } });
    return {};
}

void Daemon::drain()
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    logEvent(LogLevel::Info, "drain_started", { { "host", m_settings.hostName }, { "active", m_entry.activeRequests() } });
    spawnTask(m_context, "daemon.drain_then_stop", drainThenStop());
}

void Daemon::handleMemberChange(const MemberChange& change)
{
    m_scheduler.setRefusing(m_members.mustHandOver());
    const bool isInSameDataCentre = change.member.dataCentre == m_settings.dataCentre;
    if (!isInSameDataCentre || change.member.state == MemberState::Suspect)
        return;
    m_scheduler.handOver([this](const std::string& pool) {
        const auto* owner = m_members.owner("scheduler/" + pool);
        return owner && owner->name != m_settings.hostName;
    });
    m_dispatch.renewSlots();
}

asio::awaitable<void> Daemon::waitUntil(std::function<bool()> condition, std::chrono::steady_clock::time_point deadline)
{
    asio::steady_timer timer(m_context);
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        boost::system::error_code ec;
        timer.expires_after(drainCheckInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> Daemon::drainThenStop()
{
    using Clock = std::chrono::steady_clock;
    const auto start = Clock::now();
    const auto drainDeadline = start + m_settings.drainLimit;
    const auto noticeEnd = std::min(start + m_settings.drainNotice, drainDeadline);
    m_entry.announceClose();
    do {
        m_membership.announceLeaving();
        const std::function<bool()> never = [] { return false; };
        co_await waitUntil(never, std::min<Clock::time_point>(Clock::now() + announceInterval, noticeEnd));
    } while (Clock::now() < noticeEnd);
    m_entry.stopAccepting();
    logEvent(LogLevel::Info, "drain_stopped_accepting",
        { { "host", m_settings.hostName }, { "active", m_entry.activeRequests() }, { "connections", m_entry.connectionCount() } });
    const std::function<bool()> hasNoConnections = [this] { return m_entry.connectionCount() == 0; };
    co_await waitUntil(hasNoConnections, drainDeadline);
    const auto abortedRequests = m_entry.activeRequests();
    const std::function<bool()> hasNoRecords = [this] { return m_idempotency.pendingCount() == 0; };
    co_await waitUntil(hasNoRecords, drainDeadline);
    const std::function<bool()> hasNoReports = [this] { return m_dispatch.pendingReports() == 0; };
    co_await waitUntil(hasNoReports, Clock::now() + reportTimeout);
    m_membership.announceGone();
    logEvent(LogLevel::Info, "drain_finished", { { "host", m_settings.hostName }, { "aborted_requests", abortedRequests } });
    m_context.stop();
}

nlohmann::json Daemon::state() const
{
    const auto& records = m_idempotency.counters();
    auto members = nlohmann::json::array();
    for (const auto& member : m_members.all())
        members.push_back({ { "name", member.name }, { "data_centre", member.dataCentre }, { "state", memberStateName(member.state) },
            { "peer_address", toString(member.peerAddress) }, { "incarnation", member.incarnation } });
    const auto& counters = m_membership.counters();
    return {
        { "host", m_settings.hostName },
        { "data_centre", m_settings.dataCentre },
        { "draining", m_isDraining },
        { "tables_revision", m_tables.snapshot()->revision },
        { "tables", { { "watching", m_tableAgent.isWatching() }, { "edit_id", m_tables.snapshot()->editId } } },
        { "members", members },
        { "membership",
            { { "suspicions", counters.suspicions }, { "removals", counters.removals }, { "returns", counters.returns },
                { "own_suspicions", counters.ownSuspicions }, { "sent_datagrams", counters.sentDatagrams },
                { "received_datagrams", counters.receivedDatagrams }, { "sent_bytes", m_datagrams.sentBytes() },
                { "received_bytes", m_datagrams.receivedBytes() }, { "role_moves", m_members.roleMoves() } } },
        { "roles", m_members.roleOwners() },
        { "scheduler_requests", m_scheduler.acceptedCount() },
        { "pools", hasCommonQueue(policyKind(m_settings)) ? m_scheduler.state() : m_localScheduler.state() },
        { "scheduling_policy", m_settings.schedulingPolicy },
        { "quarantined", m_quarantine.quarantined() },
        { "retry_budget", { { "available", m_dispatch.retryBudget().available() }, { "denied", m_dispatch.retryBudget().deniedCount() } } },
        { "control", m_control.state() },
        { "active_requests", m_entry.activeRequests() },
        { "platform_calls", m_platform.callCount() + m_recordPlatform.callCount() },
        { "idempotency",
            { { "operations", records.operations }, { "groups", records.groups }, { "writes", records.writes }, { "conflicts", records.conflicts },
                { "read_backs", records.readBacks }, { "failures", records.failures }, { "full", records.full },
                { "platform_calls", m_recordPlatform.callCount() }, { "pending", m_idempotency.pendingCount() },
                { "given_up", m_idempotency.givenUpCount() }, { "replays", m_entry.counters().replays } } },
        { "connections", { { "peer_links", m_peerClient.connectionCount() }, { "idle_http", m_client.idleConnections() } } },
    };
}

std::string Daemon::metrics() const
{
    prometheus::Registry registry;
    const auto gauge = [&](const char* name, const char* help, double value) {
        prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
    };
    const auto counter = [&](const char* name, const char* help, std::uint64_t value) {
        prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({}).Increment(static_cast<double>(value));
    };
    counter("chiveshelf_requests_total", "Requests received from callers.", m_entry.counters().requests);
    counter("chiveshelf_refusals_total", "Requests refused before they reached a runner.", m_entry.counters().refusals);
    const auto& cache = m_cache.counters();
    const auto& exports = m_cache.exports().counters();
    counter("chiveshelf_store_lookups_total", "Look-ups of stored blocks.", cache.lookUps);
    counter("chiveshelf_store_lookup_failures_total", "Look-ups that failed or timed out.", cache.lookUpFailures);
    counter("chiveshelf_import_plans_total", "Requests sent to a runner with blocks to import.", cache.importPlans);
    counter("chiveshelf_import_failures_total", "Requests whose planned import was incomplete; the missing blocks were recomputed.", cache.importFailures);
    counter("chiveshelf_prompt_tokens_total", "Prompt tokens of answered requests.", cache.promptTokens);
    counter("chiveshelf_cached_tokens_total", "Prompt tokens taken from a runner's cache.", cache.cachedTokens);
    counter("chiveshelf_imported_tokens_total", "Prompt tokens imported from a store.", cache.importedTokens);
    counter("chiveshelf_exported_blocks_total", "Blocks written to a store and confirmed.", exports.blocks);
    counter("chiveshelf_export_failures_total", "Exports that failed.", exports.failures);
    counter("chiveshelf_exports_dropped_total", "Export offers dropped because of age, a full queue or an unreachable store.", exports.dropped);
    gauge("chiveshelf_exports_queued", "Export offers that wait for an idle link.", static_cast<double>(m_cache.exports().queued()));
    counter("chiveshelf_keyvalue_calls_total", "Calls to the platform's key-value service, watches included.", m_platform.callCount() + m_recordPlatform.callCount());
    const auto& records = m_idempotency.counters();
    counter("chiveshelf_idempotency_operations_total", "Claims and completions that this host wrote for its shards.", records.operations);
    counter("chiveshelf_idempotency_writes_total", "Compare-and-swaps of idempotency shards that succeeded.", records.writes);
    counter("chiveshelf_idempotency_conflicts_total", "Compare-and-swaps that failed because another host had written the shard.", records.conflicts);
    counter("chiveshelf_idempotency_read_backs_total", "Writes whose reply was lost, so that the shard was read to find their result.", records.readBacks);
    counter("chiveshelf_idempotency_failures_total", "Groups that were refused because the platform failed.", records.failures);
    counter("chiveshelf_idempotency_full_total", "Claims refused because their shard was full.", records.full);
    counter("chiveshelf_idempotency_replays_total", "Callers that got a recorded outcome.", m_entry.counters().replays);
    counter("chiveshelf_idempotency_given_up_total", "Attempts whose completion could not be recorded.", m_idempotency.givenUpCount());
    gauge("chiveshelf_idempotency_pending", "Attempts whose completion is not recorded yet.", static_cast<double>(m_idempotency.pendingCount()));
    gauge("chiveshelf_active_requests", "Requests that are being served.", static_cast<double>(m_entry.activeRequests()));
    const auto& tables = m_tableAgent.counters();
    counter("chiveshelf_tables_pulls_total", "Pulls of the tables from peers.", tables.pulls);
    counter("chiveshelf_tables_pull_failures_total", "Pulls of the tables that got no reply.", tables.pullFailures);
    counter("chiveshelf_tables_whole_pulls_total", "Pulls whose reply held the whole tables.", tables.wholePulls);
    counter("chiveshelf_tables_announcements_total", "Revision datagrams sent.", tables.announcementsSent);
    counter("chiveshelf_tables_rejected_total", "Values of the platform's service that are not valid tables.", tables.rejectedValues);
    gauge("chiveshelf_tables_watching", "1 while this host watches the platform's service.", m_tableAgent.isWatching() ? 1 : 0);
    gauge("chiveshelf_tables_revision", "Revision of the tables in force.", static_cast<double>(m_tables.snapshot()->revision));
    counter("chiveshelf_runner_commands_total", "Commands that this host sent to runners.", m_control.commandCount());
    std::map<MemberState, double> byState;
    for (const auto& member : m_members.all())
        ++byState[member.state];
    auto& members = prometheus::BuildGauge().Name("chiveshelf_members").Help("Known hosts by state.").Register(registry);
    for (const auto state : { MemberState::Live, MemberState::Suspect, MemberState::Leaving, MemberState::Gone })
        members.Add({ { "state", std::string(memberStateName(state)) } }).Set(byState[state]);
    const auto& membership = m_membership.counters();
    counter("chiveshelf_member_suspicions_total", "Times that a host was suspected.", membership.suspicions);
    counter("chiveshelf_member_removals_total", "Times that a host was removed.", membership.removals);
    counter("chiveshelf_member_returns_total", "Times that a host returned after its removal.", membership.returns);
    counter("chiveshelf_own_suspicions_total", "Times that this host detected that it had been frozen.", membership.ownSuspicions);
    counter("chiveshelf_role_moves_total", "Times that the owner of a role changed in this host's view.", m_members.roleMoves());
    counter("chiveshelf_datagram_sent_bytes_total", "Bytes of datagrams sent to other hosts.", m_datagrams.sentBytes());
    counter("chiveshelf_datagram_received_bytes_total", "Bytes of datagrams received from other hosts.", m_datagrams.receivedBytes());
    counter("chiveshelf_retries_denied_total", "Retries not made because the retry budget was used up.", m_dispatch.retryBudget().deniedCount());
    gauge("chiveshelf_quarantined_requests", "Request fingerprints that are refused because runners crashed while they ran them.",
        static_cast<double>(m_quarantine.quarantined().size()));
    addSchedulerMetrics(registry, m_scheduler.counters());
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

}
