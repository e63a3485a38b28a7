#include "chiveshelf/keyvalue/HttpPlatform.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace chiveshelf {

namespace asio = boost::asio;
using http::Status;
using http::Verb;

namespace {

    Revision parseRevision(const http::Response& response)
    {
        const auto text = http::header(response, "X-Revision");
        Revision revision = 0;
        std::from_chars(text.data(), text.data() + text.size(), revision);
        return revision;
    }

    // Maps an error status to an error. A request with a 4xx response was not executed; after a 5xx response it may have been.
    tl::unexpected<Error> statusError(const http::Response& response)
    {
        const auto status = response.result();
        const auto message = "platform responded with status " + std::to_string(response.result_int());
        if (status == Status::conflict)
            return failure(ErrorCode::Conflict, message, Verdict::NotRun);
        if (status == Status::too_many_requests)
            return failure(ErrorCode::RateLimited, message, Verdict::NotRun);
        if (status == Status::not_found)
            return failure(ErrorCode::NotFound, message, Verdict::NotRun);
        if (response.result_int() < 500)
            return failure(ErrorCode::InvalidRequest, message, Verdict::NotRun);
        return failure(ErrorCode::Unavailable, message, Verdict::MayHaveRun);
    }

    std::string leasePath(LeaseId lease)
    {
        return "/leases/" + std::to_string(lease);
    }

    Result<ListedHost> parseHost(const nlohmann::json& row)
    {
        const auto address = parseAddress(row.value("address", ""));
        if (!address)
            return tl::unexpected(address.error());
        ListedHost host { row.value("name", ""), *address, row.value("data_centre", ""), row.value("leaving", false) };
        const auto adminAddress = parseAddress(row.value("admin_address", ""));
        if (adminAddress)
            host.adminAddress = *adminAddress;
        return host;
    }

}

HttpPlatform::HttpPlatform(http::Client& client, Address address, http::CallLimits limits)
    : m_client(client)
    , m_address(std::move(address))
    , m_limits(limits)
{
}

asio::awaitable<Result<http::Response>> HttpPlatform::call(http::Request request, http::CallLimits limits)
{
    ++m_callCount;
    auto response = co_await m_client.send(m_address, std::move(request), limits);
    if (response && response->result_int() >= 300)
        co_return statusError(*response);
    co_return response;
}

asio::awaitable<Result<KeyValueEntry>> HttpPlatform::readEntry(std::string target, http::CallLimits limits)
{
    auto response = co_await call(http::makeRequest(Verb::get, target), limits);
    if (!response && response.error().code == ErrorCode::NotFound)
        co_return KeyValueEntry {};
    if (!response)
        co_return tl::unexpected(response.error());
    co_return KeyValueEntry { std::move(response->body()), parseRevision(*response) };
}

asio::awaitable<Result<KeyValueEntry>> HttpPlatform::get(std::string key)
{
    return readEntry("/kv/" + http::percentEncode(key), m_limits);
}

asio::awaitable<Result<KeyValueEntry>> HttpPlatform::watch(std::string key, Revision after, std::chrono::milliseconds wait)
{
    auto limits = m_limits;
    limits.progress += wait;
    return readEntry("/kv/" + http::percentEncode(key) + "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count()),
        limits);
}

asio::awaitable<Result<Revision>> HttpPlatform::compareAndSwap(std::string key, Revision expected, std::string value,
    std::optional<LeaseId> lease)
{
    auto target = "/kv/" + http::percentEncode(key) + "?expect=" + std::to_string(expected);
    if (lease)
        target += "&lease=" + std::to_string(*lease);
    auto response = co_await call(http::makeRequest(Verb::put, target, std::move(value)), m_limits);
    if (!response)
        co_return tl::unexpected(response.error());
    co_return parseRevision(*response);
}

asio::awaitable<Result<LeaseId>> HttpPlatform::grantLease(std::chrono::milliseconds timeToLive)
{
    const nlohmann::json body { { "ttl_ms", timeToLive.count() } };
    auto response = co_await call(http::makeRequest(Verb::post, "/leases", body.dump()), m_limits);
    if (!response)
        co_return tl::unexpected(response.error());
    const auto parsed = nlohmann::json::parse(response->body(), nullptr, false);
    if (!parsed.is_object() || !parsed.contains("id"))
        co_return failure(ErrorCode::Internal, "platform response has no lease id", Verdict::MayHaveRun);
    co_return parsed["id"].get<LeaseId>();
}

asio::awaitable<Result<void>> HttpPlatform::keepAlive(LeaseId lease)
{
    auto response = co_await call(http::makeRequest(Verb::post, leasePath(lease) + "/keepalive"), m_limits);
    if (!response)
        co_return tl::unexpected(response.error());
    co_return Result<void> {};
}

asio::awaitable<Result<void>> HttpPlatform::revoke(LeaseId lease)
{
    auto response = co_await call(http::makeRequest(Verb::delete_, leasePath(lease)), m_limits);
    if (!response)
        co_return tl::unexpected(response.error());
    co_return Result<void> {};
}

asio::awaitable<Result<std::vector<ListedHost>>> HttpPlatform::list()
{
    auto response = co_await call(http::makeRequest(Verb::get, "/hosts"), m_limits);
    if (!response)
        co_return tl::unexpected(response.error());
    const auto parsed = nlohmann::json::parse(response->body(), nullptr, false);
    if (!parsed.is_array())
        co_return failure(ErrorCode::Internal, "platform response is not a host list", Verdict::Ran);
    std::vector<ListedHost> hosts;
    for (const auto& row : parsed) {
        auto host = parseHost(row);
        if (host)
            hosts.push_back(std::move(*host));
    }
    co_return hosts;
}

}
