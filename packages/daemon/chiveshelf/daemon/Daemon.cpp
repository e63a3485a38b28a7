#include "chiveshelf/daemon/Daemon.h"

#include "chiveshelf/core/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

    constexpr http::CallLimits platformLimits { std::chrono::milliseconds(300), std::chrono::milliseconds(1'000) };
    constexpr http::CallLimits runnerLimits { std::chrono::milliseconds(300), std::chrono::milliseconds(2'000) };
    // Callers wait for the records of their keys, so that a slow service is refused soon. A value has up to 1 MB.
    constexpr http::CallLimits recordLimits { std::chrono::milliseconds(200), std::chrono::milliseconds(400) };
    constexpr auto drainCheckInterval = std::chrono::milliseconds(20);

}

Daemon::Daemon(asio::io_context& context, DaemonSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_client(context)
    , m_platform(m_client, m_settings.platformAddress, platformLimits)
    , m_runners(m_client, runnerLimits)
    , m_cache(context, m_client, m_settings.cache,
          [this](Address runner, ExportRequest request) { return m_runners.exportBlock(std::move(runner), std::move(request)); })
    , m_members({ m_settings.hostName, m_settings.dataCentre, m_settings.advertisedPeerAddress, MemberState::Live, 0 })
    , m_membership(context, m_platform, m_members)
    , m_datagrams(context)
    , m_peerServer(context)
    , m_peerClient(context)
    , m_tableAgent(context, m_platform, m_tables, m_members, m_datagrams, m_peerServer, m_peerClient)
    , m_scheduler(context, m_peerServer, m_tables, m_settings.dataCentre)
    , m_dispatch(context, m_peerClient, m_members)
    , m_recordPlatform(m_client, m_settings.platformAddress, recordLimits)
    , m_idempotency(context, m_peerServer, m_peerClient, m_members, m_recordPlatform, m_settings.idempotency)
    , m_entry(context, {}, { m_tables, m_dispatch, m_runners, m_cache, m_client, m_idempotency }, m_settings.dataCentre)
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
    m_membership.start();
    m_scheduler.start();
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
    asio::co_spawn(m_context, drainThenStop(), asio::detached);
}

asio::awaitable<void> Daemon::drainThenStop()
{
    auto self = m_members.self();
    self.state = MemberState::Leaving;
    m_members.put(self);
    m_entry.drain();
    const auto limit = std::chrono::steady_clock::now() + m_settings.drainLimit;
    asio::steady_timer timer(m_context);
    while (m_entry.activeRequests() + m_idempotency.pendingCount() > 0 && std::chrono::steady_clock::now() < limit) {
        boost::system::error_code ec;
        timer.expires_after(drainCheckInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    logEvent(LogLevel::Info, "drain_finished", { { "host", m_settings.hostName }, { "cut_off", m_entry.activeRequests() } });
    m_context.stop();
}

nlohmann::json Daemon::state() const
{
    const auto& records = m_idempotency.counters();
    auto members = nlohmann::json::array();
    for (const auto& member : m_members.all())
        members.push_back({ { "name", member.name }, { "data_centre", member.dataCentre }, { "state", memberStateName(member.state) },
            { "peer_address", toString(member.peerAddress) }, { "incarnation", member.incarnation } });
    return {
        { "host", m_settings.hostName },
        { "data_centre", m_settings.dataCentre },
        { "draining", m_isDraining },
        { "tables_revision", m_tables.snapshot()->revision },
        { "tables", { { "watching", m_tableAgent.isWatching() }, { "edit_id", m_tables.snapshot()->editId } } },
        { "members", members },
        { "pools", m_scheduler.state() },
        { "active_requests", m_entry.activeRequests() },
        { "platform_calls", m_platform.callCount() + m_recordPlatform.callCount() },
        { "idempotency",
            { { "operations", records.operations }, { "groups", records.groups }, { "writes", records.writes }, { "conflicts", records.conflicts },
                { "read_backs", records.readBacks }, { "failures", records.failures }, { "full", records.full },
                { "platform_calls", m_recordPlatform.callCount() }, { "pending", m_idempotency.pendingCount() },
                { "given_up", m_idempotency.givenUpCount() }, { "replays", m_entry.counters().replays } } },
        { "connections", { { "peer_links", m_peerClient.linkCount() }, { "idle_http", m_client.idleConnections() } } },
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
    counter("chiveshelf_platform_calls_total", "Calls to the platform's key-value service, watches included.", m_platform.callCount() + m_recordPlatform.callCount());
    const auto& records = m_idempotency.counters();
    counter("chiveshelf_idempotency_operations_total", "Claims and completions that this host wrote for its shards.", records.operations);
    counter("chiveshelf_idempotency_writes_total", "Compare-and-swaps of idempotency shards that succeeded.", records.writes);
    counter("chiveshelf_idempotency_conflicts_total", "Compare-and-swaps that met another writer.", records.conflicts);
    counter("chiveshelf_idempotency_read_backs_total", "Writes whose reply was lost and that were read back.", records.readBacks);
    counter("chiveshelf_idempotency_failures_total", "Groups that were refused because the platform failed.", records.failures);
    counter("chiveshelf_idempotency_full_total", "Claims refused because their shard was full.", records.full);
    counter("chiveshelf_idempotency_replays_total", "Callers that got a recorded outcome.", m_entry.counters().replays);
    counter("chiveshelf_idempotency_given_up_total", "Ends of attempts that could not be recorded.", m_idempotency.givenUpCount());
    gauge("chiveshelf_idempotency_pending", "Ends of attempts that are not recorded yet.", static_cast<double>(m_idempotency.pendingCount()));
    const auto& cache = m_cache.counters();
    const auto& exports = m_cache.exports().counters();
    counter("chiveshelf_store_lookups_total", "Look-ups of stored blocks.", cache.lookUps);
    counter("chiveshelf_store_lookup_failures_total", "Look-ups that failed or took too long.", cache.lookUpFailures);
    counter("chiveshelf_import_plans_total", "Requests sent to a runner with blocks to import.", cache.importPlans);
    counter("chiveshelf_import_failures_total", "Requests whose planned import was not complete; the rest was recomputed.", cache.importFailures);
    counter("chiveshelf_prompt_tokens_total", "Prompt tokens of answered requests.", cache.promptTokens);
    counter("chiveshelf_cached_tokens_total", "Prompt tokens taken from a runner's cache.", cache.cachedTokens);
    counter("chiveshelf_imported_tokens_total", "Prompt tokens imported from a store.", cache.importedTokens);
    counter("chiveshelf_exported_blocks_total", "Blocks written to a store and confirmed.", exports.blocks);
    counter("chiveshelf_export_failures_total", "Exports that failed.", exports.failures);
    counter("chiveshelf_exports_dropped_total", "Export offers given up because of age, a full queue or an unreachable store.", exports.dropped);
    gauge("chiveshelf_exports_queued", "Export offers that wait for an idle link.", static_cast<double>(m_cache.exports().queued()));
    gauge("chiveshelf_active_requests", "Requests that are being served.", static_cast<double>(m_entry.activeRequests()));
    const auto& tables = m_tableAgent.counters();
    counter("chiveshelf_tables_pulls_total", "Pulls of the tables from peers.", tables.pulls);
    counter("chiveshelf_tables_pull_failures_total", "Pulls of the tables that got no reply.", tables.pullFailures);
    counter("chiveshelf_tables_whole_pulls_total", "Pulls whose reply held the whole tables.", tables.wholePulls);
    counter("chiveshelf_tables_announcements_total", "Revision datagrams sent.", tables.announcementsSent);
    counter("chiveshelf_tables_rejected_total", "Values of the platform's service that are not valid tables.", tables.rejectedValues);
    gauge("chiveshelf_tables_watching", "1 while this host watches the platform's service.", m_tableAgent.isWatching() ? 1 : 0);
    gauge("chiveshelf_tables_revision", "Revision of the tables in force.", static_cast<double>(m_tables.snapshot()->revision));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

}
