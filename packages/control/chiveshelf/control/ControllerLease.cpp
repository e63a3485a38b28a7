#include "chiveshelf/control/ControllerLease.h"

#include "chiveshelf/core/Hash.h"

#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    constexpr auto timeToLive = std::chrono::milliseconds(5'000);
    constexpr auto renewInterval = timeToLive / 3;
    // The holder stops using the lease this long before the platform can let it expire. Covers the difference of clock rates and
    // the time from the check of the lease to the arrival of a command.
    constexpr auto safetyMargin = std::chrono::milliseconds(1'000);

}

ControllerLease::ControllerLease(HttpPlatform& platform, std::string pool, std::string dataCentre, std::string host)
    : m_platform(platform)
    , m_leaseKey("chiveshelf/control/" + dataCentre + "/" + pool + "/lease")
    , m_recordKey("chiveshelf/control/" + dataCentre + "/" + pool + "/record")
    , m_host(std::move(host))
{
}

std::string ControllerLease::makeValue(std::string_view state) const
{
    // A unique id lets write() recognise its own value when it reads the key back after a lost reply.
    const nlohmann::json value { { "host", m_host }, { "state", state }, { "write_id", makeUniqueId() } };
    return value.dump();
}

asio::awaitable<Result<Revision>> ControllerLease::write(std::string key, Revision expected, std::string value, std::optional<LeaseId> lease)
{
    auto written = co_await m_platform.compareAndSwap(key, expected, value, lease);
    if (written || written.error().verdict == Verdict::NotRun)
        co_return written;
    const auto entry = co_await m_platform.get(key);
    if (entry && entry->value == value)
        co_return entry->revision;
    co_return written;
}

asio::awaitable<Result<void>> ControllerLease::acquire()
{
    const auto existing = co_await m_platform.get(m_leaseKey);
    if (!existing)
        co_return tl::unexpected(existing.error());
    if (existing->revision != 0)
        co_return failure(ErrorCode::Conflict, "another host holds the controller lease of the pool", Verdict::NotRun);
    m_recordRevision = 0;
    // Measure from before the call, since the platform may grant the lease at any time after it.
    const auto calledAt = Clock::now();
    const auto lease = co_await m_platform.grantLease(timeToLive);
    if (!lease)
        co_return tl::unexpected(lease.error());
    const auto token = co_await write(m_leaseKey, 0, makeValue("held"), *lease);
    if (!token) {
        // The result is ignored: the lease expires by itself.
        co_await m_platform.revoke(*lease);
        co_return tl::unexpected(token.error());
    }
    m_lease = *lease;
    m_fencingToken = *token;
    m_validUntil = calledAt + timeToLive - safetyMargin;
    m_renewAt = calledAt + renewInterval;
    const auto recorded = co_await claimRecord();
    if (!recorded)
        co_await release();
    co_return recorded;
}

asio::awaitable<Result<void>> ControllerLease::claimRecord()
{
    const auto previous = co_await m_platform.get(m_recordKey);
    if (!previous)
        co_return tl::unexpected(previous.error());
    const auto parsed = nlohmann::json::parse(previous->value, nullptr, false);
    m_mustWait = previous->revision != 0 && !(parsed.is_object() && parsed.value("state", "") == "released");
    const auto written = co_await write(m_recordKey, previous->revision, makeValue("held"), std::nullopt);
    if (!written)
        co_return tl::unexpected(written.error());
    m_recordRevision = *written;
    co_return Result<void> {};
}

asio::awaitable<void> ControllerLease::renew()
{
    const auto calledAt = Clock::now();
    if (!m_lease || calledAt < m_renewAt)
        co_return;
    m_renewAt = calledAt + renewInterval / 4;
    const auto renewed = co_await m_platform.keepAlive(*m_lease);
    if (renewed && m_lease) {
        m_validUntil = calledAt + timeToLive - safetyMargin;
        m_renewAt = calledAt + renewInterval;
    }
    // The lease has expired on the platform.
    if (!renewed && renewed.error().code == ErrorCode::NotFound)
        m_lease.reset();
}

asio::awaitable<void> ControllerLease::release()
{
    if (!m_lease)
        co_return;
    const auto lease = *m_lease;
    m_lease.reset();
    if (m_recordRevision != 0) {
        const auto value = makeValue("released");
        const auto expected = std::exchange(m_recordRevision, 0);
        co_await write(m_recordKey, expected, value, std::nullopt);
    }
    co_await m_platform.revoke(lease);
}

}
