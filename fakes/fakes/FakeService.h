#pragma once

#include "chiveshelf/http/Server.h"

#include <map>

namespace fakes {

// Fake of a plain service. It counts the calls of each `X-Operation` value and responds after `X-Delay-Ms`.
class FakeService {
public:
    explicit FakeService(boost::asio::io_context&);

    chiveshelf::Result<void> start(const chiveshelf::Address&);

private:
    boost::asio::awaitable<void> handle(chiveshelf::http::Exchange&);

    boost::asio::io_context& m_context;
    chiveshelf::http::Server m_server;
    std::map<std::string, int> m_runs;
};

}
