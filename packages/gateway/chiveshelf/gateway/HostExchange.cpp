#include "chiveshelf/gateway/HostExchange.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Short enough for several notices during the prefill of a prompt.
    constexpr std::chrono::milliseconds minNoticeInterval { 150 };
    // The interval grows with the number of receivers, so that each host gets at most about 125 notices per second.
    constexpr std::chrono::milliseconds noticeIntervalPerHost { 8 };
    constexpr std::chrono::milliseconds maxNoticeInterval { 1'000 };
    // Below this number of other hosts all of them get each placement notice. Larger fleets send it only within the data centre,
    // whose hosts mostly use the same runners.
    constexpr std::size_t smallFleetHosts = 16;
    // From this number of other hosts on, hosts of other data centres get load notices only at long intervals and no placement
    // notices, and prompts with a short prefill and fetch are not announced at all. Otherwise a host would spend more processor
    // time on notices than on requests.
    constexpr std::size_t hugeFleetHosts = 120;
    constexpr std::chrono::milliseconds hugeFleetRemoteInterval { 4'000 };
    constexpr std::chrono::milliseconds shortPrefill { 15 };
    // Counted per receiver; each takes some 10 us of processor time.
    constexpr double placementNoticesPerSecond = 1'000;
    // Prompts with at least this prefill time, which is longer than one chunk, are announced to all hosts and may use the whole
    // budget. Others may use only half of it.
    constexpr std::chrono::milliseconds longPrefill { 60 };
    // Upper bound of the times in placement notices. A prompt that takes longer keeps its runner busy beyond the latency goal of any
    // other request.
    constexpr std::chrono::milliseconds maxAnnouncedTime { 10'000 };
    // Entries per datagram, so that a datagram fits into one Ethernet frame.
    constexpr std::size_t partsPerPartsNotice = 50;
    constexpr double percentPerFactor = 100;
    constexpr unsigned statusUnavailable = 503;
    // Older versions are already loaded everywhere, or their time limit has passed.
    constexpr std::chrono::milliseconds maxAnnouncedVersionAge { 20'000 };
    // Largest number of samples in one entry of a notice. More have no more weight at the receiver.
    constexpr int maxCapacityCount = 255;
    constexpr std::chrono::milliseconds capacityLogInterval { 5'000 };
    // A runner is logged as slow from the first factor on, and as fast again below the second one, so that noise causes no log lines.
    constexpr double slowFactor = 1.6;
    constexpr double noLongerSlowFactor = 1.25;
    // Parts beyond this number are not announced with the next notice.
    constexpr std::size_t maxPendingParts = 160;
    // Delay before a host fetches newer tables from another, in which its own watch of the store usually delivers them.
    constexpr std::chrono::milliseconds tablesPullDelay { 250 };
    constexpr std::chrono::milliseconds pullTimeout { 500 };
    // A piece of the tables waits for its turn at the serving host, and behind answers on links that are full.
    constexpr std::chrono::milliseconds pieceTimeout { 1'000 };
    // Time after which a runner counts as finished with loading weights, including the end of its running requests, if no notice
    // reports it.
    constexpr std::chrono::milliseconds assumedLoadingTime { 2'500 };
    // A host whose registration is missing counts for this time after its last notice, which allows for two lost ones.
    constexpr std::chrono::milliseconds minHeardTime { 2'000 };
    constexpr int heardIntervals = 3;
    // Hosts beside the one that began a stream that hold its origin in larger fleets. All of them are lost together only if most of the
    // fleet is.
    constexpr std::size_t originHolderCount = 3;

    asio::awaitable<void> noTables()
    {
        co_return;
    }

    // Returns the interval of load notices to `hosts` receivers.
    std::chrono::milliseconds noticeIntervalFor(std::size_t hosts)
    {
        return std::clamp<std::chrono::milliseconds>(noticeIntervalPerHost * static_cast<std::int64_t>(hosts), minNoticeInterval, maxNoticeInterval);
    }

    // Appends entries of `from` until `to` has `maxEntries` entries.
    template <typename Entry>
    void appendUpTo(std::vector<Entry>& to, const std::vector<Entry>& from, std::size_t maxEntries)
    {
        const auto room = maxEntries - std::min(to.size(), maxEntries);
        to.insert(to.end(), from.begin(), from.begin() + static_cast<std::ptrdiff_t>(std::min(from.size(), room)));
    }

}

HostExchange::HostExchange(asio::io_context& context, const GatewaySettings& settings, ServingState& state)
    : m_context(context)
    , m_settings(settings)
    , m_state(state)
    , m_hostHash(hash64(settings.hostName))
    , m_datagrams(context)
    , m_server(context)
    , m_client(context)
    , m_limits(state.backendDirectory(), m_hostHash, static_cast<std::uint64_t>(bootTime().count()), [&state] { return state.random(); })
    , m_crashNotices(
          state.crashEvidence(), m_hostHash, [this](const CrashNotice& notice) { sendToAll(notice); }, [this](const AnswersNotice& notice) { sendToAll(notice); },
          [this](const TryNotice& notice) { sendToAll(notice); })
    , m_suspicions(
          settings.isFailureSharing, m_hostHash, hash64(settings.dataCentre), [this](const SuspicionNotice& notice) { sendToAll(notice); },
          [this](std::uint32_t runner) { return triesSuspected(runner); })
    , m_origins(context, state.streamOrigins(),
          OriginExchange::Port { [this](std::uint64_t stream) { return originHolders(stream); },
              [this](const Address& to, const OriginNotice& notice) { m_datagrams.send(to, notice); },
              [this](const Address& to, const OriginQuery& query) { m_datagrams.send(to, query); },
              [this](const Address& to, const OriginAnswer& answer) { m_datagrams.send(Address { to.ip, m_settings.peerAddress.port }, answer); },
              [this](const std::string& pool) { return m_state.hasSeveralSoftwareVersions(pool); } })
    , m_tables(context, settings, state,
          TablesExchange::Port { [this](std::string ip, PullTablesPiece request) {
                                    return m_client.call(Address { std::move(ip), m_settings.peerAddress.port }, std::move(request), pieceTimeout);
                                },
              [this] { return m_tablesReader ? m_tablesReader() : noTables(); } })
{
}

void HostExchange::setItemHandlers(ItemSource source, ItemHandler items)
{
    m_itemSource = std::move(source);
    m_itemHandler = std::move(items);
}

void HostExchange::setStoreHandlers(StoreNoticeHandler handler, ChangeSource source, TablesReader tables)
{
    m_storeNoticeHandler = std::move(handler);
    m_changeSource = std::move(source);
    m_tablesReader = std::move(tables);
}

Result<void> HostExchange::start()
{
    m_datagrams.handle<LoadNotice>([this](const Address& from, LoadNotice notice) { onLoad(from, notice); });
    m_datagrams.handle<CapacityNotice>([this](const Address& from, CapacityNotice notice) {
        onLoad(from, notice.load);
        onCapacities(notice.capacities, std::chrono::steady_clock::now());
    });
    m_datagrams.handle<PartsNotice>([this](const Address&, PartsNotice notice) { onParts(notice.parts); });
    m_datagrams.handle<PlacementNotice>([this](const Address&, PlacementNotice notice) { onPlacement(notice); });
    m_datagrams.handle<CrashNotice>([this](const Address&, CrashNotice notice) { m_crashNotices.applyNotice(notice, std::chrono::steady_clock::now()); });
    m_datagrams.handle<AnswersNotice>([this](const Address&, AnswersNotice notice) { m_crashNotices.applyNotice(notice, std::chrono::steady_clock::now()); });
    m_datagrams.handle<TryNotice>([this](const Address&, TryNotice notice) { m_crashNotices.applyNotice(notice, std::chrono::steady_clock::now()); });
    if (m_settings.isFailureSharing)
        m_datagrams.handle<SuspicionNotice>([this](const Address&, SuspicionNotice notice) { m_suspicions.applyNotice(notice, std::chrono::steady_clock::now()); });
    m_datagrams.handle<RolloutNotice>([this](const Address&, RolloutNotice notice) { onRollout(notice); });
    m_datagrams.handle<LeavingNotice>([this](const Address&, LeavingNotice notice) { onLeaving(notice); });
    m_datagrams.handle<LimitNotice>([this](const Address&, LimitNotice notice) { m_limits.applyNotice(notice, std::chrono::steady_clock::now()); });
    m_datagrams.handle<OriginNotice>([this](const Address&, OriginNotice notice) { m_origins.onNotice(notice, std::chrono::steady_clock::now()); });
    m_datagrams.handle<OriginQuery>([this](const Address& from, OriginQuery query) { m_origins.onQuery(from, query, std::chrono::steady_clock::now()); });
    m_datagrams.handle<OriginAnswer>([this](const Address& from, OriginAnswer answer) {
        m_origins.onAnswer(Address { from.ip, m_settings.peerAddress.port }, answer, std::chrono::steady_clock::now());
    });
    m_datagrams.handle<CacheNotice>([this](const Address&, CacheNotice notice) {
        if (m_cacheHandler)
            m_cacheHandler(notice);
    });
    m_server.handle<PullItems>([this](PullItems) -> asio::awaitable<Result<ItemsReply>> {
        ItemsReply reply;
        reply.tablesVersion = m_state.tablesVersion();
        reply.items = m_itemSource();
        co_return reply;
    });
    m_server.handle<PullTablesPiece>([this](PullTablesPiece request) -> asio::awaitable<Result<TablesPiece>> {
        co_return co_await m_tables.answer(std::move(request));
    });
    m_datagrams.handle<StoreNotice>([this](const Address& from, StoreNotice notice) {
        if (m_storeNoticeHandler)
            m_storeNoticeHandler(from, notice);
    });
    m_server.handle<PullStoreChanges>([this](PullStoreChanges request) -> asio::awaitable<Result<StoreChangesReply>> {
        co_return m_changeSource ? m_changeSource(request.after) : StoreChangesReply {};
    });
    auto started = m_datagrams.start(m_settings.peerAddress);
    if (started)
        started = m_server.start(m_settings.peerAddress);
    if (!started)
        return started;
    spawnLoop(m_context, "host_exchange.notice_loop", [this] { return noticeLoop(); });
    spawnLoop(m_context, "host_exchange.awake_loop", [this] { return awakeLoop(); });
    m_tables.start();
    return started;
}

void HostExchange::stop()
{
    m_isStopped = true;
    m_tables.stop();
    m_datagrams.stop();
    m_server.stop();
}

void HostExchange::setHosts(std::map<std::string, Address> hosts)
{
    hosts.erase(m_settings.hostName);
    m_registeredHosts = std::move(hosts);
    updateHosts(std::chrono::steady_clock::now());
}

void HostExchange::updateHosts(TimePoint now)
{
    const auto lifetime = std::max<std::chrono::milliseconds>(minHeardTime, heardIntervals * remoteNoticeInterval());
    auto hosts = m_registeredHosts;
    for (const auto& [name, address] : m_hosts) {
        const auto heard = m_heardAt.find(hash64(name));
        if (heard != m_heardAt.end() && now - heard->second <= lifetime)
            hosts.emplace(name, address);
    }
    m_hosts = std::move(hosts);
    std::set<std::uint64_t> hostHashes;
    for (const auto& [name, address] : m_hosts)
        hostHashes.insert(hash64(name));
    std::erase_if(m_peerRunners, [&](const auto& entry) { return !hostHashes.contains(entry.first); });
    std::erase_if(m_heardAt, [&](const auto& entry) { return !hostHashes.contains(entry.first); });
    m_limits.setHosts(std::move(hostHashes), noticeIntervalFor(m_hosts.size()));
    updateReceivers();
}

bool HostExchange::isSmallFleet() const
{
    return m_hosts.size() < smallFleetHosts;
}

void HostExchange::updateReceivers()
{
    m_placementReceivers.clear();
    m_dataCentreHosts.clear();
    m_remoteHosts.clear();
    for (const auto& [name, address] : m_hosts) {
        const bool isSameDataCentre = m_dataCentreHostHashes.contains(hash64(name));
        (isSameDataCentre ? m_dataCentreHosts : m_remoteHosts).emplace(name, address);
        if (isSmallFleet() || isSameDataCentre)
            m_placementReceivers.emplace(name, address);
    }
}

bool HostExchange::reserveNotices(std::size_t receivers, bool isLongPrefill)
{
    const auto now = std::chrono::steady_clock::now();
    m_noticeBudget = std::min(m_noticeBudget + placementNoticesPerSecond * toMilliseconds(now - m_noticeBudgetUpdatedAt) / 1'000, placementNoticesPerSecond);
    m_noticeBudgetUpdatedAt = now;
    const auto needed = static_cast<double>(receivers);
    if (m_noticeBudget < needed || (!isLongPrefill && m_noticeBudget < placementNoticesPerSecond / 2))
        return false;
    m_noticeBudget -= needed;
    return true;
}

void HostExchange::announcePlacement(const Placement& placement, unsigned priority, const std::vector<PromptPart>& parts, std::uint64_t scope)
{
    const auto runner = placement.runner->number();
    std::vector<PlacedPart> placed;
    // The last part is unique to the request and is never reused by another host.
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        placed.push_back({ runner, scope, parts[i].id, static_cast<std::uint32_t>(parts[i].tokens) });
    const bool isLongPrefill = placement.prefill >= longPrefill;
    const auto& receivers = isLongPrefill && !limitsRemoteNotices() ? m_hosts : m_placementReceivers;
    const bool isSignificant = !limitsRemoteNotices() || placement.prefill + placement.predictedFetch >= shortPrefill;
    const bool isAnnounced = m_settings.mechanisms.has(Mechanism::PromptNotices) && isSignificant && reserveNotices(receivers.size(), isLongPrefill);
    if (isAnnounced) {
        PlacementNotice notice { m_hostHash, runner, static_cast<std::uint8_t>(priority), 0, 0, 0, placed, {} };
        for (const auto& fetch : placement.storeFetches)
            notice.fetches.push_back({ storeNumber(fetch.store), static_cast<std::uint16_t>(std::clamp<double>(fetch.ms, 0, static_cast<double>(maxAnnouncedTime.count()))) });
        notice.prefillMs = static_cast<std::uint16_t>(std::clamp<std::int64_t>(placement.prefill.count(), 0, maxAnnouncedTime.count()));
        notice.fetchMs = static_cast<std::uint16_t>(std::clamp<std::int64_t>(placement.predictedFetch.count(), 0, maxAnnouncedTime.count()));
        notice.memoryTokens = static_cast<std::uint32_t>(placement.work.memoryTokens[priorityClass(priority)]);
        m_datagrams.sendToAll(receivers, notice);
        // The parts follow with the next load notice.
        const bool isWide = placement.isAnnouncedWidely && receivers.size() < m_hosts.size() && !limitsRemoteNotices();
        if (isWide && reserveNotices(m_remoteHosts.size(), isLongPrefill)) {
            notice.parts.clear();
            notice.fetches.clear();
            m_datagrams.sendToAll(m_remoteHosts, notice);
        }
    }
    if (isAnnounced && receivers.size() == m_hosts.size())
        return;
    appendUpTo(m_pendingParts, placed, maxPendingParts);
}

void HostExchange::onPlacement(const PlacementNotice& notice)
{
    onParts(notice.parts);
    const auto runner = m_state.backendDirectory().findByNumber(notice.runner);
    if (!runner)
        return;
    for (const auto& fetch : notice.fetches) {
        if (const auto store = m_state.findStore(fetch.store))
            store->recordFetch(fetch.ms, std::chrono::steady_clock::now());
    }
    const PlacedPrompt prompt { notice.priority, std::chrono::milliseconds(notice.prefillMs), std::chrono::milliseconds(notice.fetchMs), notice.memoryTokens };
    runner->addPeerPrompt(notice.host, prompt, std::chrono::steady_clock::now());
    m_peerRunners[notice.host].insert(notice.runner);
}

std::size_t HostExchange::rendezvousPosition(std::string_view subject) const
{
    const auto seed = hash64(subject);
    const auto own = hash64(m_settings.hostName, seed);
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto& host) { return hash64(host.first, seed) > own; }));
}

bool HostExchange::triesSuspected(std::uint32_t runner) const
{
    const auto seed = hash64(std::to_string(runner));
    const auto own = hash64(m_settings.hostName, seed);
    return std::none_of(m_dataCentreHosts.begin(), m_dataCentreHosts.end(), [&](const auto& host) { return hash64(host.first, seed) > own; });
}

std::vector<Address> HostExchange::originHolders(std::uint64_t stream) const
{
    std::vector<std::pair<std::uint64_t, Address>> hosts;
    for (const auto& [name, address] : m_hosts)
        hosts.emplace_back(hash64(name, stream), address);
    const auto n = isSmallFleet() ? hosts.size() : std::min(originHolderCount, hosts.size());
    std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(n), hosts.end(), std::greater<>());
    std::vector<Address> out;
    for (std::size_t i = 0; i < n; ++i)
        out.push_back(hosts[i].second);
    return out;
}

platform::AnswerHandler HostExchange::countCall(const std::shared_ptr<BackendState>& runner)
{
    const auto sentAt = std::chrono::steady_clock::now();
    if (countSend(*runner))
        announceSend(*runner);
    return [this, runner, sentAt](const platform::RunnerHeaders& headers, unsigned status) {
        if (!headers.runnerId.empty() && headers.runnerId != runner->record().id)
            return;
        applyAnswer(*runner, headers, status);
        // Only some answers to these calls may state the limit, so that its absence lifts none.
        if (headers.requestLimit)
            applyLimit(*runner, headers.requestLimit, sentAt);
    };
}

void HostExchange::applyAnswer(BackendState& runner, const platform::RunnerHeaders& headers, unsigned status)
{
    const auto& record = runner.record();
    if (headers.isLeaving && !runner.isLeaving()) {
        runner.setLeaving();
        // Other hosts don't need an answer of the runner then to learn it.
        sendToAll(LeavingNotice { runner.number() });
        logEvent(LogLevel::Info, "runner_leaving", { { "runner", record.id }, { "pool", record.pool }, { "source", "answer" } });
    }
    if (status == statusUnavailable && headers.retryAfter) {
        runner.pauseUntil(std::chrono::steady_clock::now() + *headers.retryAfter);
        logEvent(LogLevel::Info, "runner_paused", { { "runner", record.id }, { "pool", record.pool }, { "pause_ms", headers.retryAfter->count() } });
    }
}

void HostExchange::announceLeaving(const std::vector<std::uint32_t>& runners)
{
    for (const auto runner : runners)
        sendToAll(LeavingNotice { runner });
}

void HostExchange::onLeaving(const LeavingNotice& notice)
{
    const auto runner = m_state.backendDirectory().findByNumber(notice.runner);
    if (!runner || runner->isLeaving())
        return;
    runner->setLeaving();
    logEvent(LogLevel::Info, "runner_leaving", { { "runner", runner->record().id }, { "pool", runner->record().pool }, { "source", "host" } });
}

void HostExchange::applyLimit(BackendState& runner, std::optional<double> perSecond, TimePoint sentAt)
{
    const auto now = std::chrono::steady_clock::now();
    if (m_limits.applyAnswer(runner, perSecond, sentAt, now))
        sendToAll(m_limits.noticeFor(runner, now));
}

void HostExchange::announceSend(const BackendState& runner)
{
    sendToAll(m_limits.noticeFor(runner, std::chrono::steady_clock::now()));
}

void HostExchange::sendLimits(TimePoint now)
{
    if (now - m_lastLimitNoticeAt < noticeIntervalFor(m_hosts.size()))
        return;
    m_lastLimitNoticeAt = now;
    for (const auto& notice : m_limits.takeNotices(now))
        sendToAll(notice);
}

void HostExchange::announceRollout(const RunnerRecord& runner, const std::string& model, std::uint64_t version, bool isDone)
{
    const RolloutNotice notice { runnerNumber(runner), model, version, isDone };
    onRollout(notice);
    sendToAll(notice);
}

void HostExchange::onRollout(const RolloutNotice& notice)
{
    const auto runner = m_state.backendDirectory().findByNumber(notice.runner);
    if (!runner)
        return;
    if (notice.isDone)
        runner->setVersion(notice.model, notice.version);
    else
        runner->setLoading(notice.model, notice.version, std::chrono::steady_clock::now() + assumedLoadingTime);
}

void HostExchange::onLoad(const Address& from, const LoadNotice& notice)
{
    const auto now = std::chrono::steady_clock::now();
    m_heardAt[notice.host] = now;
    noteContact(notice, now);
    if (notice.dataCentre == hash64(m_settings.dataCentre) && m_dataCentreHostHashes.insert(notice.host).second)
        updateReceivers();
    // Allows for two lost notices.
    const auto lifetime = std::max<std::chrono::milliseconds>(BackendState::loadLifetime, std::chrono::milliseconds(5 * notice.intervalMs / 2));
    auto& peerRunners = m_peerRunners[notice.host];
    for (const auto& entry : notice.loads) {
        const auto runner = m_state.backendDirectory().findByNumber(entry.runner);
        if (!runner)
            continue;
        OutstandingWork work;
        work.requests = entry.requests;
        std::copy(entry.prompts.begin(), entry.prompts.end(), work.prompts.begin());
        std::copy(entry.memoryTokens.begin(), entry.memoryTokens.end(), work.memoryTokens.begin());
        runner->setPeerWork(notice.host, work, now, lifetime);
        runner->setWorkTime(entry.workPercent, now - std::chrono::milliseconds(entry.workAgeMs));
    }
    // Clears the work of runners that the host reported earlier and doesn't list any more.
    for (auto it = peerRunners.lower_bound(notice.firstRunner); it != peerRunners.end() && *it <= notice.lastRunner;) {
        const auto isListed = std::any_of(notice.loads.begin(), notice.loads.end(), [&](const auto& entry) { return entry.runner == *it; });
        if (isListed) {
            ++it;
            continue;
        }
        if (const auto runner = m_state.backendDirectory().findByNumber(*it))
            runner->clearPeerWork(notice.host);
        it = peerRunners.erase(it);
    }
    for (const auto& entry : notice.loads)
        peerRunners.insert(entry.runner);
    onParts(notice.parts);
    onStoreSpeeds(notice.storeSpeeds);
    for (const auto& version : notice.versions)
        m_state.acceptVersionAge(version.model, version.version, std::chrono::milliseconds(version.ageMs), bootTime());
    m_state.acceptConfirmation({ notice.versionsHash, notice.versionsConfirmedMs });
    m_tables.onNews(from.ip, notice.tablesVersion, tablesPullDelay);
}

void HostExchange::noteContact(const LoadNotice& notice, TimePoint now)
{
    std::optional<ContactSpan<TimePoint>> contact;
    if (notice.answerAgeMs != LoadNotice::noContact) {
        const auto lastAnswer = now - std::chrono::milliseconds(notice.answerAgeMs);
        contact = { lastAnswer - std::chrono::milliseconds(notice.contactMs), lastAnswer };
    }
    m_state.registry().hostContacts().note(notice.host, notice.dataCentre, contact);
}

void HostExchange::onParts(const std::vector<PlacedPart>& parts)
{
    for (const auto& part : parts) {
        if (const auto runner = m_state.backendDirectory().findByNumber(part.runner))
            runner->cachedParts().touch(PromptPart { part.part, part.tokens }, part.scope);
    }
}

asio::awaitable<Result<StoreChangesReply>> HostExchange::pullStoreChanges(Address from, StorePosition after)
{
    PullStoreChanges request;
    request.after = after;
    const Address address { from.ip, m_settings.peerAddress.port };
    co_return co_await m_client.call(address, request, pullTimeout);
}

asio::awaitable<void> HostExchange::pullFromContacts()
{
    for (const auto& contact : m_settings.contacts) {
        if (contact.ip == m_settings.peerAddress.ip)
            continue;
        const Address address { contact.ip, m_settings.peerAddress.port };
        const PullItems request;
        const auto reply = co_await m_client.call(address, request, pullTimeout);
        if (!reply) {
            logEvent(LogLevel::Warning, "items_pull_failed", { { "peer", toString(address) }, { "error", reply.error().message } });
            continue;
        }
        m_itemHandler(reply->items);
        if (reply->tablesVersion == 0)
            continue;
        m_tables.onNews(contact.ip, reply->tablesVersion, std::chrono::milliseconds(0));
        co_return;
    }
}

std::chrono::milliseconds HostExchange::noticeInterval() const
{
    const bool isDataCentreOnly = !isSmallFleet() && m_hosts.size() < hugeFleetHosts && !m_dataCentreHosts.empty();
    return noticeIntervalFor(isDataCentreOnly ? m_dataCentreHosts.size() : m_hosts.size());
}

std::chrono::milliseconds HostExchange::remoteNoticeInterval() const
{
    return limitsRemoteNotices() ? hugeFleetRemoteInterval : noticeIntervalFor(m_hosts.size());
}

asio::awaitable<void> HostExchange::awakeLoop()
{
    asio::steady_timer timer(m_context);
    while (!m_isStopped) {
        boost::system::error_code ec;
        m_limits.recordAwake(std::chrono::steady_clock::now());
        timer.expires_after(RequestLimit::awakeInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> HostExchange::noticeLoop()
{
    asio::steady_timer timer(m_context);
    while (!m_isStopped) {
        boost::system::error_code ec;
        timer.expires_after(noticeInterval());
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        const auto now = std::chrono::steady_clock::now();
        if (m_hosts.size() != m_registeredHosts.size())
            updateHosts(now);
        sendLimits(now);
        m_crashNotices.sendRepetitions([this](std::uint32_t runner) { return rendezvousPosition(std::to_string(runner)) == 0; }, now);
        m_suspicions.sendRepetitions(now);
        sendNotices();
        logCapacities(now);
    }
}

std::vector<RunnerLoadEntry> HostExchange::ownLoads() const
{
    std::vector<RunnerLoadEntry> out;
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [id, runner] : m_state.backendDirectory().all()) {
        const auto& own = runner->ownWork();
        if (own.requests <= 0)
            continue;
        RunnerLoadEntry entry { runner->number(), static_cast<std::uint16_t>(own.requests), {}, {}, 100, 0 };
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            entry.prompts[i] = static_cast<std::uint16_t>(std::max(own.prompts[i], 0));
            entry.memoryTokens[i] = static_cast<std::uint32_t>(std::max<std::int64_t>(own.memoryTokens[i], 0));
        }
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - runner->workTimeAt());
        if (age < BackendState::workTimeLifetime) {
            entry.workPercent = static_cast<std::uint16_t>(std::min(runner->workPercent(), 60'000));
            entry.workAgeMs = static_cast<std::uint16_t>(age.count());
        } else {
            entry.workAgeMs = static_cast<std::uint16_t>(BackendState::workTimeLifetime.count());
        }
        out.push_back(entry);
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.runner < b.runner; });
    return out;
}

std::vector<VersionAge> HostExchange::versionAges() const
{
    std::vector<VersionAge> out;
    const auto bootNow = bootTime();
    for (const auto& [model, history] : m_state.versions()) {
        for (const auto& [version, announced] : history.versions()) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(bootNow - announced.since);
            if (!announced.isEstimate && age < maxAnnouncedVersionAge && out.size() < LoadNotice::maxVersions)
                out.push_back({ hash64(model), version, static_cast<std::uint32_t>(age.count()) });
        }
    }
    return out;
}

std::vector<StoreSpeedEntry> HostExchange::takeStoreSpeeds()
{
    std::vector<StoreSpeedEntry> out;
    if (!m_settings.mechanisms.has(Mechanism::StoreSpeedNotices))
        return out;
    for (const auto& store : m_state.cacheStores()) {
        if (out.size() >= LoadNotice::maxStoreSpeeds)
            break;
        if (const auto measured = store->speed().takeMeanMeasurement())
            out.push_back({ store->number(), static_cast<std::uint16_t>(*measured * percentPerFactor) });
    }
    return out;
}

void HostExchange::onStoreSpeeds(const std::vector<StoreSpeedEntry>& speeds)
{
    for (const auto& entry : speeds) {
        if (const auto store = m_state.findStore(entry.store))
            store->speed().learn(entry.percent / percentPerFactor, std::chrono::steady_clock::now());
    }
}

void HostExchange::collectCapacities()
{
    if (!m_settings.learnsCapacity)
        return;
    const auto add = [](PendingCapacities& pending, std::uint32_t runner, const CapacitySample& sample) {
        auto& sum = pending[{ runner, sample.range }];
        const auto n = sum.count + sample.count;
        sum = { sample.range, static_cast<std::uint16_t>(std::min<int>(n, maxCapacityCount)), (sum.meanMs * sum.count + sample.meanMs * sample.count) / n };
    };
    const bool hasRemoteHosts = !isSmallFleet() && !m_dataCentreHosts.empty();
    for (const auto& [id, runner] : m_state.backendDirectory().all()) {
        for (const auto& sample : runner->capacity().takeOwnSamples()) {
            add(m_pendingCapacities, runner->number(), sample);
            if (hasRemoteHosts)
                add(m_remoteCapacities, runner->number(), sample);
        }
    }
}

std::vector<RunnerCapacityEntry> HostExchange::takeCapacities(PendingCapacities& pending, std::size_t n)
{
    std::vector<RunnerCapacityEntry> out;
    while (!pending.empty() && out.size() < n) {
        const auto& [key, sample] = *pending.begin();
        out.push_back({ key.first, sample.range, static_cast<std::uint8_t>(sample.count), static_cast<float>(sample.meanMs) });
        pending.erase(pending.begin());
    }
    return out;
}

void HostExchange::onCapacities(const std::vector<RunnerCapacityEntry>& entries, TimePoint now)
{
    if (!m_settings.learnsCapacity)
        return;
    for (const auto& entry : entries) {
        if (const auto runner = m_state.backendDirectory().findByNumber(entry.runner))
            runner->capacity().addPeerSample({ entry.range, entry.count, entry.meanMs }, now);
    }
}

void HostExchange::logCapacities(TimePoint now)
{
    if (!m_settings.learnsCapacity || now - m_lastCapacityLogAt < capacityLogInterval)
        return;
    m_lastCapacityLogAt = now;
    std::map<std::string, double> references;
    std::set<std::uint32_t> slow;
    for (const auto& [id, runner] : m_state.backendDirectory().all()) {
        const auto& record = runner->record();
        const auto [it, isNew] = references.try_emplace(record.pool, 0);
        if (isNew)
            it->second = ServicePlacement::referenceMs(m_state.backendDirectory().runnersOf(record.pool), 0);
        const auto& capacity = runner->capacity().estimate(it->second, static_cast<std::int32_t>(record.slots), now);
        const bool wasSlow = m_slowRunners.contains(runner->number());
        const bool isSlow = capacity.factor(1) >= (wasSlow ? noLongerSlowFactor : slowFactor);
        if (isSlow)
            slow.insert(runner->number());
        if (isSlow != wasSlow)
            logEvent(LogLevel::Info, isSlow ? "runner_slow" : "runner_no_longer_slow", { { "runner", id }, { "pool", record.pool }, { "percent", static_cast<std::int64_t>(capacity.factor(1) * percentPerFactor) }, { "good_load", capacity.limit() } });
    }
    m_slowRunners = std::move(slow);
}

bool HostExchange::limitsRemoteNotices() const
{
    return m_hosts.size() >= hugeFleetHosts && !m_dataCentreHosts.empty();
}

void HostExchange::sendNotices()
{
    const auto now = std::chrono::steady_clock::now();
    collectCapacities();
    if (isSmallFleet() || m_dataCentreHosts.empty()) {
        sendNotice(m_hosts, noticeInterval(), std::exchange(m_pendingParts, {}), takeStoreSpeeds(), m_pendingCapacities);
        m_remoteParts.clear();
        m_remoteCapacities.clear();
        return;
    }
    appendUpTo(m_remoteParts, m_pendingParts, maxPendingParts);
    auto storeSpeeds = takeStoreSpeeds();
    appendUpTo(m_remoteStoreSpeeds, storeSpeeds, LoadNotice::maxStoreSpeeds);
    sendNotice(m_dataCentreHosts, noticeInterval(), std::exchange(m_pendingParts, {}), std::move(storeSpeeds), m_pendingCapacities);
    const auto interval = remoteNoticeInterval();
    if (now - m_lastRemoteNoticeAt < interval)
        return;
    m_lastRemoteNoticeAt = now;
    sendNotice(m_remoteHosts, interval, std::exchange(m_remoteParts, {}), std::exchange(m_remoteStoreSpeeds, {}), m_remoteCapacities);
}

template <typename Addresses>
void HostExchange::sendNotice(const Addresses& receivers, std::chrono::milliseconds interval, std::vector<PlacedPart> parts, std::vector<StoreSpeedEntry> storeSpeeds,
    PendingCapacities& capacities)
{
    const auto loads = ownLoads();
    LoadNotice notice;
    notice.host = m_hostHash;
    notice.dataCentre = hash64(m_settings.dataCentre);
    notice.tablesVersion = m_state.tablesVersion();
    if (const auto contact = m_state.contactHistory().unbrokenContact()) {
        notice.contactMs = static_cast<std::uint32_t>(toMilliseconds(contact->lastAnswer - contact->start));
        notice.answerAgeMs = static_cast<std::uint32_t>(toMilliseconds(bootTime() - contact->lastAnswer));
    }
    notice.intervalMs = static_cast<std::uint16_t>(interval.count());
    notice.versions = versionAges();
    const auto confirmation = m_state.versionsConfirmation();
    notice.versionsHash = confirmation.versionsHash;
    notice.versionsConfirmedMs = confirmation.clockMs;
    notice.storeSpeeds = std::move(storeSpeeds);
    const auto n = std::min(parts.size(), LoadNotice::maxParts);
    notice.parts.assign(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(n));
    parts.erase(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(n));
    const auto loadsPerNotice = LoadNotice::maxLoads - (capacities.empty() ? 0 : CapacityNotice::loadsLeftOut);
    std::size_t begin = 0;
    do {
        const auto end = std::min(begin + loadsPerNotice, loads.size());
        const bool isLast = end == loads.size();
        notice.loads.assign(loads.begin() + static_cast<std::ptrdiff_t>(begin), loads.begin() + static_cast<std::ptrdiff_t>(end));
        notice.lastRunner = isLast ? std::numeric_limits<std::uint32_t>::max() : loads[end - 1].runner;
        if (capacities.empty()) {
            m_datagrams.sendToAll(receivers, notice);
        } else {
            CapacityNotice extended { notice, {} };
            extended.capacities = takeCapacities(capacities, extended.maxCapacities());
            m_datagrams.sendToAll(receivers, extended);
        }
        if (isLast)
            break;
        notice.firstRunner = notice.lastRunner + 1;
        notice.parts.clear();
        notice.versions.clear();
        notice.storeSpeeds.clear();
        begin = end;
    } while (true);
    sendParts(receivers, parts);
}

template <typename Addresses>
void HostExchange::sendParts(const Addresses& receivers, const std::vector<PlacedPart>& parts)
{
    for (std::size_t i = 0; i < parts.size(); i += partsPerPartsNotice) {
        PartsNotice notice;
        const auto end = std::min(i + partsPerPartsNotice, parts.size());
        notice.parts.assign(parts.begin() + static_cast<std::ptrdiff_t>(i), parts.begin() + static_cast<std::ptrdiff_t>(end));
        m_datagrams.sendToAll(receivers, notice);
    }
}

}
