#pragma once

#include "chiveshelf/http/Client.h"
#include "chiveshelf/keyvalue/KeyValueStore.h"

namespace chiveshelf {

// Client of the platform's key-value service and host list over HTTP. All calls count towards the service's rate limit;
// callCount() returns their number.
class HttpPlatform {
public:
    HttpPlatform(http::Client&, Address, http::CallLimits);
    HttpPlatform(const HttpPlatform&) = delete;
    HttpPlatform& operator=(const HttpPlatform&) = delete;

    boost::asio::awaitable<Result<KeyValueEntry>> get(std::string key);
    boost::asio::awaitable<Result<Revision>> compareAndSwap(std::string key, Revision expected, std::string value,
        std::optional<LeaseId> lease);
    boost::asio::awaitable<Result<KeyValueEntry>> watch(std::string key, Revision after, std::chrono::milliseconds wait);
    boost::asio::awaitable<Result<LeaseId>> grantLease(std::chrono::milliseconds timeToLive);
    boost::asio::awaitable<Result<void>> keepAlive(LeaseId);
    boost::asio::awaitable<Result<void>> revoke(LeaseId);
    boost::asio::awaitable<Result<std::vector<ListedHost>>> list();

    std::uint64_t callCount() const { return m_callCount; }

private:
    boost::asio::awaitable<Result<http::Response>> call(http::Request, http::CallLimits);
    boost::asio::awaitable<Result<KeyValueEntry>> readEntry(std::string target, http::CallLimits);

    http::Client& m_client;
    Address m_address;
    http::CallLimits m_limits;
    std::uint64_t m_callCount = 0;
};

static_assert(KeyValueStore<HttpPlatform>);
static_assert(HostList<HttpPlatform>);

}
