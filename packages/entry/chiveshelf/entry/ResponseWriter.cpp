#include "chiveshelf/entry/ResponseWriter.h"

#include "chiveshelf/entry/Refusal.h"
#include "chiveshelf/http/SseParser.h"

#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Json = nlohmann::ordered_json;

namespace {

    // Replaces invalid UTF-8, which JSON cannot represent: the text of a token may end inside a UTF-8 sequence.
    std::string dump(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    Json usageJson(const Usage& usage)
    {
        return {
            { "prompt_tokens", usage.promptTokens },
            { "completion_tokens", usage.completionTokens },
            { "total_tokens", usage.promptTokens + usage.completionTokens },
            { "prompt_tokens_details", { { "cached_tokens", usage.cachedTokens }, { "imported_tokens", usage.importedTokens } } },
        };
    }

}

ResponseWriter::ResponseWriter(http::Exchange& exchange, CallerHeaders headers, CompletionCall call)
    : m_exchange(exchange)
    , m_headers(std::move(headers))
    , m_call(std::move(call))
    , m_createdAt(std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
}

std::string ResponseWriter::formatEvent(const std::string& text, const std::string& finishReason, const Usage* usage) const
{
    Json choice { { "index", 0 } };
    if (m_call.isChat)
        choice["delta"] = text.empty() ? Json::object() : Json { { "content", text } };
    else
        choice["text"] = text;
    choice["finish_reason"] = finishReason.empty() ? Json() : Json(finishReason);
    Json body {
        { "id", m_headers.requestId },
        { "object", m_call.isChat ? "chat.completion.chunk" : "text_completion" },
        { "created", m_createdAt },
        { "model", m_call.model },
        { "choices", Json::array({ choice }) },
    };
    if (usage)
        body["usage"] = usageJson(*usage);
    return http::formatSseEvent(dump(body));
}

asio::awaitable<Result<void>> ResponseWriter::beginStream()
{
    m_hasBegun = true;
    return m_exchange.startStream(http::Status::ok, "text/event-stream",
        { { "X-Request-Id", m_headers.requestId }, { "Cache-Control", "no-cache" } });
}

asio::awaitable<Result<void>> ResponseWriter::writeToken(const std::string& text)
{
    if (!m_call.isStream || m_recorder)
        m_text += text;
    if (!m_call.isStream) {
        if (m_exchange.peerHasClosed())
            co_return failure(ErrorCode::Cancelled, "caller disconnected", Verdict::MayHaveRun);
        co_return Result<void> {};
    }
    if (!m_hasBegun) {
        const auto begun = co_await beginStream();
        if (!begun)
            co_return begun;
    }
    const auto data = formatEvent(text, "", nullptr);
    co_return co_await m_exchange.write(data);
}

asio::awaitable<Result<void>> ResponseWriter::finish(const std::string& finishReason, const Usage& usage)
{
    if (m_recorder) {
        CompletionResult outcome { m_text, finishReason, usage };
        co_await m_recorder(std::move(outcome));
    }
    if (m_call.isStream) {
        if (!m_hasBegun) {
            const auto begun = co_await beginStream();
            if (!begun)
                co_return begun;
        }
        const auto data = formatEvent("", finishReason, &usage) + http::formatSseEvent("[DONE]");
        const auto written = co_await m_exchange.write(data);
        if (!written)
            co_return written;
        co_return co_await m_exchange.finishStream();
    }
    Json choice { { "index", 0 } };
    if (m_call.isChat)
        choice["message"] = { { "role", "assistant" }, { "content", m_text } };
    else
        choice["text"] = m_text;
    choice["finish_reason"] = finishReason;
    const Json body {
        { "id", m_headers.requestId },
        { "object", m_call.isChat ? "chat.completion" : "text_completion" },
        { "created", m_createdAt },
        { "model", m_call.model },
        { "choices", Json::array({ choice }) },
        { "usage", usageJson(usage) },
    };
    auto response = http::makeResponse(http::Status::ok, dump(body));
    response.set("X-Request-Id", m_headers.requestId);
    co_return co_await m_exchange.respond(std::move(response));
}

asio::awaitable<void> ResponseWriter::fail(const Error& error)
{
    if (m_recorder)
        co_await m_recorder(tl::unexpected(error));
    if (!m_exchange.hasStarted()) {
        co_await m_exchange.respond(makeRefusal(error, m_headers.requestId));
        co_return;
    }
    co_await m_exchange.write(http::formatSseEvent(errorBody(error)));
    m_exchange.abort();
}

}
