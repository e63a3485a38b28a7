#include "chiveshelf/tables/TableAgent.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/membership/RendezvousHash.h"
#include "chiveshelf/tables/TablesJson.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // A watch on a connection without traffic ends after this time plus the platform client's progress limit of 1 s. The sum
    // must stay below the 4 s within which an edit must be in force on all hosts.
    constexpr auto watchTimeout = std::chrono::milliseconds(2'000);
    constexpr auto retryDelay = std::chrono::milliseconds(500);
    constexpr auto roleCheckInterval = std::chrono::milliseconds(250);
    constexpr auto announceInterval = std::chrono::milliseconds(500);
    constexpr auto pullTimeout = std::chrono::milliseconds(1'000);
    // Maximum time at start to wait for membership to list other hosts.
    constexpr auto membershipWaitLimit = std::chrono::milliseconds(1'000);
    constexpr auto membershipPollInterval = std::chrono::milliseconds(50);
    constexpr std::size_t initialPullCount = 3;
    constexpr std::size_t watchersPerDataCentre = 2;
    // With 2 datagrams per host and interval, on average 1.8 of 100 hosts receive none within 1 s and 1 of 3,000 none within 2 s,
    // independent of the size of the data centre.
    constexpr std::size_t localPeerCount = 2;
    constexpr std::size_t remotePeerCount = 1;
    // Revisions kept so that pulls can be answered with a delta. Tables of the target size take about 400 KB each.
    constexpr std::size_t maxHistoryLength = 8;
    // Further announcements are dropped; senders repeat them at intervals.
    constexpr std::size_t maxQueuedAnnouncements = 64;

}

TableAgent::TableAgent(asio::io_context& context, HttpPlatform& platform, TableStore& store, const MemberDirectory& members,
    peer::DatagramChannel& datagrams, peer::PeerServer& server, peer::PeerClient& peers)
    : m_context(context)
    , m_platform(platform)
    , m_store(store)
    , m_members(members)
    , m_datagrams(datagrams)
    , m_peers(peers)
    , m_receivedAnnouncements(context)
    , m_random(static_cast<std::minstd_rand::result_type>(hash64(members.self().name)))
{
    m_datagrams.handle<TablesAnnouncement>([this](const Address& from, TablesAnnouncement message) { onAnnouncement(from, message); });
    server.handle<PullTables>([this](PullTables request) -> asio::awaitable<Result<TablesDelta>> { co_return answerPull(request); });
}

void TableAgent::start()
{
    spawnLoop(m_context, "table_agent.watch_loop", [this] { return watchLoop(); });
    spawnLoop(m_context, "table_agent.pull_loop", [this] { return pullLoop(); });
    spawnLoop(m_context, "table_agent.announce_loop", [this] { return announceLoop(); });
}

asio::awaitable<void> TableAgent::pause(std::chrono::milliseconds duration)
{
    boost::system::error_code ec;
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> TableAgent::watchLoop()
{
    co_await loadInitialTables();
    while (true) {
        const bool wasWatching = m_isWatching;
        m_isWatching = shouldWatch();
        if (m_isWatching != wasWatching)
            logEvent(LogLevel::Info, m_isWatching ? "tables_watch_started" : "tables_watch_stopped", {});
        if (m_isWatching)
            co_await watchOnce();
        else
            co_await pause(roleCheckInterval);
    }
}

// Reads the tables from the platform's key-value service and a few peers, and applies the highest revision. The service may
// return an outdated value, so applying its answer alone could put an older revision in force after a restart.
asio::awaitable<void> TableAgent::loadInitialTables()
{
    Tables highest;
    const auto entry = co_await m_platform.get(tablesKey);
    // No tables were ever written, so peers have none either.
    if (entry && entry->revision == 0)
        co_return;
    if (entry) {
        auto tables = parseStoredTables(entry->value);
        if (tables)
            highest = std::move(*tables);
    }
    const auto deadline = std::chrono::steady_clock::now() + membershipWaitLimit;
    while (m_members.all().size() < 2 && std::chrono::steady_clock::now() < deadline)
        co_await pause(membershipPollInterval);
    auto peers = otherMembers(true);
    std::shuffle(peers.begin(), peers.end(), m_random);
    auto remote = otherMembers(false);
    std::shuffle(remote.begin(), remote.end(), m_random);
    peers.resize(std::min(peers.size(), initialPullCount - remotePeerCount));
    peers.insert(peers.end(), remote.begin(), remote.end());
    peers.resize(std::min(peers.size(), initialPullCount));
    for (const auto& peer : peers) {
        auto pulled = co_await pullFrom(peer.peerAddress);
        if (pulled && pulled->revision > highest.revision)
            highest = std::move(*pulled);
    }
    applyIfNewer(std::move(highest), true);
}

asio::awaitable<void> TableAgent::watchOnce()
{
    const auto entry = co_await m_platform.watch(tablesKey, m_lastKeyRevision, watchTimeout);
    if (!entry) {
        logEvent(LogLevel::Warning, "tables_watch_failed", { { "error", entry.error().message } });
        co_await pause(retryDelay);
        co_return;
    }
    if (entry->revision == 0 && heldRevision() > 0) {
        co_await restoreStoredTables(0);
        co_return;
    }
    if (entry->revision == m_lastKeyRevision)
        co_return;
    m_lastKeyRevision = entry->revision;
    auto tables = parseStoredTables(entry->value);
    if (!tables)
        co_return;
    if (tables->revision < heldRevision())
        co_await restoreStoredTables(entry->revision);
    else
        applyIfNewer(std::move(*tables), false);
}

// Writes the host's tables back if the service has an older revision, for instance after a backup was restored. Otherwise the
// next edit would get a revision that the hosts already have, and they would ignore it.
asio::awaitable<void> TableAgent::restoreStoredTables(Revision keyRevision)
{
    const auto held = m_store.snapshot();
    const auto written = co_await m_platform.compareAndSwap(tablesKey, keyRevision, formatTables(*held), std::nullopt);
    logEvent(LogLevel::Error, "tables_older_in_service", { { "held_revision", held->revision }, { "written_back", written ? "yes" : "no" } });
}

std::optional<Tables> TableAgent::parseStoredTables(const std::string& value)
{
    auto tables = parseTables(value);
    if (tables)
        return std::move(*tables);
    ++m_counters.rejectedValues;
    logEvent(LogLevel::Error, "tables_rejected", { { "problem", toString(tables.error().front()) } });
    return std::nullopt;
}

void TableAgent::applyIfNewer(Tables tables, bool fromOwnDataCentre)
{
    const auto revision = tables.revision;
    if (!m_store.updateIfNewer(std::move(tables)))
        return;
    m_history.push_back(m_store.snapshot());
    if (m_history.size() > maxHistoryLength)
        m_history.pop_front();
    logEvent(LogLevel::Info, "tables_in_force", { { "revision", revision } });
    if (!fromOwnDataCentre)
        announceToDataCentre();
}

void TableAgent::onAnnouncement(const Address& from, TablesAnnouncement message)
{
    if (message.revision > heldRevision() && m_receivedAnnouncements.size() < maxQueuedAnnouncements)
        m_receivedAnnouncements.push({ from, message.revision });
    else if (message.revision < heldRevision())
        m_datagrams.send(from, TablesAnnouncement { heldRevision() });
}

asio::awaitable<void> TableAgent::pullLoop()
{
    while (auto announcement = co_await m_receivedAnnouncements.receive()) {
        if (announcement->revision <= heldRevision())
            continue;
        auto tables = co_await pullFrom(announcement->from);
        if (tables)
            applyIfNewer(std::move(*tables), isInOwnDataCentre(announcement->from));
    }
}

asio::awaitable<std::optional<Tables>> TableAgent::pullFrom(Address address)
{
    // If the delta cannot be applied, the second attempt requests the whole tables.
    for (const bool isWhole : { false, true }) {
        ++m_counters.pulls;
        const auto base = isWhole ? std::make_shared<const Tables>() : m_store.snapshot();
        const PullTables request { base->revision };
        const auto delta = co_await m_peers.call(address, request, pullTimeout);
        if (!delta) {
            ++m_counters.pullFailures;
            logEvent(LogLevel::Warning, "tables_pull_failed", { { "from", toString(address) }, { "error", delta.error().message } });
            co_return std::nullopt;
        }
        m_counters.wholePulls += delta->baseRevision == 0 ? 1 : 0;
        auto tables = applyDelta(*base, *delta);
        if (tables)
            co_return std::move(*tables);
    }
    co_return std::nullopt;
}

TablesDelta TableAgent::answerPull(const PullTables& request) const
{
    const auto held = m_store.snapshot();
    for (const auto& tables : m_history) {
        if (tables->revision == request.heldRevision)
            return makeDelta(*tables, *held);
    }
    return makeDelta({}, *held);
}

asio::awaitable<void> TableAgent::announceLoop()
{
    while (true) {
        co_await pause(announceInterval);
        announceToRandomMembers(true, localPeerCount);
        announceToRandomMembers(false, remotePeerCount);
    }
}

void TableAgent::announceToDataCentre()
{
    for (const auto& member : otherMembers(true)) {
        m_datagrams.send(member.peerAddress, TablesAnnouncement { heldRevision() });
        ++m_counters.announcementsSent;
    }
}

void TableAgent::announceToRandomMembers(bool ownDataCentre, std::size_t count)
{
    auto members = otherMembers(ownDataCentre);
    for (; count > 0 && !members.empty(); --count) {
        const auto i = std::uniform_int_distribution<std::size_t>(0, members.size() - 1)(m_random);
        m_datagrams.send(members[i].peerAddress, TablesAnnouncement { heldRevision() });
        ++m_counters.announcementsSent;
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

bool TableAgent::shouldWatch() const
{
    std::vector<std::string> names;
    for (const auto& member : m_members.inDataCentre(m_members.self().dataCentre)) {
        if (member.state == MemberState::Live || member.state == MemberState::Suspect)
            names.push_back(member.name);
    }
    const auto ranked = rankByRendezvous(tablesKey, std::move(names));
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(ranked.size(), watchersPerDataCentre));
    return std::find(ranked.begin(), end, m_members.self().name) != end;
}

bool TableAgent::isInOwnDataCentre(const Address& address) const
{
    const auto localMembers = otherMembers(true);
    return std::any_of(localMembers.begin(), localMembers.end(), [&](const Member& member) { return member.peerAddress == address; });
}

std::vector<Member> TableAgent::otherMembers(bool ownDataCentre) const
{
    auto members = m_members.all();
    std::erase_if(members, [&](const Member& member) {
        return member.name == m_members.self().name || member.state == MemberState::Gone || (member.dataCentre == m_members.self().dataCentre) != ownDataCentre;
    });
    return members;
}

}
