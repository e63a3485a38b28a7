#include "fakes/FakeRunner.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/http/SseParser.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace fakes {

namespace asio = boost::asio;
namespace http = chiveshelf::http;
using http::Status;
using http::Verb;
using nlohmann::json;

namespace {

    constexpr std::size_t bytesPerToken = 4;
    constexpr auto sendPollInterval = std::chrono::milliseconds(2);
    constexpr std::string_view streamsPrefix = "/v1/streams/";

    asio::awaitable<void> sleepFor(asio::io_context& context, std::chrono::microseconds time)
    {
        asio::steady_timer timer(context, time);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    http::Response errorResponse(Status status, const std::string& code)
    {
        return http::makeResponse(status, json { { "error", { { "code", code } } } }.dump());
    }

}

std::string answerToken(const std::string& prompt, std::int64_t index)
{
    return "t" + std::to_string(chiveshelf::hash64(prompt, static_cast<std::uint64_t>(index)) % 10'000) + " ";
}

FakeRunner::FakeRunner(asio::io_context& context, RunnerModel model)
    : m_context(context)
    , m_model(std::move(model))
    , m_server(context, {}, [this](http::Exchange& exchange) { return handle(exchange); })
{
}

chiveshelf::Result<void> FakeRunner::start(const chiveshelf::Address& address)
{
    return m_server.start(address);
}

asio::awaitable<void> FakeRunner::handle(http::Exchange& exchange)
{
    const auto text = exchange.request().target();
    const auto target = http::parseTarget({ text.data(), text.size() });
    const auto method = exchange.request().method();
    if (target.path == "/v1/completions" && method == Verb::post) {
        co_await complete(exchange);
        co_return;
    }
    if (target.path.starts_with(streamsPrefix)) {
        const auto id = target.path.substr(streamsPrefix.size());
        const auto it = m_sequences.find(id);
        if (it == m_sequences.end()) {
            co_await exchange.respond(errorResponse(Status::not_found, "not_found"));
        } else if (method == Verb::delete_) {
            it->second->isCancelled = true;
            auto response = http::makeResponse(Status::ok, "{}");
            co_await exchange.respond(std::move(response));
        } else {
            co_await sendFrom(exchange, id, target.number("after", 0));
        }
        co_return;
    }
    co_await exchange.respond(errorResponse(Status::not_found, "not_found"));
}

asio::awaitable<void> FakeRunner::complete(http::Exchange& exchange)
{
    const auto body = json::parse(exchange.request().body(), nullptr, false);
    if (!body.is_object()) {
        co_await exchange.respond(errorResponse(Status::bad_request, "invalid_request"));
        co_return;
    }
    const auto expected = body.value("expected_version", "");
    if (!expected.empty() && expected != m_model.version) {
        co_await exchange.respond(errorResponse(Status::conflict, "wrong_version"));
        co_return;
    }
    auto sequence = std::make_shared<Sequence>();
    sequence->prompt = body.value("prompt", "");
    sequence->promptTokens = static_cast<std::int64_t>((sequence->prompt.size() + bytesPerToken - 1) / bytesPerToken);
    sequence->maxTokens = body.value("max_tokens", std::int64_t { 16 });
    sequence->produced = body.value("resume_from", std::int64_t { 0 });
    const auto offset = sequence->produced;
    const auto id = body.value("request_id", "");
    m_sequences[id] = sequence;
    asio::co_spawn(m_context, generate(id), asio::detached);
    co_await sendFrom(exchange, id, offset);
}

asio::awaitable<void> FakeRunner::generate(std::string id)
{
    const auto sequence = m_sequences[id];
    co_await sleepFor(m_context, m_model.prefillPerToken * sequence->promptTokens);
    while (sequence->produced < sequence->maxTokens && !sequence->isCancelled) {
        co_await sleepFor(m_context, m_model.perToken);
        ++sequence->produced;
    }
}

asio::awaitable<void> FakeRunner::sendFrom(http::Exchange& exchange, std::string id, std::int64_t offset)
{
    const auto sequence = m_sequences[id];
    std::vector<std::pair<std::string, std::string>> headers;
    auto started = co_await exchange.startStream(Status::ok, "text/event-stream", std::move(headers));
    while (started && offset < sequence->maxTokens && !sequence->isCancelled) {
        if (offset >= sequence->produced) {
            co_await sleepFor(m_context, sendPollInterval);
            continue;
        }
        const json chunk { { "id", id }, { "index", offset },
            { "choices", { { { "index", 0 }, { "text", answerToken(sequence->prompt, offset) }, { "finish_reason", nullptr } } } } };
        started = co_await exchange.write(http::formatSseEvent(chunk.dump()));
        ++offset;
    }
    if (!started)
        co_return;
    const json last { { "id", id }, { "index", offset },
        { "choices", { { { "index", 0 }, { "text", "" }, { "finish_reason", sequence->isCancelled ? "cancelled" : "length" } } } },
        { "usage", { { "prompt_tokens", sequence->promptTokens }, { "cached_tokens", 0 }, { "imported_tokens", 0 }, { "completion_tokens", sequence->maxTokens } } } };
    co_await exchange.write(http::formatSseEvent(last.dump()) + http::formatSseEvent("[DONE]"));
    co_await exchange.finishStream();
}

}
