#include "chiveshelf/gateway/StoreLease.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/core/Time.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Delay after a failed attempt to acquire the key.
    constexpr std::chrono::milliseconds retryDelay { 400 };
    // Interval of checks whether the key may be acquired. A check makes no call to the store.
    constexpr std::chrono::milliseconds acquireCheckInterval { 60 };
    // Bits of the revision in a fencing token. With the era above them it stays below 2^53, up to which JSON numbers are exact
    // everywhere.
    constexpr unsigned revisionBits = 40;

}

StoreLease::StoreLease(asio::io_context& context, platform::StoreClient& store, Options options, std::function<bool()> mayAcquire)
    : m_context(context)
    , m_store(store)
    , m_options(std::move(options))
    , m_mayAcquire(std::move(mayAcquire))
{
}

void StoreLease::start()
{
    spawnLoop(m_context, "store_lease.run", [this] { return run(); });
}

asio::awaitable<void> StoreLease::stop()
{
    m_isStopped = true;
    if (m_lease.number != 0)
        co_await m_store.endLease(m_lease);
    lose("stopped");
}

bool StoreLease::isHeld(std::chrono::milliseconds margin) const
{
    return m_hasKey && m_lease.era == m_store.era() && bootTime() + margin < m_validUntil;
}

std::uint64_t StoreLease::fencingToken() const
{
    return (m_acquiredAt.era << revisionBits) | m_acquiredAt.revision;
}

bool StoreLease::mayHaveUnseenHolder() const
{
    const auto restoredAt = m_store.restoredAt();
    return restoredAt && bootTime() - *restoredAt < m_options.timeToLive;
}

std::chrono::milliseconds StoreLease::heldFor() const
{
    if (!m_hasKey)
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(bootTime() - m_heldSince);
}

asio::awaitable<void> StoreLease::sleep(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> StoreLease::run()
{
    while (!m_isStopped) {
        if (!m_hasKey) {
            const bool mayAcquire = m_mayAcquire();
            if (!mayAcquire || !co_await acquire())
                co_await sleep(mayAcquire ? retryDelay : acquireCheckInterval);
            continue;
        }
        co_await sleep(m_options.renewInterval);
        if (m_hasKey && !m_isStopped)
            co_await renew();
    }
}

asio::awaitable<bool> StoreLease::acquire()
{
    const auto before = bootTime();
    const auto lease = co_await m_store.grantLease(m_options.timeToLive);
    if (!lease)
        co_return false;
    std::vector<KeyCondition> conditions;
    if (m_options.isExclusive)
        conditions.push_back({ m_options.key, 0 });
    std::vector<KeyWrite> writes;
    writes.push_back({ m_options.key, m_options.value, *lease });
    const auto written = co_await m_store.write(std::move(conditions), std::move(writes));
    if (!written) {
        // The store may still apply the write; ending the lease then removes the key.
        co_await m_store.endLease(*lease);
        co_return false;
    }
    if (written->era != lease->era) {
        co_await undoWrite(*written);
        co_return false;
    }
    m_lease = *lease;
    m_acquiredAt = *written;
    m_validUntil = before + m_options.timeToLive;
    m_heldSince = bootTime();
    m_hasKey = true;
    logEvent(LogLevel::Info, "lease_acquired", { { "key", m_options.key }, { "era", m_acquiredAt.era }, { "revision", m_acquiredAt.revision } });
    co_return true;
}

asio::awaitable<void> StoreLease::undoWrite(StorePosition written)
{
    std::vector<KeyCondition> conditions { { m_options.key, written.revision } };
    std::vector<std::string> removals { m_options.key };
    std::vector<KeyWrite> none;
    const auto removed = co_await m_store.write(std::move(conditions), std::move(none), std::move(removals));
    logEvent(LogLevel::Warning, "lease_of_earlier_era", { { "key", m_options.key }, { "removed", removed ? "yes" : "no" } });
}

asio::awaitable<bool> StoreLease::renew()
{
    const auto before = bootTime();
    const auto renewed = co_await m_store.keepAlive(m_lease);
    if (renewed) {
        m_validUntil = before + m_options.timeToLive;
        co_return true;
    }
    if (renewed.error().code == ErrorCode::NotFound)
        lose(m_lease.era < m_store.era() ? "store restored" : "ended");
    else if (m_options.isExclusive && bootTime() > m_validUntil)
        lose("not renewed in time");
    co_return false;
}

void StoreLease::lose(std::string_view reason)
{
    if (m_hasKey)
        logEvent(LogLevel::Info, "lease_lost", { { "key", m_options.key }, { "reason", reason } });
    m_hasKey = false;
    m_lease = {};
}

}
