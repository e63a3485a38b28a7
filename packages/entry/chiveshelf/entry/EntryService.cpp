#include "chiveshelf/entry/EntryService.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/entry/CompletionTask.h"
#include "chiveshelf/entry/Refusal.h"
#include "chiveshelf/entry/ResponseWriter.h"
#include "chiveshelf/entry/ServiceCall.h"

#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view completionsPath = "/v1/completions";
    constexpr std::string_view chatPath = "/v1/chat/completions";

    using Json = nlohmann::json;

    RecordedOutcome toRecord(const CompletionResult& result)
    {
        const Json body { { "text", result.text }, { "finish_reason", result.finishReason }, { "prompt_tokens", result.usage.promptTokens },
            { "cached_tokens", result.usage.cachedTokens }, { "imported_tokens", result.usage.importedTokens },
            { "completion_tokens", result.usage.completionTokens } };
        return { 200, "application/json", body.dump(-1, ' ', false, Json::error_handler_t::replace), true };
    }

    CompletionResult fromRecord(const RecordedOutcome& record)
    {
        const auto body = Json::parse(record.body, nullptr, false);
        if (!body.is_object())
            return {};
        CompletionResult result;
        result.text = body.value("text", "");
        result.finishReason = body.value("finish_reason", "");
        result.usage.promptTokens = body.value("prompt_tokens", std::int64_t { 0 });
        result.usage.cachedTokens = body.value("cached_tokens", std::int64_t { 0 });
        result.usage.importedTokens = body.value("imported_tokens", std::int64_t { 0 });
        result.usage.completionTokens = body.value("completion_tokens", std::int64_t { 0 });
        return result;
    }

    std::string fingerprintOf(const http::Request& request)
    {
        return toHex(hash128(std::string(request.method_string()) + " " + std::string(request.target()) + "\n" + request.body()));
    }

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
    std::unique_ptr<IdempotentRequest> idempotent;
    if (!co_await claimIdempotencyKey(exchange, headers, idempotent, &*call))
        co_return;
    ResponseWriter writer(exchange, headers, *call);
    if (idempotent) {
        writer.setRecorder([&idempotent](Result<CompletionResult> outcome) -> asio::awaitable<void> {
            if (outcome)
                return idempotent->finish(toRecord(*outcome));
            return idempotent->fail(outcome.error().verdict);
        });
    }
    CompletionTask task({ m_ports.tables, m_ports.dispatch, m_ports.quarantine, m_ports.runners, m_ports.cache, m_dataCentre }, headers, *call, *route, *pool);
    co_await task.run(writer);
    // Takes effect only if nothing was recorded, which means that the caller disconnected before the response ended.
    if (idempotent)
        co_await idempotent->fail(Verdict::MayHaveRun);
}

asio::awaitable<bool> EntryService::claimIdempotencyKey(http::Exchange& exchange, const CallerHeaders& headers,
    std::unique_ptr<IdempotentRequest>& request, const CompletionCall* completion)
{
    if (headers.idempotencyKey.empty())
        co_return true;
    request = std::make_unique<IdempotentRequest>(m_ports.idempotency, headers.organisation, headers.idempotencyKey, fingerprintOf(exchange.request()));
    const auto begun = co_await request->begin();
    if (!begun) {
        co_await refuse(exchange, begun.error(), headers);
        co_return false;
    }
    if (!begun->has_value())
        co_return true;
    ++m_counters.replays;
    logEvent(LogLevel::Info, "outcome_replayed", { { "request_id", headers.requestId }, { "organisation", headers.organisation } });
    const auto& outcome = **begun;
    if (completion) {
        const auto result = fromRecord(outcome);
        ResponseWriter writer(exchange, headers, *completion);
        if (co_await writer.writeToken(result.text))
            co_await writer.finish(result.finishReason, result.usage);
        co_return false;
    }
    auto response = http::makeResponse(static_cast<http::Status>(outcome.status), outcome.body, outcome.contentType);
    response.set("X-Request-Id", headers.requestId);
    response.set("Idempotency-Replayed", "true");
    co_await exchange.respond(std::move(response));
    co_return false;
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
    std::unique_ptr<IdempotentRequest> idempotent;
    if (!co_await claimIdempotencyKey(exchange, headers, idempotent, nullptr))
        co_return;
    ServiceCall call(m_ports.client, headers, *pool, m_dataCentre);
    auto response = co_await call.run(exchange.request());
    if (!response) {
        if (idempotent)
            co_await idempotent->fail(response.error().verdict);
        co_await refuse(exchange, response.error(), headers);
        co_return;
    }
    if (idempotent) {
        RecordedOutcome outcome { response->result_int(), http::header(*response, "Content-Type"), response->body(), true };
        co_await idempotent->finish(std::move(outcome));
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
