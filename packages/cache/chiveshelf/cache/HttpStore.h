#pragma once

#include "chiveshelf/cache/StorePort.h"
#include "chiveshelf/http/Client.h"

namespace chiveshelf {

// Time limits of the calls to stores. A look-up stands before each request's start, so it may cost little.
struct StoreLimits {
    http::CallLimits lookUp { std::chrono::milliseconds(50), std::chrono::milliseconds(100) };
    http::CallLimits commit { std::chrono::milliseconds(300), std::chrono::milliseconds(2'000) };
};

// Adapter to stores that speak HTTP.
class HttpStore {
public:
    HttpStore(http::Client&, StoreLimits);
    HttpStore(const HttpStore&) = delete;
    HttpStore& operator=(const HttpStore&) = delete;

    // Returns the records of whole blocks among `keys`, in no particular order. Records that lack a field are left out.
    boost::asio::awaitable<Result<StoreLookup>> lookUp(Address, std::vector<std::string> keys);

    // Confirms a block that a runner has written.
    boost::asio::awaitable<Result<void>> commit(BlockRecord);

private:
    http::Client& m_client;
    StoreLimits m_limits;
};

static_assert(StorePort<HttpStore>);

}
