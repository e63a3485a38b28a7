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

    // Interval of notices in a small fleet: several within the time in which a prompt is read.
    constexpr std::chrono::milliseconds shortestInterval { 150 };
    // In a large fleet the interval grows with the number of hosts that are told at it, so that each receives some 125 notices a
    // second at most.
    constexpr std::chrono::milliseconds intervalPerHost { 8 };
    constexpr std::chrono::milliseconds longestInterval { 1'000 };
    // Fleets up to this size tell every host of each prompt at once; in larger ones only hosts of the same data centre, which mostly
    // choose among the same runners.
    constexpr std::size_t smallFleet = 16;
    // In fleets from this size on hosts of other data centres hear of a host's work at long intervals, and prompts are told within
    // the data centre only, those that are read at once not at all: a host there would spend more on notices than on requests.
    constexpr std::size_t hugeFleet = 120;
    constexpr std::chrono::milliseconds hugeFarInterval { 4'000 };
    constexpr std::chrono::milliseconds shortRead { 15 };
    // Placement notices that a host sends in a second at most, one for each receiver: some 10 us of processor time each.
    constexpr double placementNoticesPerSecond = 1'000;
    // Prompts that take this long to read, more than a chunk, are told to all hosts and may use the whole budget; others only its
    // second half.
    constexpr std::chrono::milliseconds longRead { 60 };
    // Longest times that placement notices tell; a prompt that takes longer keeps its runner busy for any other's goal.
    constexpr std::chrono::milliseconds longestTold { 10'000 };
    // Entries per datagram, so that it fits into a frame.
    constexpr std::size_t loadsPerNotice = 20;
    constexpr std::size_t partsPerNotice = 14;
    constexpr std::size_t mostPartsPerNotice = 50;
    constexpr std::size_t versionsPerNotice = 3;
    constexpr std::size_t storeSpeedsPerNotice = 16;
    constexpr double percentPerFactor = 100;
    // Older versions are in place everywhere, or past the time for them.
    constexpr std::chrono::milliseconds toldVersionAge { 20'000 };
    // Parts that wait for the next notice; more are not told.
    constexpr std::size_t mostWaitingParts = 160;
    // Time that a host's own watch has to bring tables of which a peer tells.
    constexpr std::chrono::milliseconds ownWatchTime { 250 };
    constexpr std::chrono::milliseconds pullLimit { 500 };
    // Time in which a runner loads weights, with the end of its runs, if nothing else is heard.
    constexpr std::chrono::milliseconds loadingTime { 2'500 };

    // Returns the interval of notices to so many hosts.
    std::chrono::milliseconds intervalFor(std::size_t hosts)
    {
        return std::clamp<std::chrono::milliseconds>(intervalPerHost * static_cast<std::int64_t>(hosts), shortestInterval, longestInterval);
    }

    // Appends the first of `from` as long as `to` has no more than `most` entries.
    template <typename Entry>
    void appendUpTo(std::vector<Entry>& to, const std::vector<Entry>& from, std::size_t most)
    {
        const auto room = most - std::min(to.size(), most);
        to.insert(to.end(), from.begin(), from.begin() + static_cast<std::ptrdiff_t>(std::min(from.size(), room)));
    }

}

HostExchange::HostExchange(asio::io_context& context, const GatewaySettings& settings, ServingState& state)
    : m_context(context)
    , m_settings(settings)
    , m_state(state)
    , m_datagrams(context)
    , m_server(context)
    , m_client(context)
    , m_hostHash(hash64(settings.hostName))
{
}

void HostExchange::setRelay(ItemSource source, ItemHandler items, TablesHandler tables)
{
    m_itemSource = std::move(source);
    m_itemHandler = std::move(items);
    m_tablesHandler = std::move(tables);
}

void HostExchange::setStoreFollower(StoreNoticeHandler handler, ChangeSource source)
{
    m_storeHandler = std::move(handler);
    m_changeSource = std::move(source);
}

Result<void> HostExchange::start()
{
    m_datagrams.handle<LoadNotice>([this](const Address& from, LoadNotice notice) { onLoad(from, notice); });
    m_datagrams.handle<PartsNotice>([this](const Address&, PartsNotice notice) { onParts(notice.parts); });
    m_datagrams.handle<PlacementNotice>([this](const Address&, PlacementNotice notice) { onPlacement(notice); });
    m_datagrams.handle<CrashNotice>([this](const Address&, CrashNotice notice) {
        m_state.crashes().record(notice.fingerprint, notice.runner, std::chrono::steady_clock::now());
    });
    m_datagrams.handle<RolloutNotice>([this](const Address&, RolloutNotice notice) { onRollout(notice); });
    m_datagrams.handle<LeavingNotice>([this](const Address&, LeavingNotice notice) { onLeaving(notice); });
    m_datagrams.handle<CacheNotice>([this](const Address&, CacheNotice notice) {
        if (m_cacheHandler)
            m_cacheHandler(notice);
    });
    m_server.handle<PullRoutingTables>([this](PullRoutingTables request) -> asio::awaitable<Result<RoutingTablesReply>> {
        RoutingTablesReply reply;
        reply.version = m_state.tablesVersion();
        if (reply.version > request.knownVersion)
            reply.text = m_state.tablesText();
        if (request.wantsItems)
            reply.items = m_itemSource();
        co_return reply;
    });
    m_datagrams.handle<StoreNotice>([this](const Address& from, StoreNotice notice) {
        if (m_storeHandler)
            m_storeHandler(from, notice);
    });
    m_server.handle<PullStoreChanges>([this](PullStoreChanges request) -> asio::awaitable<Result<StoreChangesReply>> {
        co_return m_changeSource ? m_changeSource(request.after) : StoreChangesReply {};
    });
    auto started = m_datagrams.start(m_settings.peerAddress);
    if (started)
        started = m_server.start(m_settings.peerAddress);
    if (started)
        spawnLoop(m_context, "host_exchange.notice_loop", [this] { return noticeLoop(); });
    return started;
}

void HostExchange::stop()
{
    m_isStopped = true;
    m_datagrams.stop();
    m_server.stop();
}

void HostExchange::setHosts(std::map<std::string, Address> hosts)
{
    hosts.erase(m_settings.hostName);
    m_hosts = std::move(hosts);
    std::set<std::uint64_t> numbers;
    for (const auto& [name, address] : m_hosts)
        numbers.insert(hash64(name));
    std::erase_if(m_toldRunners, [&](const auto& entry) { return !numbers.contains(entry.first); });
    updateCloseHosts();
}

bool HostExchange::isSmallFleet() const
{
    return m_hosts.size() < smallFleet;
}

void HostExchange::updateCloseHosts()
{
    m_closeHosts.clear();
    m_sameDataCentre.clear();
    m_farHosts.clear();
    for (const auto& [name, address] : m_hosts) {
        const bool isSame = m_nearHosts.contains(hash64(name));
        (isSame ? m_sameDataCentre : m_farHosts).emplace(name, address);
        if (isSmallFleet() || isSame)
            m_closeHosts.emplace(name, address);
    }
}

bool HostExchange::takeNotices(std::size_t receivers, bool isLong)
{
    const auto now = std::chrono::steady_clock::now();
    m_noticeBudget = std::min(m_noticeBudget + placementNoticesPerSecond * toMilliseconds(now - m_noticeBudgetAt) / 1'000, placementNoticesPerSecond);
    m_noticeBudgetAt = now;
    const auto needed = static_cast<double>(receivers);
    if (m_noticeBudget < needed || (!isLong && m_noticeBudget < placementNoticesPerSecond / 2))
        return false;
    m_noticeBudget -= needed;
    return true;
}

void HostExchange::announcePlacement(const Placement& placement, unsigned rank, const std::vector<PromptPart>& parts, std::uint64_t scope)
{
    const auto runner = placement.runner->number();
    std::vector<PlacedPart> placed;
    // The last part is the request's own and never comes again on another host.
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        placed.push_back({ runner, scope, parts[i].id, static_cast<std::uint32_t>(parts[i].tokens) });
    const bool isLong = placement.prefill >= longRead;
    const auto& receivers = isLong && !areFarHostsToldLess() ? m_hosts : m_closeHosts;
    const bool isWorthTelling = !areFarHostsToldLess() || placement.prefill + placement.predictedFetch >= shortRead;
    const bool isTold = m_settings.mechanisms.has(Mechanism::PromptNotices) && isWorthTelling && takeNotices(receivers.size(), isLong);
    if (isTold) {
        PlacementNotice notice { m_hostHash, runner, static_cast<std::uint8_t>(rank), 0, 0, 0, placed, {} };
        for (const auto& fetch : placement.storeFetches)
            notice.fetches.push_back({ storeNumber(fetch.store), static_cast<std::uint16_t>(std::clamp<double>(fetch.ms, 0, static_cast<double>(longestTold.count()))) });
        notice.readMs = static_cast<std::uint16_t>(std::clamp<std::int64_t>(placement.prefill.count(), 0, longestTold.count()));
        notice.fetchMs = static_cast<std::uint16_t>(std::clamp<std::int64_t>(placement.predictedFetch.count(), 0, longestTold.count()));
        notice.memoryTokens = static_cast<std::uint32_t>(placement.work.memoryTokens[priorityClass(rank)]);
        m_datagrams.sendToAll(receivers, notice);
    }
    if (isTold && receivers.size() == m_hosts.size())
        return;
    appendUpTo(m_parts, placed, mostWaitingParts);
}

void HostExchange::onPlacement(const PlacementNotice& notice)
{
    onParts(notice.parts);
    const auto runner = m_state.board().findByNumber(notice.runner);
    if (!runner)
        return;
    for (const auto& fetch : notice.fetches) {
        if (const auto store = m_state.findStore(fetch.store))
            store->recordFetch(fetch.ms, std::chrono::steady_clock::now());
    }
    const PlacedPrompt prompt { notice.rank, std::chrono::milliseconds(notice.readMs), std::chrono::milliseconds(notice.fetchMs), notice.memoryTokens };
    runner->addPeerPrompt(notice.host, prompt, std::chrono::steady_clock::now());
    m_toldRunners[notice.host].insert(notice.runner);
}

std::size_t HostExchange::rankFor(std::string_view subject) const
{
    const auto seed = hash64(subject);
    const auto own = hash64(m_settings.hostName, seed);
    return static_cast<std::size_t>(
        std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto& host) { return hash64(host.first, seed) > own; }));
}

void HostExchange::announceCrash(const std::string& fingerprint, const std::string& runner)
{
    sendToAll(CrashNotice { fingerprint, runner });
}

void HostExchange::announceLeaving(const RunnerRecord& runner)
{
    sendToAll(LeavingNotice { runnerNumber(runner) });
}

void HostExchange::onLeaving(const LeavingNotice& notice)
{
    const auto runner = m_state.board().findByNumber(notice.runner);
    if (!runner || runner->isLeaving())
        return;
    runner->setLeaving();
    logEvent(LogLevel::Info, "runner_leaving", { { "runner", runner->record().id }, { "pool", runner->record().pool }, { "source", "host" } });
}

void HostExchange::announceRollout(const RunnerRecord& runner, const std::string& model, std::uint64_t version, bool isDone)
{
    const RolloutNotice notice { runnerNumber(runner), model, version, isDone };
    onRollout(notice);
    sendToAll(notice);
}

void HostExchange::onRollout(const RolloutNotice& notice)
{
    const auto runner = m_state.board().findByNumber(notice.runner);
    if (!runner)
        return;
    if (notice.isDone)
        runner->setVersion(notice.model, notice.version);
    else
        runner->setLoading(notice.model, notice.version, std::chrono::steady_clock::now() + loadingTime);
}

void HostExchange::onLoad(const Address& from, const LoadNotice& notice)
{
    const auto now = std::chrono::steady_clock::now();
    if (notice.dataCentre == hash64(m_settings.dataCentre) && m_nearHosts.insert(notice.host).second)
        updateCloseHosts();
    // Two notices may be lost.
    const auto lifetime = std::max<std::chrono::milliseconds>(BackendState::loadLifetime, std::chrono::milliseconds(5 * notice.intervalMs / 2));
    auto& told = m_toldRunners[notice.host];
    for (const auto& entry : notice.loads) {
        const auto runner = m_state.board().findByNumber(entry.runner);
        if (!runner)
            continue;
        OutstandingWork work;
        work.requests = entry.requests;
        std::copy(entry.prompts.begin(), entry.prompts.end(), work.prompts.begin());
        std::copy(entry.memoryTokens.begin(), entry.memoryTokens.end(), work.memoryTokens.begin());
        runner->setPeerWork(notice.host, work, now, lifetime);
        runner->setWorkTime(entry.workPercent, now - std::chrono::milliseconds(entry.workAgeMs));
    }
    // Only runners that the host told of before can have work of it that has ended.
    for (auto it = told.lower_bound(notice.firstRunner); it != told.end() && *it <= notice.lastRunner;) {
        const auto isListed = std::any_of(notice.loads.begin(), notice.loads.end(), [&](const auto& entry) { return entry.runner == *it; });
        if (isListed) {
            ++it;
            continue;
        }
        if (const auto runner = m_state.board().findByNumber(*it))
            runner->clearPeerWork(notice.host);
        it = told.erase(it);
    }
    for (const auto& entry : notice.loads)
        told.insert(entry.runner);
    onParts(notice.parts);
    onStoreSpeeds(notice.storeSpeeds);
    for (const auto& version : notice.versions)
        m_state.acceptTargetAge(version.model, version.version, std::chrono::milliseconds(version.ageMs), bootTime());
    if (notice.tablesVersion > m_state.tablesVersion() && notice.tablesVersion > m_pulledVersion) {
        m_pulledVersion = notice.tablesVersion;
        spawnTask(m_context, "host_exchange.pull_soon", pullSoon(from));
    }
}

void HostExchange::onParts(const std::vector<PlacedPart>& parts)
{
    for (const auto& part : parts) {
        if (const auto runner = m_state.board().findByNumber(part.runner))
            runner->parts().touch(PromptPart { part.part, part.tokens }, part.scope);
    }
}

asio::awaitable<void> HostExchange::pullSoon(Address from)
{
    asio::steady_timer timer(m_context, ownWatchTime);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (m_state.tablesVersion() >= m_pulledVersion)
        co_return;
    if (!co_await pull(from, false))
        m_pulledVersion = m_state.tablesVersion();
}

asio::awaitable<Result<StoreChangesReply>> HostExchange::pullStoreChanges(Address from, std::uint64_t after)
{
    PullStoreChanges request;
    request.after = after;
    const Address address { from.ip, m_settings.peerAddress.port };
    co_return co_await m_client.call(address, request, pullLimit);
}

asio::awaitable<bool> HostExchange::pull(Address from, bool wantsItems)
{
    PullRoutingTables request;
    request.knownVersion = m_state.tablesVersion();
    request.wantsItems = wantsItems;
    const Address address { from.ip, m_settings.peerAddress.port };
    const auto reply = co_await m_client.call(address, request, pullLimit);
    if (!reply) {
        logEvent(LogLevel::Warning, "pull_failed", { { "peer", toString(address) }, { "error", reply.error().message } });
        co_return false;
    }
    if (!reply->text.empty())
        m_tablesHandler(reply->text);
    if (wantsItems)
        m_itemHandler(reply->items);
    co_return m_state.tablesVersion() > 0;
}

asio::awaitable<bool> HostExchange::pullFromContacts()
{
    for (const auto& contact : m_settings.contacts) {
        if (contact.ip == m_settings.peerAddress.ip)
            continue;
        if (co_await pull(contact, true))
            co_return true;
    }
    co_return false;
}

std::chrono::milliseconds HostExchange::noticeInterval() const
{
    const bool isNearOnly = !isSmallFleet() && m_hosts.size() < hugeFleet && !m_sameDataCentre.empty();
    return intervalFor(isNearOnly ? m_sameDataCentre.size() : m_hosts.size());
}

std::chrono::milliseconds HostExchange::farNoticeInterval() const
{
    return areFarHostsToldLess() ? hugeFarInterval : intervalFor(m_hosts.size());
}

asio::awaitable<void> HostExchange::noticeLoop()
{
    asio::steady_timer timer(m_context);
    while (!m_isStopped) {
        boost::system::error_code ec;
        timer.expires_after(noticeInterval());
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        sendNotices();
    }
}

std::vector<RunnerLoadEntry> HostExchange::ownLoads() const
{
    std::vector<RunnerLoadEntry> out;
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [id, runner] : m_state.board().all()) {
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
        for (const auto& [version, named] : history.versions()) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(bootNow - named.since);
            if (!named.isEstimate && age < toldVersionAge && out.size() < versionsPerNotice)
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
        if (out.size() >= storeSpeedsPerNotice)
            break;
        if (const auto measured = store->speed().takeMeasured())
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

bool HostExchange::areFarHostsToldLess() const
{
    return m_hosts.size() >= hugeFleet && !m_sameDataCentre.empty();
}

void HostExchange::sendNotices()
{
    const auto now = std::chrono::steady_clock::now();
    if (isSmallFleet() || m_sameDataCentre.empty()) {
        sendNotice(m_hosts, noticeInterval(), std::exchange(m_parts, {}), takeStoreSpeeds());
        m_farParts.clear();
        return;
    }
    appendUpTo(m_farParts, m_parts, mostWaitingParts);
    auto storeSpeeds = takeStoreSpeeds();
    appendUpTo(m_farStoreSpeeds, storeSpeeds, storeSpeedsPerNotice);
    sendNotice(m_sameDataCentre, noticeInterval(), std::exchange(m_parts, {}), std::move(storeSpeeds));
    const auto interval = farNoticeInterval();
    if (now - m_farNoticeAt < interval)
        return;
    m_farNoticeAt = now;
    sendNotice(m_farHosts, interval, std::exchange(m_farParts, {}), std::exchange(m_farStoreSpeeds, {}));
}

template <typename Addresses>
void HostExchange::sendNotice(const Addresses& receivers, std::chrono::milliseconds interval, std::vector<PlacedPart> parts, std::vector<StoreSpeedEntry> storeSpeeds)
{
    const auto loads = ownLoads();
    LoadNotice notice;
    notice.host = m_hostHash;
    notice.dataCentre = hash64(m_settings.dataCentre);
    notice.tablesVersion = m_state.tablesVersion();
    notice.intervalMs = static_cast<std::uint16_t>(interval.count());
    notice.versions = versionAges();
    notice.storeSpeeds = std::move(storeSpeeds);
    const auto n = std::min(parts.size(), partsPerNotice);
    notice.parts.assign(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(n));
    parts.erase(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(n));
    std::size_t begin = 0;
    do {
        const auto end = std::min(begin + loadsPerNotice, loads.size());
        const bool isLast = end == loads.size();
        notice.loads.assign(loads.begin() + static_cast<std::ptrdiff_t>(begin), loads.begin() + static_cast<std::ptrdiff_t>(end));
        notice.lastRunner = isLast ? std::numeric_limits<std::uint32_t>::max() : loads[end - 1].runner;
        m_datagrams.sendToAll(receivers, notice);
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
    for (std::size_t i = 0; i < parts.size(); i += mostPartsPerNotice) {
        PartsNotice notice;
        const auto end = std::min(i + mostPartsPerNotice, parts.size());
        notice.parts.assign(parts.begin() + static_cast<std::ptrdiff_t>(i), parts.begin() + static_cast<std::ptrdiff_t>(end));
        m_datagrams.sendToAll(receivers, notice);
    }
}

}
