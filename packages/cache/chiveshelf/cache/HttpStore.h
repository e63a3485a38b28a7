#pragma once

#include "chiveshelf/cache/StorePort.h"
#include "chiveshelf/http/Client.h"

namespace chiveshelf {

// Time limits of calls to stores. The limits of a look-up are short, since each request waits for it before it is queued.
struct StoreLimits {
    http::CallLimits lookUp { std::chrono::milliseconds(50), std::chrono::milliseconds(100) };
    http::CallLimits commit { std::chrono::milliseconds(300), std::chrono::milliseconds(2'000) };
};

// StorePort implementation for stores with an HTTP interface.
class HttpStore {
public:
    HttpStore(http::Client&, StoreLimits);
    HttpStore(const HttpStore&) = delete;
    HttpStore& operator=(const HttpStore&) = delete;

    // Returns the records of the complete blocks among `keys`, in no particular order. Records that lack a field are omitted.
    boost::asio::awaitable<Result<StoreLookup>> lookUp(Address, std::vector<std::string> keys);

    // Commits a block that a runner has written.
    boost::asio::awaitable<Result<void>> commit(BlockRecord);

private:
    http::Client& m_client;
    StoreLimits m_limits;
};

static_assert(StorePort<HttpStore>);

}
