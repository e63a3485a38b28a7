#include "chiveshelf/gateway/StoreFollower.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
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
    constexpr std::chrono::milliseconds shortWatchTime { 400 };
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
{
}

void StoreFollower::start()
{
    spawnLoop(m_context, "store_follower.run", [this] { return run(); });
    spawnLoop(m_context, "store_follower.expire_loop", [this] { return expireLoop(); });
}

asio::awaitable<void> StoreFollower::run()
{
    while (!m_isStopped) {
        const auto revision = co_await readAll();
        if (revision) {
            co_await follow(*revision);
            continue;
        }
        if (!m_hasRead && m_state.tablesVersion() == 0)
            co_await m_exchange.pullFromContacts();
        co_await pause();
    }
}

asio::awaitable<void> StoreFollower::expireLoop()
{
    asio::steady_timer timer(m_context);
    while (!m_isStopped) {
        boost::system::error_code ec;
        timer.expires_after(expireInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        m_state.contact().tick(bootTime());
        if (m_state.registry().expire(now()))
            m_state.refreshRunners();
    }
}

asio::awaitable<void> StoreFollower::gather()
{
    asio::steady_timer timer(m_context, m_state.tablesVersion() == 0 ? firstPause : gatherTime);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> StoreFollower::pause()
{
    asio::steady_timer timer(m_context, m_pause);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
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

asio::awaitable<void> StoreFollower::follow(Revision revision)
{
    auto wait = watchTime;
    while (!m_isStopped) {
        const auto batch = co_await m_store.watch("", revision, wait);
        if (batch) {
            onContact();
            for (const auto& change : batch->changes)
                apply(change);
            revision = batch->revision;
            wait = watchTime;
            if (batch->changes.empty())
                continue;
            finishChanges();
            if (m_exchange.hostCount() < largeFleet)
                continue;
            co_await gather();
            // A cut in the pause was not seen, and a watch whose history is being lost may tell so only at its end.
            wait = shortWatchTime;
            continue;
        }
        if (batch.error().code == ErrorCode::NotFound) {
            logEvent(LogLevel::Info, "store_history_lost", { { "revision", revision } });
            co_return;
        }
        // A watch that was cut may be about to lose its history: only a read tells at once what it missed.
        onFailure(batch.error(), "watch");
        co_await pause();
        co_return;
    }
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
    const bool isOwn = key.starts_with(hostPrefix) || key == leaderKey;
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
        if (!key.starts_with(hostPrefix))
            continue;
        const auto address = parseAddress(item.value);
        if (address)
            hosts.emplace(key.substr(hostPrefix.size()), *address);
        else
            logEvent(LogLevel::Warning, "host_unreadable", { { "key", key } });
    }
    m_exchange.setHosts(std::move(hosts));
}

std::vector<std::pair<std::string, std::string>> StoreFollower::relayItems() const
{
    return { m_relayTexts.begin(), m_relayTexts.end() };
}

void StoreFollower::takeRelayedItems(const std::vector<std::pair<std::string, std::string>>& items)
{
    if (m_hasRead)
        return;
    for (const auto& [key, text] : items)
        applyDecoded(ItemChange { StoredItem { key, text, 0 }, false }, nullptr);
    finishChanges();
}

void StoreFollower::takeRelayedTables(const std::string& text)
{
    auto tables = platform::decodeTables(text);
    if (tables)
        m_state.acceptTables(std::move(*tables), text, "peer");
    else
        logEvent(LogLevel::Warning, "relayed_tables_unreadable", { { "problem", tables.error() } });
}

}
