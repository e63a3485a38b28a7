#include "fakes/FakeKeyValue.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>

namespace fakes {

namespace asio = boost::asio;
namespace http = chiveshelf::http;
using http::Status;
using http::Verb;

namespace {

    constexpr auto pollInterval = std::chrono::milliseconds(5);
    constexpr std::size_t maximumValueBytes = 1024 * 1024;
    constexpr double defaultWritesPerSecond = 500;
    constexpr double defaultReadsPerSecond = 2'000;

    http::Response withRevision(Status status, std::string body, std::uint64_t revision)
    {
        auto response = http::makeResponse(status, std::move(body));
        response.set("X-Revision", std::to_string(revision));
        return response;
    }

    std::string callKind(const http::Request& request, const http::Target& target)
    {
        if (target.path == "/hosts")
            return "host_lists";
        if (target.path.ends_with("/keepalive"))
            return "keepalives";
        if (target.path.starts_with("/leases"))
            return "leases";
        if (request.method() == Verb::put)
            return "writes";
        return target.query.contains("wait_ms") ? "watches" : "reads";
    }

}

bool FakeKeyValue::RateLimit::tryAcquire()
{
    const auto now = Clock::now();
    tokens = std::min(perSecond, tokens + perSecond * std::chrono::duration<double>(now - refilledAt).count());
    refilledAt = now;
    if (tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

FakeKeyValue::FakeKeyValue(asio::io_context& context)
    : m_context(context)
    , m_writeLimit { defaultWritesPerSecond, defaultWritesPerSecond, Clock::now() }
    , m_readLimit { defaultReadsPerSecond, defaultReadsPerSecond, Clock::now() }
{
}

chiveshelf::Result<void> FakeKeyValue::start(const chiveshelf::Address& address)
{
    auto& listener = *m_listeners.emplace_back(std::make_unique<Listener>());
    listener.server = std::make_unique<http::Server>(m_context, http::ServerLimits {},
        [this, &listener](http::Exchange& exchange) { return handle(listener, exchange); });
    return listener.server->start(address);
}

void FakeKeyValue::setHosts(nlohmann::json hosts)
{
    m_hostLists.push_back({ Clock::now(), std::move(hosts) });
}

asio::awaitable<void> FakeKeyValue::handle(Listener& listener, http::Exchange& exchange)
{
    const auto text = exchange.request().target();
    const auto target = http::parseTarget({ text.data(), text.size() });
    auto response = handleControl(listener, exchange.request(), target);
    if (!response) {
        ++m_callCounts[callKind(exchange.request(), target)];
        response = co_await handleCall(listener, exchange, target);
    }
    if (response)
        co_await exchange.respond(std::move(*response));
    else
        exchange.abort();
}

FakeKeyValue::MaybeResponse FakeKeyValue::handleControl(Listener& listener, const http::Request& request, const http::Target& target)
{
    constexpr std::string_view keyPath = "/control/kv/";
    if (target.path == "/control/hosts")
        setHosts(nlohmann::json::parse(request.body(), nullptr, false));
    else if (target.path == "/control/faults")
        setFaults(listener, request.body());
    else if (target.path.starts_with(keyPath))
        put(m_entries[target.path.substr(keyPath.size())], request.body(), 0);
    else if (target.path != "/control/stats")
        return std::nullopt;
    nlohmann::json stats { { "calls", 0 } };
    for (const auto& [kind, count] : m_callCounts) {
        stats[kind] = count;
        stats["calls"] = stats["calls"].get<std::uint64_t>() + count;
    }
    return http::makeResponse(Status::ok, stats.dump());
}

void FakeKeyValue::setFaults(Listener& listener, const std::string& body)
{
    listener.faults = nlohmann::json::parse(body, nullptr, false);
    if (!listener.faults.is_object())
        listener.faults = nlohmann::json::object();
    m_writeLimit.perSecond = listener.faults.value("writes_per_second", defaultWritesPerSecond);
    m_readLimit.perSecond = listener.faults.value("reads_per_second", defaultReadsPerSecond);
}

asio::awaitable<void> FakeKeyValue::sleepFor(std::chrono::milliseconds duration)
{
    boost::system::error_code ec;
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

// Returns the response of the mode `unavailable`, else nothing. Waits in the mode `silent`, and aborts the exchange in `close`.
asio::awaitable<FakeKeyValue::MaybeResponse> FakeKeyValue::applyFaults(Listener& listener, http::Exchange& exchange)
{
    while (listener.mode() == "silent" && !exchange.peerHasClosed())
        co_await sleepFor(pollInterval);
    if (listener.mode() == "unavailable")
        co_return http::makeResponse(Status::service_unavailable, "{}");
    if (listener.mode() != "none")
        exchange.abort();
    co_return std::nullopt;
}

asio::awaitable<FakeKeyValue::MaybeResponse> FakeKeyValue::handleCall(Listener& listener, http::Exchange& exchange, http::Target target)
{
    const auto delay = std::chrono::milliseconds(listener.faults.value("delay_ms", 0));
    if (delay.count() > 0)
        co_await sleepFor(delay);
    auto outageResponse = co_await applyFaults(listener, exchange);
    if (outageResponse || exchange.peerHasClosed())
        co_return outageResponse;
    expireLeases();
    const auto& request = exchange.request();
    const bool isRead = request.method() == Verb::get;
    if (!(isRead ? m_readLimit : m_writeLimit).tryAcquire())
        co_return http::makeResponse(Status::too_many_requests, "{}");
    if (target.path == "/hosts" && isRead)
        co_return hosts(listener);
    if (target.path == "/leases" && request.method() == Verb::post)
        co_return grantLease(request.body());
    if (target.path.starts_with("/leases/"))
        co_return handleLease(request, target.path);
    if (!target.path.starts_with("/kv/"))
        co_return http::makeResponse(Status::not_found, "{}");
    const auto key = target.path.substr(4);
    if (isRead)
        co_return co_await read(listener, exchange, key, target);
    auto response = write(key, target, request.body());
    const auto repliesToLose = listener.faults.value("lose_replies", 0);
    if (response.result() != Status::ok || repliesToLose == 0)
        co_return response;
    listener.faults["lose_replies"] = repliesToLose - 1;
    co_return std::nullopt;
}

asio::awaitable<FakeKeyValue::MaybeResponse> FakeKeyValue::read(Listener& listener, http::Exchange& exchange, std::string key,
    const http::Target& target)
{
    const auto after = static_cast<std::uint64_t>(target.number("after", 0));
    const auto deadline = Clock::now() + std::chrono::milliseconds(target.number("wait_ms", 0));
    const auto hasChanged = [&] {
        const auto& entry = m_entries[key];
        return entry.revision > after || (entry.revision == 0 && after > 0 && entry.deletionRevision > after);
    };
    while (!hasChanged() && Clock::now() < deadline && listener.mode() == "none" && !exchange.peerHasClosed()) {
        co_await sleepFor(pollInterval);
        expireLeases();
    }
    auto outageResponse = co_await applyFaults(listener, exchange);
    if (outageResponse || exchange.peerHasClosed())
        co_return outageResponse;
    const auto& entry = m_entries[key];
    if (entry.revision == 0)
        co_return http::makeResponse(Status::not_found, "{}");
    co_return withRevision(Status::ok, entry.value, entry.revision);
}

http::Response FakeKeyValue::write(const std::string& key, const http::Target& target, const std::string& value)
{
    if (value.size() > maximumValueBytes)
        return http::makeResponse(Status::payload_too_large, "{}");
    const auto leaseId = static_cast<std::uint64_t>(target.number("lease", 0));
    if (leaseId != 0 && !m_leases.contains(leaseId))
        return http::makeResponse(Status::not_found, "{}");
    auto& entry = m_entries[key];
    if (target.number("expect", -1) != static_cast<std::int64_t>(entry.revision))
        return withRevision(Status::conflict, "{}", entry.revision);
    put(entry, value, leaseId);
    return withRevision(Status::ok, "{}", entry.revision);
}

void FakeKeyValue::put(Entry& entry, const std::string& value, std::uint64_t leaseId)
{
    entry.value = value;
    entry.revision = ++m_revision;
    entry.leaseId = leaseId;
}

http::Response FakeKeyValue::grantLease(const std::string& body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    const auto timeToLive = std::chrono::milliseconds(parsed.is_object() ? parsed.value("ttl_ms", 0) : 0);
    if (timeToLive.count() <= 0)
        return http::makeResponse(Status::bad_request, "{}");
    const auto id = m_nextLeaseId++;
    m_leases[id] = { timeToLive, Clock::now() + timeToLive };
    return http::makeResponse(Status::ok, nlohmann::json { { "id", id } }.dump());
}

http::Response FakeKeyValue::handleLease(const http::Request& request, const std::string& path)
{
    constexpr std::string_view leasesPath = "/leases/";
    const auto id = std::strtoull(path.c_str() + leasesPath.size(), nullptr, 10);
    const auto it = m_leases.find(id);
    if (it == m_leases.end())
        return http::makeResponse(Status::not_found, "{}");
    if (request.method() == Verb::delete_)
        removeLease(id);
    else
        it->second.expiresAt = Clock::now() + it->second.timeToLive;
    return http::makeResponse(Status::ok, "{}");
}

void FakeKeyValue::removeLease(std::uint64_t id)
{
    m_leases.erase(id);
    for (auto& [key, entry] : m_entries) {
        if (entry.revision != 0 && entry.leaseId == id)
            entry = { {}, 0, ++m_revision, 0 };
    }
}

void FakeKeyValue::expireLeases()
{
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : m_leases) {
        if (lease.expiresAt <= Clock::now())
            expired.push_back(id);
    }
    for (const auto id : expired)
        removeLease(id);
}

http::Response FakeKeyValue::hosts(const Listener& listener) const
{
    const auto newest = Clock::now() - std::chrono::milliseconds(listener.faults.value("host_list_lag_ms", 0));
    auto list = nlohmann::json::array();
    for (const auto& version : m_hostLists) {
        if (version.time <= newest)
            list = version.hosts;
    }
    return http::makeResponse(Status::ok, list.dump());
}

}
