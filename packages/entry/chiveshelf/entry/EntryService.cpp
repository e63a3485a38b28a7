#include "chiveshelf/entry/EntryService.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/entry/AnswerWriter.h"
#include "chiveshelf/entry/CompletionTask.h"
#include "chiveshelf/entry/Refusal.h"
#include "chiveshelf/entry/ServiceCall.h"

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view completionsPath = "/v1/completions";
    constexpr std::string_view chatPath = "/v1/chat/completions";

}

EntryService::EntryService(asio::io_context& context, http::ServerLimits limits, EntryPorts ports, std::string dataCentre)
    : m_ports(ports)
    , m_dataCentre(std::move(dataCentre))
    , m_server(context, limits, [this](http::Exchange& exchange) { return handle(exchange); })
{
}

Result<void> EntryService::start(const Address& address)
{
    return m_server.start(address);
}

void EntryService::drain()
{
    m_server.stopAccepting();
}

asio::awaitable<void> EntryService::handle(http::Exchange& exchange)
{
    ++m_counters.requests;
    const auto headers = parseHeaders(exchange.request());
    if (!headers) {
        CallerHeaders unknown;
        unknown.requestId = makeUniqueId();
        co_await refuse(exchange, headers.error(), unknown);
        co_return;
    }
    const auto target = exchange.request().target();
    const auto path = http::parseTarget({ target.data(), target.size() }).path;
    const bool isCompletion = path == completionsPath || path == chatPath;
    if (isCompletion && exchange.request().method() == http::Verb::post)
        co_await complete(exchange, *headers, path == chatPath);
    else
        co_await forward(exchange, *headers, path);
}

asio::awaitable<void> EntryService::complete(http::Exchange& exchange, CallerHeaders headers, bool isChat)
{
    auto call = parseCompletion(exchange.request().body(), isChat);
    if (!call) {
        co_await refuse(exchange, call.error(), headers);
        co_return;
    }
    const auto tables = m_ports.tables.snapshot();
    const auto* route = tables->findModelRoute(headers.organisation, call->model);
    const auto* pool = route ? tables->findPool(route->pool) : nullptr;
    if (!pool) {
        const Error error { ErrorCode::NotFound, "no route for model '" + call->model + "'", Verdict::NotRun, std::nullopt };
        co_await refuse(exchange, error, headers);
        co_return;
    }
    AnswerWriter writer(exchange, headers, *call);
    CompletionTask task({ m_ports.tables, m_ports.dispatch, m_ports.quarantine, m_ports.runners, m_ports.cache, m_dataCentre }, headers, *call, *route, *pool);
    co_await task.run(writer);
}

asio::awaitable<void> EntryService::forward(http::Exchange& exchange, CallerHeaders headers, const std::string& path)
{
    const auto tables = m_ports.tables.snapshot();
    const auto* route = tables->findPathRoute(headers.organisation, path);
    const auto* pool = route ? tables->findPool(route->pool) : nullptr;
    if (!pool) {
        const Error error { ErrorCode::NotFound, "no route for path '" + path + "'", Verdict::NotRun, std::nullopt };
        co_await refuse(exchange, error, headers);
        co_return;
    }
    ServiceCall call(m_ports.client, headers, *pool, m_dataCentre);
    auto response = co_await call.run(exchange.request());
    if (!response) {
        co_await refuse(exchange, response.error(), headers);
        co_return;
    }
    logEvent(LogLevel::Info, "service_call_finished",
        { { "request_id", headers.requestId }, { "organisation", headers.organisation }, { "pool", pool->name }, { "status", response->result_int() } });
    co_await exchange.respond(std::move(*response));
}

asio::awaitable<void> EntryService::refuse(http::Exchange& exchange, const Error& error, const CallerHeaders& headers)
{
    ++m_counters.refusals;
    logEvent(LogLevel::Info, "request_refused",
        { { "request_id", headers.requestId }, { "organisation", headers.organisation }, { "code", errorCodeName(error.code) },
            { "ran", ranName(error.verdict) }, { "message", error.message } });
    co_await exchange.respond(makeRefusal(error, headers.requestId));
}

}
