#include "fakes/FaultProxy.h"

namespace fakes {

namespace http = chiveshelf::http;
using chiveshelf::Result;

namespace {

    constexpr std::string_view linksPrefix = "/links";

}

FaultProxy::FaultProxy(boost::asio::io_context& context)
    : m_context(context)
    , m_server(context, {}, [this](http::Exchange& exchange) { return handle(exchange); })
{
}

Result<void> FaultProxy::start(const chiveshelf::Address& address)
{
    return m_server.start(address);
}

Result<void> FaultProxy::configureLink(const std::string& name, const nlohmann::json& body)
{
    auto& link = m_links[name];
    if (!link) {
        const auto listen = chiveshelf::parseAddress(body.value("listen", ""));
        const auto target = chiveshelf::parseAddress(body.value("target", ""));
        if (!listen || !target) {
            m_links.erase(name);
            return chiveshelf::failure(chiveshelf::ErrorCode::InvalidRequest, "a new link needs listen and target", chiveshelf::Verdict::NotRun);
        }
        link = std::make_shared<FaultLink>(m_context, *listen, *target);
        const auto started = link->start();
        if (!started)
            return started;
    }
    return link->apply(body);
}

boost::asio::awaitable<void> FaultProxy::handle(http::Exchange& exchange)
{
    const auto text = exchange.request().target();
    const auto path = http::parseTarget({ text.data(), text.size() }).path;
    if (exchange.request().method() == http::Verb::get) {
        auto body = nlohmann::json::object();
        for (const auto& [name, link] : m_links)
            body[name] = link->state();
        co_await exchange.respond(http::makeResponse(http::Status::ok, body.dump()));
        co_return;
    }
    const auto body = nlohmann::json::parse(exchange.request().body(), nullptr, false);
    Result<void> result;
    if (!body.is_object() || !path.starts_with(linksPrefix)) {
        result = chiveshelf::failure(chiveshelf::ErrorCode::InvalidRequest, "expected PUT /links/NAME with an object", chiveshelf::Verdict::NotRun);
    } else if (path.size() > linksPrefix.size() + 1) {
        result = configureLink(path.substr(linksPrefix.size() + 1), body);
    } else {
        for (const auto& [name, link] : m_links) {
            if (result)
                result = link->apply(body);
        }
    }
    const auto message = result ? std::string() : result.error().message;
    co_await exchange.respond(http::makeResponse(result ? http::Status::ok : http::Status::bad_request, message, "text/plain"));
}

}
