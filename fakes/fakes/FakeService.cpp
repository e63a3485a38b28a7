#include "fakes/FakeService.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace fakes {

namespace http = chiveshelf::http;

FakeService::FakeService(boost::asio::io_context& context)
    : m_context(context)
    , m_server(context, {}, [this](http::Exchange& exchange) { return handle(exchange); })
{
}

chiveshelf::Result<void> FakeService::start(const chiveshelf::Address& address)
{
    return m_server.start(address);
}

boost::asio::awaitable<void> FakeService::handle(http::Exchange& exchange)
{
    const auto& request = exchange.request();
    if (request.target() == "/control/runs") {
        co_await exchange.respond(http::makeResponse(http::Status::ok, nlohmann::json(m_runs).dump()));
        co_return;
    }
    const auto operation = http::header(request, "X-Operation");
    const auto runs = ++m_runs[operation];
    const auto delay = http::header(request, "X-Delay-Ms");
    if (!delay.empty()) {
        boost::system::error_code ec;
        boost::asio::steady_timer timer(m_context, std::chrono::milliseconds(std::atoi(delay.c_str())));
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    const nlohmann::json body { { "operation", operation }, { "runs", runs }, { "method", std::string(request.method_string()) },
        { "target", std::string(request.target()) }, { "body", request.body() } };
    co_await exchange.respond(http::makeResponse(http::Status::ok, body.dump()));
}

}
