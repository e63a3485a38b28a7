#include "chiveshelf/gateway/StoreFollower.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/gateway/StoreNotices.h"
#include "platform/StoreFormat.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // A watch that waits longer saves calls; one on a connection that fell silent is found at its end at the latest.
    constexpr std::chrono::milliseconds watchTime { 4'000 };
    // Pause after changes, in which others gather, in fleets whose calls together would come near the store's rate, and the first
    // watch after it.
    constexpr std::chrono::milliseconds gatherTime { 600 };
    constexpr std::chrono::milliseconds relayGatherTime { 100 };
    constexpr std::chrono::milliseconds shortWatchTime { 400 };
    // The first watch of a host that begins to watch for others.
    constexpr std::chrono::milliseconds firstWatchTime { 10 };
    // Time beyond the wait of a watch within which its answer is taken as of now.
    constexpr std::chrono::milliseconds answerTime { 600 };
    // How often a host that does not watch looks whether it has to.
    constexpr std::chrono::milliseconds turnInterval { 50 };
    // Time over which hosts that missed changes ask for them.
    constexpr std::chrono::milliseconds pullSpread { 80 };
    constexpr std::size_t largeFleet = 20;
    // Pauses after failed calls. Every call is counted by the store, and hosts must be in step within seconds of its return.
    constexpr std::chrono::milliseconds firstPause { 50 };
    constexpr std::chrono::milliseconds longestPause { 800 };
    // How often lapsed entries are looked at.
    constexpr std::chrono::milliseconds expireInterval { 200 };

    TimePoint now()
    {
        return std::chrono::steady_clock::now();
    }

}

StoreFollower::StoreFollower(asio::io_context& context, platform::StoreClient& store, ServingState& state, HostExchange& exchange)
    : m_context(context)
    , m_store(store)
    , m_state(state)
    , m_exchange(exchange)
    , m_pause(firstPause)
    , m_election(exchange.hostHash())
{
}

void StoreFollower::start()
{
    m_exchange.setStoreFollower([this](const Address& from, const StoreNotice& notice) { takeNotice(from, notice); },
        [this](std::uint64_t after) { return changesAfter(after); });
    spawnLoop(m_context, "store_follower.run", [this] { return run(); });
    spawnLoop(m_context, "store_follower.expire_loop", [this] { return expireLoop(); });
}

bool StoreFollower::isRelaying() const
{
    return m_exchange.dataCentreHostCount() >= WatcherElection::fewestHosts;
}

bool StoreFollower::mustWatch() const
{
    return !isRelaying() || m_election.mustWatch(now());
}

asio::awaitable<void> StoreFollower::run()
{
    m_isReading = false;
    while (!m_isStopped) {
        if (m_mustRead) {
            m_isReading = true;
            const auto revision = co_await readAll();
            m_isReading = false;
            if (revision) {
                m_revision = *revision;
                m_mustRead = false;
            } else {
                if (!m_hasRead && m_state.tablesVersion() == 0)
                    co_await m_exchange.pullFromContacts();
                co_await pause();
            }
        } else if (mustWatch()) {
            co_await follow();
        } else {
            co_await sleep(turnInterval);
        }
    }
}

asio::awaitable<void> StoreFollower::sleep(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> StoreFollower::expireLoop()
{
    while (!m_isStopped) {
        co_await sleep(expireInterval);
        m_state.contact().tick(bootTime());
        if (m_state.registry().expire(now()))
            m_state.refreshRunners();
    }
}

asio::awaitable<void> StoreFollower::pause()
{
    co_await sleep(m_pause);
    m_pause = std::min(m_pause * 2, longestPause);
}

asio::awaitable<std::optional<Revision>> StoreFollower::readAll()
{
    std::vector<StoredItem> items;
    std::optional<Revision> first;
    std::string after;
    while (true) {
        const auto page = co_await m_store.read("", after);
        if (!page) {
            onFailure(page.error(), "read");
            co_return std::nullopt;
        }
        // Later pages may hold newer items; the watch from the first revision repeats them.
        if (!first)
            first = page->revision;
        items.insert(items.end(), page->items.begin(), page->items.end());
        if (!page->hasMore || page->items.empty())
            break;
        after = page->items.back().key;
    }
    onContact();
    applyAll(items);
    m_hasRead = true;
    co_return first;
}

// Watches for as long as this host has to and calls succeed.
asio::awaitable<void> StoreFollower::follow()
{
    // The first answer tells the others at once that this host watches. A watch whose history is being lost may tell so only
    // at its end.
    auto wait = isRelaying() ? firstWatchTime : watchTime;
    while (!m_isStopped && !m_mustRead && mustWatch()) {
        const auto from = m_revision;
        const auto before = bootTime();
        const auto batch = co_await m_store.watch("", from, wait);
        if (!batch) {
            if (batch.error().code == ErrorCode::NotFound)
                logEvent(LogLevel::Info, "store_history_lost", { { "revision", from } });
            else
                onFailure(batch.error(), "watch");
            // A watch that was cut may be about to lose its history: only a read tells at once what it missed.
            m_mustRead = true;
            if (batch.error().code != ErrorCode::NotFound)
                co_await pause();
            co_return;
        }
        onContact();
        advance(*batch);
        m_log.add(from, batch->revision, batch->changes);
        // An answer that lay unread while this host stood still tells nothing of the present.
        if (bootTime() - before <= wait + answerTime)
            announce(from, *batch);
        const bool isGathering = !batch->changes.empty() && m_exchange.hostCount() >= largeFleet;
        if (isGathering)
            co_await sleep(m_state.tablesVersion() == 0 ? firstPause : isRelaying() ? relayGatherTime
                                                                                    : gatherTime);
        // A cut in the pause was not seen.
        wait = isGathering ? shortWatchTime : isRelaying() ? WatcherElection::noticeInterval
                                                           : watchTime;
    }
}

void StoreFollower::advance(const ChangeBatch& batch)
{
    bool hasChanged = false;
    for (const auto& change : batch.changes) {
        if (change.item.revision <= m_revision)
            continue;
        apply(change);
        hasChanged = true;
    }
    m_revision = std::max(m_revision, batch.revision);
    if (hasChanged)
        finishChanges();
}

void StoreFollower::announce(Revision from, const ChangeBatch& batch)
{
    if (!isRelaying())
        return;
    for (const auto& notice : makeStoreNotices(m_exchange.hostHash(), from, batch))
        m_exchange.announceStore(notice);
}

void StoreFollower::takeNotice(const Address& from, const StoreNotice& notice)
{
    if (!m_hasRead || m_isReading || notice.toRevision < m_revision)
        return;
    const bool isNews = notice.toRevision > m_revision;
    if (isNews && (!notice.hasChanges || notice.fromRevision > m_revision)) {
        if (!std::exchange(m_isPulling, true))
            spawnTask(m_context, "store_follower.pull_changes", pullChanges(from));
        return;
    }
    onRelayed(notice.host);
    if (!isNews)
        return;
    const ChangeBatch batch { toItemChanges(notice.changes), notice.toRevision };
    m_log.add(notice.fromRevision, batch.revision, batch.changes);
    advance(batch);
}

void StoreFollower::onRelayed(std::uint64_t host)
{
    m_election.onHeard(host, now());
    onContact();
    // Nothing is missing up to the revision of the notice, whatever became of this host's own calls.
    m_mustRead = false;
}

StoreChangesReply StoreFollower::changesAfter(Revision after) const
{
    const auto batch = m_log.since(after);
    if (!batch)
        return {};
    return { true, batch->revision, toRelayedChanges(batch->changes) };
}

asio::awaitable<void> StoreFollower::pullChanges(Address from)
{
    // All hosts that have to ask do not ask together.
    co_await sleep(std::chrono::milliseconds(static_cast<std::int64_t>(m_state.random() * static_cast<double>(pullSpread.count()))));
    const auto after = m_revision;
    const auto reply = co_await m_exchange.pullStoreChanges(std::move(from), after);
    m_isPulling = false;
    // The own read or watch has been faster.
    if (m_isReading || m_revision != after)
        co_return;
    if (!reply || !reply->isComplete) {
        m_mustRead = true;
        co_return;
    }
    const ChangeBatch batch { toItemChanges(reply->changes), reply->revision };
    m_log.add(after, batch.revision, batch.changes);
    advance(batch);
}

void StoreFollower::onContact()
{
    m_pause = firstPause;
    m_state.contact().onAnswer(bootTime());
    m_state.registry().onContactRegained(now());
    if (!m_isInContact)
        logEvent(LogLevel::Info, "store_reached", {});
    m_isInContact = true;
}

void StoreFollower::onFailure(const Error& error, std::string_view call)
{
    m_state.registry().onContactLost(now());
    m_state.contact().onFailure();
    if (m_isInContact || !m_hasRead)
        logEvent(LogLevel::Warning, "store_failed", { { "call", call }, { "error", error.message } });
    m_isInContact = false;
}

void StoreFollower::applyAll(const std::vector<StoredItem>& items)
{
    std::vector<RunnerRecord> runners;
    m_ownItems.clear();
    m_leaderGoneSince = now();
    m_relayTexts.clear();
    for (const auto& item : items)
        applyDecoded(ItemChange { item, false }, &runners);
    m_state.registry().replaceAll(runners, now());
    m_haveHostsChanged = true;
    finishChanges();
}

void StoreFollower::apply(const ItemChange& change)
{
    applyDecoded(change, nullptr);
}

void StoreFollower::applyDecoded(const ItemChange& change, std::vector<RunnerRecord>* runners)
{
    const auto& key = change.item.key;
    const bool isOwn = key.starts_with(hostKeyPrefix) || key == leaderKey;
    if (isOwn) {
        m_haveHostsChanged = true;
        if (key == leaderKey && change.isRemoval)
            m_leaderGoneSince = now();
        if (change.isRemoval)
            m_ownItems.erase(key);
        else
            m_ownItems.insert_or_assign(key, change.item);
        return;
    }
    auto decoded = platform::decodeItem(change);
    if (auto* tables = std::get_if<platform::TablesItem>(&decoded)) {
        m_state.acceptTables(std::move(tables->tables), std::move(tables->text), "store");
        return;
    }
    if (change.isRemoval)
        m_relayTexts.erase(key);
    else
        m_relayTexts[key] = change.item.value;
    if (const auto* target = std::get_if<ModelTarget>(&decoded)) {
        m_state.acceptTarget(*target, bootTime());
    } else if (auto* runner = std::get_if<platform::RunnerItem>(&decoded)) {
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

void StoreFollower::finishChanges()
{
    m_state.refreshRunners();
    if (!std::exchange(m_haveHostsChanged, false))
        return;
    std::map<std::string, Address> hosts;
    for (const auto& [key, item] : m_ownItems) {
        if (!key.starts_with(hostKeyPrefix))
            continue;
        const auto address = parseAddress(item.value);
        if (address)
            hosts.emplace(key.substr(hostKeyPrefix.size()), *address);
        else
            logEvent(LogLevel::Warning, "host_unreadable", { { "key", key } });
    }
    m_exchange.setHosts(std::move(hosts));
}

std::vector<std::pair<std::string, std::string>> StoreFollower::relayItems() const
{
    return { m_relayTexts.begin(), m_relayTexts.end() };
}

void StoreFollower::applyRelayedItems(const std::vector<std::pair<std::string, std::string>>& items)
{
    if (m_hasRead)
        return;
    for (const auto& [key, text] : items)
        applyDecoded(ItemChange { StoredItem { key, text, 0 }, false }, nullptr);
    finishChanges();
}

void StoreFollower::applyRelayedTables(const std::string& text)
{
    auto tables = platform::decodeTables(text);
    if (tables)
        m_state.acceptTables(std::move(*tables), text, "peer");
    else
        logEvent(LogLevel::Warning, "relayed_tables_unreadable", { { "problem", tables.error() } });
}

}
