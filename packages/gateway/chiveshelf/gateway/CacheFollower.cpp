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

    // Waits of a call for changes: long enough not to be a probe, short enough to notice a silent store before the time for
    // which its contents are relied on.
    constexpr std::chrono::milliseconds pollTime { 450 };
    // Pause between calls, in which changes gather.
    constexpr std::chrono::milliseconds gatherTime { 150 };
    constexpr std::chrono::milliseconds failurePause { 500 };
    constexpr std::chrono::milliseconds checkInterval { 500 };
    // Parts freed by one call.
    constexpr std::size_t mostFreed = 100;
    // Hosts that ask a store by themselves. A store takes a dozen callers at once, others may be about to leave.
    constexpr std::size_t askingHosts = 7;
    // Fleets up to this size need no notices.
    constexpr std::size_t smallFleet = askingHosts + 1;
    // Entries of one notice, so that it fits into a frame.
    constexpr std::size_t entriesPerNotice = 14;
    // Least time between two listings in a large fleet, whose hosts can have narrow links: a listing is some 100 KB.
    constexpr std::chrono::milliseconds listSpacing { 700 };
    // Pause before a host that depends on notices lists a store again.
    constexpr std::chrono::milliseconds relistPause { 3'000 };
    // Time without notices of a store after which such a host lists it.
    constexpr std::chrono::milliseconds noticeWait { 5'000 };
    // Parts that such a host may not know of, as a number and as a share: more are worth a listing.
    constexpr double fewMissingParts = 20;
    constexpr double missingShare = 0.1;

}

CacheFollower::CacheFollower(asio::io_context& context, http::Client& client, ServingState& state, HostExchange& exchange,
    std::function<bool()> mayFree)
    : m_context(context)
    , m_client(client)
    , m_state(state)
    , m_exchange(exchange)
    , m_mayFree(std::move(mayFree))
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
            if (m_followed.insert(contents).second)
                spawnLoop(m_context, "cache_follower.follow", [this, contents] { return follow(contents); });
        }
        co_await sleep(checkInterval);
    }
}

bool CacheFollower::isNamed(const std::shared_ptr<CacheContents>& contents) const
{
    const auto& stores = m_state.cacheStores();
    return std::find(stores.begin(), stores.end(), contents) != stores.end();
}

asio::awaitable<void> CacheFollower::follow(std::shared_ptr<CacheContents> contents)
{
    const auto name = toString(contents->store().address);
    while (!m_isStopped && isNamed(contents)) {
        const bool isAsking = this->isAsking(name);
        if (!isAsking && !mustList(*contents)) {
            co_await sleep(checkInterval);
            continue;
        }
        const bool isPoll = isAsking && contents->isKnown();
        if (!isPoll && !takeListTurn()) {
            co_await sleep(gatherTime);
            continue;
        }
        const bool isDone = isPoll ? co_await poll(contents) : co_await list(contents);
        if (isDone && m_mayFree())
            co_await freeObsolete(contents);
        if (!isAsking)
            co_await sleep(relistPause);
        else
            co_await sleep(isDone ? gatherTime : failurePause);
    }
    contents->clear();
    m_incomplete.erase(contents.get());
    m_unconfirmedSince.erase(contents.get());
    m_followed.erase(contents);
}

bool CacheFollower::isAsking(const std::string& store) const
{
    return m_exchange.hostCount() <= smallFleet || m_exchange.rendezvousPosition(store) < askingHosts;
}

bool CacheFollower::mustList(const CacheContents& contents)
{
    const auto now = bootTime();
    if (contents.isConfirmed(now)) {
        m_unconfirmedSince.erase(&contents);
        return m_incomplete.contains(&contents);
    }
    // Those who tell of the store may just be replaced; until then its parts are not used.
    const auto since = m_unconfirmedSince.try_emplace(&contents, now).first->second;
    return now - since > noticeWait;
}

bool CacheFollower::takeListTurn()
{
    const auto now = std::chrono::steady_clock::now();
    if (now < m_nextListAt)
        return false;
    if (m_exchange.hostCount() > smallFleet)
        m_nextListAt = now + listSpacing;
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
    m_incomplete.erase(contents.get());
    logEvent(LogLevel::Info, "cache_listed", { { "store", toString(contents->store().address) }, { "parts", contents->partCount() } });
    co_return true;
}

asio::awaitable<bool> CacheFollower::poll(std::shared_ptr<CacheContents> contents)
{
    // The answer may have been on its way for long.
    const auto before = bootTime();
    const auto changes = co_await platform::readCacheChanges(m_client, contents->store().address, contents->position(), pollTime);
    if (!changes) {
        logEvent(LogLevel::Warning, "cache_lost", { { "store", toString(contents->store().address) }, { "error", changes.error().message } });
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

void CacheFollower::announce(const CacheContents& contents, std::chrono::nanoseconds askedAt, const std::vector<CacheChange>& changes)
{
    if (m_exchange.hostCount() <= smallFleet)
        return;
    CacheNotice notice;
    notice.store = toString(contents.store().address);
    if (m_exchange.rendezvousPosition(notice.store) != 0)
        return;
    const auto now = bootTime();
    notice.epoch = contents.epoch();
    notice.ageMs = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - askedAt).count());
    notice.clockMs = m_state.runnerClock().read(now).value_or(0);
    std::size_t i = 0;
    do {
        notice.entries.clear();
        for (; i < changes.size() && notice.entries.size() < entriesPerNotice; ++i)
            notice.entries.push_back({ changes[i].name.scope, changes[i].name.part, changes[i].partId, static_cast<std::uint32_t>(changes[i].tokens), changes[i].isStored });
        // Only the last notice of an answer completes what it tells.
        notice.partCount = i < changes.size() ? 0 : static_cast<std::uint32_t>(contents.partCount());
        m_exchange.announceCache(notice);
    } while (i < changes.size());
}

void CacheFollower::onNotice(const CacheNotice& notice)
{
    for (const auto& contents : m_state.cacheStores()) {
        if (toString(contents->store().address) != notice.store || isAsking(notice.store))
            continue;
        if (notice.clockMs != 0)
            m_state.runnerClock().set(notice.clockMs, bootTime());
        std::vector<CacheChange> changes;
        for (const auto& entry : notice.entries)
            changes.push_back({ entry.isStored, { entry.scope, entry.part }, entry.partId, entry.tokens });
        // A store that has started since has lost all that it had, and of one that was not known before nothing is assumed.
        if (!contents->isKnown() || contents->epoch() != notice.epoch)
            contents->replaceAll({}, notice.epoch, std::chrono::steady_clock::now());
        // A notice that was lost hides new parts, which are only fetched later, and freed ones, which nobody wants any more.
        contents->apply(changes, notice.epoch);
        contents->confirm(bootTime() - std::chrono::milliseconds(notice.ageMs));
        const auto missing = static_cast<double>(notice.partCount) - static_cast<double>(contents->partCount());
        if (missing > fewMissingParts + missingShare * notice.partCount)
            m_incomplete.insert(contents.get());
    }
}

asio::awaitable<void> CacheFollower::freeObsolete(std::shared_ptr<CacheContents> contents)
{
    const auto parts = contents->obsoleteParts([this](const CacheScope& scope) { return m_state.isObsolete(scope); }, mostFreed);
    if (parts.empty())
        co_return;
    const auto freed = co_await platform::freeParts(m_client, contents->store().address, parts, contents->epoch());
    logEvent(LogLevel::Info, "parts_freed", { { "store", toString(contents->store().address) }, { "parts", parts.size() }, { "done", freed ? "yes" : freed.error().message } });
    if (!freed)
        co_return;
    for (const auto& part : parts)
        contents->forget(part);
}

}
