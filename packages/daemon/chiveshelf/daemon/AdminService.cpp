#include "chiveshelf/daemon/AdminService.h"

#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using http::Status;
using http::Verb;

namespace {

    constexpr http::ServerLimits adminLimits { 16 * 1024, 64 * 1024, 64 };

}

AdminService::AdminService(asio::io_context& context, AdminHooks hooks)
    : m_hooks(std::move(hooks))
    , m_server(context, adminLimits, [this](http::Exchange& exchange) { return handle(exchange); })
{
}

Result<void> AdminService::start(const Address& address)
{
    return m_server.start(address);
}

void AdminService::stop()
{
    m_server.stopAccepting();
}

asio::awaitable<void> AdminService::handle(http::Exchange& exchange)
{
    co_await exchange.respond(makeAdminResponse(exchange.request()));
}

http::Response AdminService::makeAdminResponse(const http::Request& request)
{
    const auto target = request.target();
    const auto path = http::parseTarget({ target.data(), target.size() }).path;
    const bool isGet = request.method() == Verb::get;
    if (isGet && path == "/healthz")
        return http::makeResponse(Status::ok, "ok\n", "text/plain");
    if (isGet && path == "/readyz")
        return m_hooks.isReady() ? http::makeResponse(Status::ok, "ready\n", "text/plain")
                                 : http::makeResponse(Status::service_unavailable, "not ready\n", "text/plain");
    if (isGet && path == "/state")
        return http::makeResponse(Status::ok, m_hooks.state().dump(2) + "\n");
    if (isGet && path == "/metrics")
        return http::makeResponse(Status::ok, m_hooks.metrics(), "text/plain; version=0.0.4");
    if (path == "/drain" && request.method() == Verb::post) {
        m_hooks.drain();
        return http::makeResponse(Status::accepted, "{\"draining\":true}\n");
    }
    return http::makeResponse(Status::not_found, "{\"error\":{\"code\":\"not_found\",\"message\":\"unknown path\"}}\n");
}

}
