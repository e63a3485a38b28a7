#include "chiveshelf/gateway/CacheFollower.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "platform/CacheCalls.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Time that the store may hold a call for changes. Long enough to avoid frequent polling, and short enough to detect a store
    // that doesn't answer before its known contents expire.
    constexpr std::chrono::milliseconds pollTimeout { 450 };
    // Delay between calls, so that several changes are read together.
    constexpr std::chrono::milliseconds batchDelay { 150 };
    constexpr std::chrono::milliseconds retryDelay { 500 };
    constexpr std::chrono::milliseconds checkInterval { 500 };
    // Limit for the parts freed with one call.
    constexpr std::size_t maxFreedParts = 100;
    // Number of hosts that poll a store themselves. A store accepts a dozen callers at once, and hosts that are shutting down may
    // still be among them.
    constexpr std::size_t pollingHosts = 7;
    // Up to this number of hosts all of them poll the stores and no notices are sent.
    constexpr std::size_t smallFleetHosts = pollingHosts + 1;
    // Limit of entries, so that a notice fits into one Ethernet frame.
    constexpr std::size_t entriesPerNotice = 14;
    // Minimum time between two listings in a large fleet, whose hosts may have slow links. A listing has some 100 KB.
    constexpr std::chrono::milliseconds minListInterval { 700 };
    // Minimum delay before a host that relies on notices lists a store again.
    constexpr std::chrono::milliseconds relistDelay { 3'000 };
    // A host that relies on notices lists a store whose contents were out of date for longer than this.
    constexpr std::chrono::milliseconds noticeTimeout { 5'000 };
    // A host that relies on notices lists a store if more parts are missing than this number plus this share of the store's parts.
    constexpr double maxMissingParts = 20;
    constexpr double maxMissingShare = 0.1;

}

CacheFollower::CacheFollower(asio::io_context& context, http::Client& client, ServingState& state, HostExchange& exchange,
    std::function<bool()> mayFreeParts)
    : m_context(context)
    , m_client(client)
    , m_state(state)
    , m_exchange(exchange)
    , m_mayFreeParts(std::move(mayFreeParts))
{
    m_exchange.setCacheHandler([this](const CacheNotice& notice) { onNotice(notice); });
}

void CacheFollower::start()
{
    spawnLoop(m_context, "cache_follower.run", [this] { return run(); });
}

asio::awaitable<void> CacheFollower::sleep(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> CacheFollower::run()
{
    while (!m_isStopped) {
        for (const auto& contents : m_state.cacheStores()) {
            if (m_followedStores.insert(contents).second)
                spawnLoop(m_context, "cache_follower.follow", [this, contents] { return follow(contents); });
        }
        co_await sleep(checkInterval);
    }
}

bool CacheFollower::isConfigured(const std::shared_ptr<CacheContents>& contents) const
{
    const auto& stores = m_state.cacheStores();
    return std::find(stores.begin(), stores.end(), contents) != stores.end();
}

asio::awaitable<void> CacheFollower::follow(std::shared_ptr<CacheContents> contents)
{
    const auto name = toString(contents->store().address);
    while (!m_isStopped && isConfigured(contents)) {
        const bool isPolling = this->isPolling(name);
        if (!isPolling && !mustList(*contents)) {
            co_await sleep(checkInterval);
            continue;
        }
        const bool isPoll = isPolling && contents->isKnown();
        if (!isPoll && !reserveListing()) {
            co_await sleep(batchDelay);
            continue;
        }
        const bool isDone = isPoll ? co_await poll(contents) : co_await list(contents);
        if (isDone && m_mayFreeParts())
            co_await freeObsolete(contents);
        if (!isPolling)
            co_await sleep(relistDelay);
        else
            co_await sleep(isDone ? batchDelay : retryDelay);
    }
    contents->clear();
    m_incompleteStores.erase(contents.get());
    m_storesUnconfirmedSince.erase(contents.get());
    m_followedStores.erase(contents);
}

bool CacheFollower::isPolling(const std::string& store) const
{
    return m_exchange.hostCount() <= smallFleetHosts || m_exchange.rendezvousPosition(store) < pollingHosts;
}

bool CacheFollower::mustList(const CacheContents& contents)
{
    const auto now = bootTime();
    if (contents.isConfirmed(now)) {
        m_storesUnconfirmedSince.erase(&contents);
        return m_incompleteStores.contains(&contents);
    }
    // Another host may be about to take over the notices. Until then the store's parts are not used.
    const auto since = m_storesUnconfirmedSince.try_emplace(&contents, now).first->second;
    return now - since > noticeTimeout;
}

bool CacheFollower::reserveListing()
{
    const auto now = std::chrono::steady_clock::now();
    if (now < m_nextListAt)
        return false;
    if (m_exchange.hostCount() > smallFleetHosts)
        m_nextListAt = now + minListInterval;
    return true;
}

asio::awaitable<bool> CacheFollower::list(std::shared_ptr<CacheContents> contents)
{
    const auto before = bootTime();
    const auto listing = co_await platform::listCache(m_client, contents->store().address);
    if (!listing)
        co_return false;
    contents->replaceAll(listing->parts, listing->epoch, std::chrono::steady_clock::now());
    contents->confirm(before);
    contents->setPosition(listing->position);
    m_incompleteStores.erase(contents.get());
    logEvent(LogLevel::Info, "cache_listed", { { "store", toString(contents->store().address) }, { "parts", contents->partCount() } });
    co_return true;
}

asio::awaitable<bool> CacheFollower::poll(std::shared_ptr<CacheContents> contents)
{
    // The contents are confirmed as of the send time because the answer may be delayed.
    const auto before = bootTime();
    const auto changes = co_await platform::readCacheChanges(m_client, contents->store().address, contents->position(), pollTimeout);
    if (!changes) {
        logEvent(LogLevel::Warning, "cache_poll_failed", { { "store", toString(contents->store().address) }, { "error", changes.error().message } });
        contents->clear();
        co_return false;
    }
    if (changes->isIncomplete || !contents->apply(changes->changes, changes->epoch)) {
        contents->clear();
        co_return true;
    }
    contents->confirm(before);
    if (changes->clockMs)
        m_state.runnerClock().set(*changes->clockMs, bootTime());
    contents->setPosition(changes->position);
    announce(*contents, before, changes->changes);
    co_return true;
}

void CacheFollower::announce(const CacheContents& contents, std::chrono::nanoseconds polledAt, const std::vector<CacheChange>& changes)
{
    if (m_exchange.hostCount() <= smallFleetHosts)
        return;
    CacheNotice notice;
    notice.store = toString(contents.store().address);
    if (m_exchange.rendezvousPosition(notice.store) != 0)
        return;
    const auto now = bootTime();
    notice.epoch = contents.epoch();
    notice.ageMs = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - polledAt).count());
    notice.clockMs = m_state.runnerClock().read(now).value_or(0);
    std::size_t i = 0;
    do {
        notice.entries.clear();
        for (; i < changes.size() && notice.entries.size() < entriesPerNotice; ++i)
            notice.entries.push_back({ changes[i].name.scope, changes[i].name.part, changes[i].partId, static_cast<std::uint32_t>(changes[i].tokens), changes[i].isStored });
        // Receivers can only compare the number of parts after the last notice of a poll.
        notice.partCount = i < changes.size() ? 0 : static_cast<std::uint32_t>(contents.partCount());
        m_exchange.announceCache(notice);
    } while (i < changes.size());
}

void CacheFollower::onNotice(const CacheNotice& notice)
{
    for (const auto& contents : m_state.cacheStores()) {
        if (toString(contents->store().address) != notice.store || isPolling(notice.store))
            continue;
        if (notice.clockMs != 0)
            m_state.runnerClock().set(notice.clockMs, bootTime());
        std::vector<CacheChange> changes;
        for (const auto& entry : notice.entries)
            changes.push_back({ entry.isStored, { entry.scope, entry.part }, entry.partId, entry.tokens });
        // A new epoch means that the store has restarted and lost its parts. A store unknown so far starts without parts.
        if (!contents->isKnown() || contents->epoch() != notice.epoch)
            contents->replaceAll({}, notice.epoch, std::chrono::steady_clock::now());
        // A lost notice is harmless: new parts are then fetched later, and freed ones are not requested any more.
        contents->apply(changes, notice.epoch);
        contents->confirm(bootTime() - std::chrono::milliseconds(notice.ageMs));
        const auto missing = static_cast<double>(notice.partCount) - static_cast<double>(contents->partCount());
        if (missing > maxMissingParts + maxMissingShare * notice.partCount)
            m_incompleteStores.insert(contents.get());
    }
}

asio::awaitable<void> CacheFollower::freeObsolete(std::shared_ptr<CacheContents> contents)
{
    const auto parts = contents->obsoleteParts([this, now = bootTime()](const CacheScope& scope) { return m_state.isObsolete(scope, now); }, maxFreedParts);
    if (parts.empty())
        co_return;
    const auto freed = co_await platform::freeParts(m_client, contents->store().address, parts, contents->epoch());
    logEvent(LogLevel::Info, "parts_freed", { { "store", toString(contents->store().address) }, { "parts", parts.size() }, { "first_scope", parts.front().scope }, { "done", freed ? "yes" : freed.error().message } });
    if (!freed)
        co_return;
    for (const auto& part : parts)
        contents->removePart(part);
}

}
