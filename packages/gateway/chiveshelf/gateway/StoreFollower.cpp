#include "chiveshelf/gateway/StoreFollower.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/gateway/SoftwareLedger.h"
#include "chiveshelf/gateway/StoreNotices.h"
#include "platform/StoreFormat.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Longer watches need fewer calls, but a dead connection may be detected only at the end of a watch.
    constexpr std::chrono::milliseconds watchTimeout { 4'000 };
    // Timeout while no other host confirms the announced versions: an answer confirms them only as of its call, and two watches have to
    // fit into CacheRetention::retentionTime with time for a fetch.
    constexpr std::chrono::milliseconds confirmingWatchTimeout { 1'000 };
    constexpr std::chrono::milliseconds recentConfirmationAge { 1'500 };
    // Delay between a watch with changes and the next one, so that further changes are read together. Used in large fleets, whose
    // calls would otherwise come near the store's rate limit.
    constexpr std::chrono::milliseconds batchDelay { 600 };
    constexpr std::chrono::milliseconds relayBatchDelay { 100 };
    // Timeout of the first watch after such a delay.
    constexpr std::chrono::milliseconds shortWatchTimeout { 400 };
    // Timeout of the first watch of a host that starts to relay changes.
    constexpr std::chrono::milliseconds firstWatchTimeout { 10 };
    // An answer that arrives more than this time after the watch's timeout is out of date and is not relayed.
    constexpr std::chrono::milliseconds maxAnswerDelay { 600 };
    // Interval at which a host that doesn't watch checks whether it has to.
    constexpr std::chrono::milliseconds electionCheckInterval { 50 };
    // Hosts that missed changes request them after a random delay up to this. Hosts that learn from others that the store was restored
    // read it after such a delay.
    constexpr std::chrono::milliseconds maxPullDelay { 80 };
    // Delay before a host that watches the store fetches newer tables from another, in which its watch usually delivers them.
    constexpr std::chrono::milliseconds watcherFetchDelay { 250 };
    constexpr std::size_t largeFleetHosts = 20;
    // Delays after failed calls. Failed calls count against the rate limit of the store, but hosts must be up to date within seconds
    // of its return.
    constexpr std::chrono::milliseconds minRetryDelay { 50 };
    constexpr std::chrono::milliseconds maxRetryDelay { 200 };
    // How long and how often hosts that started after a restore are told of runners that have left. The store removes entries that are
    // not renewed within seconds.
    constexpr std::chrono::milliseconds leftRunnersTime { 8'000 };
    constexpr std::chrono::milliseconds leftRunnersInterval { 800 };
    // Runners of a software version don't come and go in less time, and two answers of the store are always closer in normal operation.
    constexpr std::chrono::milliseconds maxUnseenTime { 8'000 };
    // Interval at which expired runners are removed.
    constexpr std::chrono::milliseconds expiryInterval { 200 };

    TimePoint now()
    {
        return std::chrono::steady_clock::now();
    }

}

StoreFollower::StoreFollower(asio::io_context& context, const GatewaySettings& settings, platform::StoreClient& store, ServingState& state, HostExchange& exchange)
    : m_context(context)
    , m_store(store)
    , m_state(state)
    , m_exchange(exchange)
    , m_retryDelay(minRetryDelay)
    , m_rank(WatcherElection::rank(exchange.hostHash(), settings.linkMbps, settings.cpuShare))
    , m_election(m_rank)
{
}

void StoreFollower::start()
{
    m_lastContactAt = bootTime();
    m_exchange.setStoreHandlers([this](const Address& from, const StoreNotice& notice) { onStoreNotice(from, notice); },
        [this](StorePosition after) { return changesAfter(after); }, [this] { return readTables(); });
    m_store.setEraHandler([this](StoreEra era) { onRestored(era); });
    spawnLoop(m_context, "store_follower.run", [this] { return run(); });
    spawnLoop(m_context, "store_follower.expire_loop", [this] { return expireLoop(); });
}

bool StoreFollower::isRelaying() const
{
    return m_exchange.dataCentreHostCount() >= WatcherElection::minHosts;
}

bool StoreFollower::mustWatch() const
{
    return !isRelaying() || m_election.mustWatch(now());
}

asio::awaitable<void> StoreFollower::run()
{
    m_isReadingAll = false;
    while (!m_isStopped) {
        if (!m_isReadingAll && m_cursor.mustRead())
            co_await readOrPause();
        else if (!m_isReadingAll && mustWatch())
            co_await follow();
        else
            co_await sleep(electionCheckInterval);
    }
}

asio::awaitable<void> StoreFollower::readOrPause()
{
    const bool isDone = co_await readAll();
    if (isDone)
        co_return;
    if (!m_hasRead && m_state.tablesVersion() == 0)
        co_await m_exchange.pullFromContacts();
    co_await pauseBeforeRetry();
}

asio::awaitable<void> StoreFollower::sleep(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

std::chrono::milliseconds StoreFollower::upTo(std::chrono::milliseconds limit)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(m_state.random() * static_cast<double>(limit.count())));
}

asio::awaitable<void> StoreFollower::expireLoop()
{
    while (!m_isStopped) {
        co_await sleep(expiryInterval);
        m_state.contactHistory().tick(bootTime());
        m_state.checkStoreFetches(bootTime());
        if (m_state.registry().expire(now()))
            refreshRunners();
        announceLeftRunners();
        m_state.observeSoftware();
        m_state.streamOrigins().expire(now());
    }
}

void StoreFollower::announceLeftRunners()
{
    if (m_leftRunners.empty() || now() > m_leftRunnersUntil || now() - m_leftRunnersToldAt < leftRunnersInterval)
        return;
    m_leftRunnersToldAt = now();
    m_exchange.announceLeaving(m_leftRunners);
}

asio::awaitable<void> StoreFollower::pauseBeforeRetry()
{
    co_await sleep(m_retryDelay);
    m_retryDelay = std::min(m_retryDelay * 2, maxRetryDelay);
}

asio::awaitable<bool> StoreFollower::readAll()
{
    m_isReadingAll = true;
    const auto before = bootTime();
    const auto pages = co_await readPages();
    m_isReadingAll = false;
    const auto previous = m_cursor.position();
    if (!pages || !m_cursor.finishRead(pages->first))
        co_return false;
    const auto& [position, items] = *pages;
    onContact();
    if (m_hasRead && previous.era < position.era)
        m_state.registry().onRestored(now());
    m_state.setStoreEra(position.era);
    logEvent(LogLevel::Info, "store_read", { { "era", position.era }, { "revision", position.revision }, { "previous_era", previous.era }, { "previous_revision", previous.revision }, { "items", items.size() } });
    applyAll(items, position.era);
    m_state.confirmVersions(before);
    m_hasRead = true;
    co_return true;
}

asio::awaitable<std::optional<std::pair<StorePosition, std::vector<StoredItem>>>> StoreFollower::readPages()
{
    std::pair<StorePosition, std::vector<StoredItem>> out;
    std::string after;
    while (true) {
        const auto sentAt = now();
        const auto page = co_await m_store.read("", after);
        if (!page) {
            onFailure(page.error(), "read", sentAt);
            co_return std::nullopt;
        }
        // Later pages may hold newer items; the watch from the first page's position returns these changes again.
        if (after.empty())
            out.first = page->position;
        else if (page->position.era != out.first.era)
            co_return std::nullopt;
        out.second.insert(out.second.end(), page->items.begin(), page->items.end());
        if (!page->hasMore || page->items.empty())
            co_return out;
        after = page->items.back().key;
    }
}

void StoreFollower::onRestored(StoreEra era)
{
    m_cursor.noteEra(era);
    // A pending watch may outlast the restore by seconds.
    if (m_hasRead && m_cursor.mustRead())
        spawnTask(m_context, "store_follower.read_restored", readRestored());
}

asio::awaitable<void> StoreFollower::readRestored()
{
    co_await sleep(upTo(maxPullDelay));
    if (!m_isStopped && !m_isReadingAll && m_cursor.mustRead())
        co_await readAll();
}

// Watches the store until a call fails or this host no longer has to watch.
asio::awaitable<void> StoreFollower::follow()
{
    // The first watch is short, so that the others soon learn that this host watches. A watch may report that the history was
    // lost only at its end.
    auto wait = isRelaying() ? firstWatchTimeout : longWatchTimeout();
    while (!m_isStopped && !m_isReadingAll && !m_cursor.mustRead() && mustWatch()) {
        const auto from = m_cursor.position();
        const auto sentAt = now();
        const auto before = bootTime();
        const auto batch = co_await m_store.watch("", from, wait);
        if (!batch) {
            if (batch.error().code == ErrorCode::NotFound)
                logEvent(LogLevel::Info, "store_history_lost", { { "era", from.era }, { "revision", from.revision } });
            else
                onFailure(batch.error(), "watch", sentAt);
            // The history may be lost when a watch is interrupted; only a full read returns the missed changes at once.
            if (m_cursor.position().era == from.era)
                m_cursor.requireRead();
            if (batch.error().code != ErrorCode::NotFound)
                co_await pauseBeforeRetry();
            co_return;
        }
        // If this process was suspended, the answer may have been waiting for long and must not be announced as current.
        const bool isCurrent = bootTime() - before <= wait + maxAnswerDelay;
        onContact();
        if (!m_cursor.continues(from, batch->position))
            continue;
        applyBatch(*batch);
        m_state.confirmVersions(before);
        const ChangeBatch relayed { withoutValues(batch->changes, platform::tablesKey()), batch->position };
        m_log.add(from, relayed.position, relayed.changes);
        if (isCurrent)
            announce(from, relayed);
        const bool isBatching = !batch->changes.empty() && m_exchange.hostCount() >= largeFleetHosts;
        if (isBatching)
            co_await sleep(m_state.tablesVersion() == 0 ? minRetryDelay : isRelaying() ? relayBatchDelay
                                                                                       : batchDelay);
        // A loss of the history during the delay goes unnoticed, so the next watch is short.
        wait = isBatching ? shortWatchTimeout : isRelaying() ? WatcherElection::noticeInterval
                                                             : longWatchTimeout();
    }
}

std::chrono::milliseconds StoreFollower::longWatchTimeout() const
{
    const auto age = m_state.confirmationAge(bootTime());
    return age && *age <= recentConfirmationAge ? watchTimeout : confirmingWatchTimeout;
}

void StoreFollower::applyBatch(const ChangeBatch& batch)
{
    bool hasChanged = false;
    for (const auto& change : batch.changes) {
        // The position may have moved on by a notice of another host, which came without the text of the tables.
        const bool hasTablesText = change.item.key == platform::tablesKey() && !change.item.value.empty();
        if (change.item.revision <= m_cursor.position().revision && !hasTablesText)
            continue;
        // Decoding tables takes long. Those between the known ones and the last ones of the batch are out of date already.
        if (change.item.key == platform::tablesKey() && isSuperseded(batch.changes, change))
            continue;
        apply(change);
        hasChanged = true;
    }
    m_cursor.advance(batch.position);
    if (hasChanged)
        finishChanges();
}

void StoreFollower::announce(StorePosition from, const ChangeBatch& batch)
{
    if (!isRelaying())
        return;
    for (auto& notice : makeStoreNotices(m_rank, from, batch)) {
        notice.tablesVersion = m_state.tablesVersion();
        m_exchange.announceStore(notice);
    }
}

void StoreFollower::onStoreNotice(const Address& from, const StoreNotice& notice)
{
    if (notice.tablesVersion > m_state.tablesVersion())
        m_exchange.tables().onNews(from.ip, notice.tablesVersion, mustWatch() ? watcherFetchDelay : upTo(maxPullDelay));
    const auto step = m_cursor.onNotice(notice.from, notice.to, notice.hasChanges);
    if (!m_hasRead || m_isReadingAll || step == StoreCursor::Step::Ignore)
        return;
    if (step == StoreCursor::Step::Read) {
        onRestored(notice.to.era);
        return;
    }
    if (step == StoreCursor::Step::Request) {
        if (!std::exchange(m_isPullingChanges, true))
            spawnTask(m_context, "store_follower.pull_changes", pullChanges(from));
        return;
    }
    onCurrentNotice(notice.host);
    if (step == StoreCursor::Step::Confirm)
        return;
    const ChangeBatch batch { toItemChanges(notice.changes), notice.to };
    m_log.add(notice.from, batch.position, batch.changes);
    applyBatch(batch);
}

void StoreFollower::onCurrentNotice(std::uint64_t host)
{
    m_election.onNotice(host, now());
    onContact();
    // The notice covers all changes up to its position, even if this host's own calls failed.
    m_cursor.confirm();
}

StoreChangesReply StoreFollower::changesAfter(StorePosition after) const
{
    const auto batch = m_log.since(after);
    if (!batch)
        return {};
    return { true, batch->position, toRelayedChanges(batch->changes) };
}

asio::awaitable<void> StoreFollower::pullChanges(Address from)
{
    // Spreads the requests of hosts that missed the same changes.
    co_await sleep(upTo(maxPullDelay));
    const auto after = m_cursor.position();
    const auto reply = co_await m_exchange.pullStoreChanges(std::move(from), after);
    m_isPullingChanges = false;
    // This host's own read or watch was faster.
    if (m_isReadingAll || m_cursor.position() != after)
        co_return;
    if (!reply || !reply->isComplete || !m_cursor.continues(after, reply->position)) {
        m_cursor.requireRead();
        co_return;
    }
    const ChangeBatch batch { toItemChanges(reply->changes), reply->position };
    m_log.add(after, batch.position, batch.changes);
    applyBatch(batch);
}

void StoreFollower::onContact()
{
    m_retryDelay = minRetryDelay;
    const auto bootNow = bootTime();
    if (bootNow - m_lastContactAt > maxUnseenTime)
        m_state.softwareHistory().onGap(now());
    m_lastContactAt = bootNow;
    m_state.contactHistory().onAnswer(bootTime());
    m_state.registry().onContactRegained(now());
    if (!m_isInContact)
        logEvent(LogLevel::Info, "store_connected", {});
    m_isInContact = true;
}

void StoreFollower::onFailure(const Error& error, std::string_view call, TimePoint sentAt)
{
    if (m_isInContact)
        m_positionAtLoss = m_cursor.position();
    m_state.registry().onCallFailed(sentAt, now());
    m_state.contactHistory().onFailure();
    if (m_isInContact || !m_hasRead)
        logEvent(LogLevel::Warning, "store_call_failed", { { "call", call }, { "error", error.message } });
    m_isInContact = false;
}

void StoreFollower::applyAll(const std::vector<StoredItem>& items, StoreEra era)
{
    std::vector<RunnerRecord> runners;
    std::set<std::string> kept;
    m_hostItems.clear();
    m_leaderKeyFreeSince = now();
    m_relayItems.clear();
    const auto formerSoftware = std::exchange(m_softwareRevisions, {});
    std::set<std::string> evacuations;
    for (const auto& item : items) {
        const auto n = runners.size();
        applyDecoded(ItemChange { item, false }, &runners, &evacuations);
        if (runners.size() > n && era == m_positionAtLoss.era && item.createdAt <= m_positionAtLoss.revision)
            kept.insert(runners.back().id);
    }
    for (const auto& [pool, revision] : formerSoftware) {
        if (!m_softwareRevisions.contains(pool))
            m_state.softwareHistory().setRecord(pool, std::nullopt, now());
    }
    m_state.setEvacuatedDataCentres(std::move(evacuations));
    const auto left = m_state.registry().replaceAll(runners, now(), kept);
    m_leftRunners.clear();
    for (const auto& record : left)
        m_leftRunners.push_back(runnerNumber(record));
    m_leftRunnersUntil = now() + leftRunnersTime;
    m_haveHostsChanged = true;
    finishChanges();
}

void StoreFollower::apply(const ItemChange& change)
{
    applyDecoded(change, nullptr, nullptr);
}

void StoreFollower::applyDecoded(const ItemChange& change, std::vector<RunnerRecord>* runners, std::set<std::string>* evacuations)
{
    const auto& key = change.item.key;
    const bool isHostItem = key.starts_with(hostKeyPrefix) || key == leaderKey;
    if (isHostItem) {
        m_haveHostsChanged = true;
        if (key == leaderKey && change.isRemoval)
            m_leaderKeyFreeSince = now();
        if (change.isRemoval)
            m_hostItems.erase(key);
        else
            m_hostItems.insert_or_assign(key, change.item);
        return;
    }
    if (key == platform::tablesKey()) {
        // Relayed changes have no text; the notice's version is fetched from another host.
        if (!change.isRemoval && !change.item.value.empty())
            applyTables(change.item.value, "store");
        return;
    }
    auto decoded = platform::decodeItem(change);
    if (change.isRemoval)
        m_relayItems.erase(key);
    else
        m_relayItems[key] = change.item.value;
    if (key.starts_with(softwareKeyPrefix)) {
        applySoftwareRecord(change);
    } else if (const auto* target = std::get_if<ModelTarget>(&decoded)) {
        m_state.acceptVersion(*target, bootTime(), runners ? VersionDelivery::NewestOnly : VersionDelivery::EachChange);
    } else if (const auto* evacuation = std::get_if<platform::EvacuationItem>(&decoded)) {
        if (evacuations)
            evacuations->insert(evacuation->dataCentre);
        else
            m_state.setEvacuated(evacuation->dataCentre, evacuation->isInForce);
    } else if (auto* runner = std::get_if<platform::RunnerItem>(&decoded)) {
        if (runner->record)
            logRunner(*runner->record);
        if (runner->record && runners)
            runners->push_back(std::move(*runner->record));
        else if (runner->record)
            m_state.registry().put(std::move(*runner->record));
        else if (!runners)
            m_state.registry().remove(runner->id, now());
    } else if (const auto* other = std::get_if<platform::OtherItem>(&decoded); other && !other->problem.empty()) {
        logEvent(LogLevel::Warning, "item_unreadable", { { "key", key }, { "problem", other->problem } });
    }
}

Revision StoreFollower::softwareRevision(const std::string& pool) const
{
    const auto it = m_softwareRevisions.find(pool);
    return it == m_softwareRevisions.end() ? 0 : it->second;
}

void StoreFollower::applySoftwareRecord(const ItemChange& change)
{
    const auto pool = change.item.key.substr(softwareKeyPrefix.size());
    auto record = change.isRemoval ? std::nullopt : decodeSoftwareRecord(change.item.value);
    if (!change.isRemoval && !record)
        logEvent(LogLevel::Warning, "software_record_unreadable", { { "pool", pool } });
    if (change.isRemoval)
        m_softwareRevisions.erase(pool);
    else
        m_softwareRevisions[pool] = change.item.revision;
    m_state.softwareHistory().setRecord(pool, std::move(record), now());
}

void StoreFollower::logRunner(const RunnerRecord& record) const
{
    const auto& records = m_state.registry().records();
    const auto it = records.find(record.id);
    if (it != records.end() && it->second.isSameIncarnation(record) && it->second.isLeaving == record.isLeaving)
        return;
    logEvent(LogLevel::Info, "runner_listed", { { "runner", record.id }, { "pool", record.pool }, { "born", record.bornMs }, { "sequence", record.sequence }, { "software", record.softwareVersion }, { "leaving", record.isLeaving ? "yes" : "no" } });
}

void StoreFollower::refreshRunners()
{
    m_state.refreshRunners();
    const auto deferred = m_state.registry().deferredRemovals();
    if (std::exchange(m_deferredRemovals, deferred) != deferred)
        logEvent(LogLevel::Info, "runner_removals_deferred", { { "runners", deferred } });
}

void StoreFollower::finishChanges()
{
    refreshRunners();
    if (!std::exchange(m_haveHostsChanged, false))
        return;
    std::map<std::string, Address> hosts;
    for (const auto& [key, item] : m_hostItems) {
        if (!key.starts_with(hostKeyPrefix))
            continue;
        const auto address = parseAddress(item.value);
        if (address)
            hosts.emplace(key.substr(hostKeyPrefix.size()), *address);
        else
            logEvent(LogLevel::Warning, "host_address_invalid", { { "key", key } });
    }
    m_exchange.setHosts(std::move(hosts));
}

std::vector<std::pair<std::string, std::string>> StoreFollower::relayItems() const
{
    std::vector<std::pair<std::string, std::string>> out { m_relayItems.begin(), m_relayItems.end() };
    // A host that starts without the store needs the other hosts to keep the fleet's bounds with them.
    for (const auto& [key, item] : m_hostItems) {
        if (key.starts_with(hostKeyPrefix))
            out.emplace_back(key, item.value);
    }
    return out;
}

void StoreFollower::applyRelayedItems(const std::vector<std::pair<std::string, std::string>>& items)
{
    if (m_hasRead)
        return;
    for (const auto& [key, text] : items)
        apply(ItemChange { StoredItem { key, text, 0 }, false });
    finishChanges();
}

asio::awaitable<void> StoreFollower::readTables()
{
    const auto item = co_await m_store.readItem(std::string(platform::tablesKey()));
    if (item)
        applyTables(item->value, "item");
    else
        logEvent(LogLevel::Warning, "tables_read_failed", { { "error", item.error().message } });
}

void StoreFollower::applyTables(const std::string& text, std::string_view way)
{
    const auto hash = hash64(text);
    if (std::exchange(m_tablesTextHash, hash) == hash)
        return;
    // Tables that came from another host are in the store, too, and a full read brings their text.
    if (const auto version = platform::peekTablesVersion(text); version && *version <= m_state.tablesVersion())
        return;
    ++m_decodedTablesCount;
    const auto start = now();
    auto tables = platform::decodeTables(text);
    const auto decodeTime = std::chrono::duration_cast<std::chrono::milliseconds>(now() - start);
    if (tables)
        m_state.acceptTables(std::move(*tables), { way, text.size(), decodeTime, m_exchange.tables().sinceNews() });
    else
        logEvent(LogLevel::Warning, "tables_unreadable", { { "source", way }, { "problem", tables.error() } });
}

}
