#include "chiveshelf/gateway/CacheFollower.h"

#include "chiveshelf/core/Log.h"
#include "platform/CacheCalls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

}

CacheFollower::CacheFollower(asio::io_context& context, http::Client& client, ServingState& state, std::function<bool()> mayFree)
    : m_context(context)
    , m_client(client)
    , m_state(state)
    , m_mayFree(std::move(mayFree))
{
}

void CacheFollower::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
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
                asio::co_spawn(m_context, follow(contents), asio::detached);
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
    std::uint64_t position = 0;
    while (!m_isStopped && isNamed(contents)) {
        const bool isDone = contents->isKnown() ? co_await poll(contents, position) : co_await list(contents, position);
        if (isDone && m_mayFree())
            co_await freeObsolete(contents);
        co_await sleep(isDone ? gatherTime : failurePause);
    }
    contents->clear();
    m_followed.erase(contents);
}

asio::awaitable<bool> CacheFollower::list(std::shared_ptr<CacheContents> contents, std::uint64_t& position)
{
    const auto before = bootTime();
    const auto listing = co_await platform::listCache(m_client, contents->store().address);
    if (!listing)
        co_return false;
    contents->replaceAll(listing->parts, listing->epoch, std::chrono::steady_clock::now());
    contents->confirm(before);
    position = listing->position;
    logEvent(LogLevel::Info, "cache_listed", { { "store", toString(contents->store().address) }, { "parts", contents->partCount() } });
    co_return true;
}

asio::awaitable<bool> CacheFollower::poll(std::shared_ptr<CacheContents> contents, std::uint64_t& position)
{
    // The answer may have been on its way for long.
    const auto before = bootTime();
    const auto changes = co_await platform::readCacheChanges(m_client, contents->store().address, position, pollTime);
    if (!changes) {
        logEvent(LogLevel::Warning, "cache_lost", { { "store", toString(contents->store().address) }, { "error", changes.error().message } });
        contents->clear();
        co_return false;
    }
    if (changes->isIncomplete || !contents->apply(changes->changes, changes->epoch)) {
        contents->clear();
        co_return co_await list(contents, position);
    }
    contents->confirm(before);
    if (changes->clockMs)
        m_state.runnerClock().set(*changes->clockMs, bootTime());
    position = changes->position;
    co_return true;
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
