#include "chiveshelf/runner/HttpRunner.h"

#include <nlohmann/json.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

    // Runners do not send longer events. A stream with a longer one is treated as malformed.
    constexpr std::size_t maxEventBytes = 1024 * 1024;
    // A whole stream, of which only an incomplete event is held.
    constexpr std::uint64_t maxStreamBytes = 64ull * 1024 * 1024;
    // The body of an error is a short JSON object.
    constexpr std::size_t maxErrorBytes = 64 * 1024;
    constexpr std::uint64_t maxReportBytes = 256 * 1024;
    // A runner responds to an export after the block is written, which takes long over a slow link.
    constexpr http::CallLimits exportLimits { std::chrono::milliseconds(300), std::chrono::milliseconds(15'000), true, maxReportBytes };

    json importsJson(const CompletionRequest& request)
    {
        auto out = json::array();
        for (const auto& record : request.imports)
            out.push_back({ { "key", record.key }, { "length", record.length }, { "checksum", record.checksum },
                { "generation", record.generation }, { "store", toString(record.store) }, { "limit_ms", request.importLimit.count() } });
        return out;
    }

    // A runner responds to control requests immediately, even under load. With these limits, a controller can renew its lease in time
    // while a runner is unresponsive.
    constexpr http::CallLimits controlLimits { std::chrono::milliseconds(200), std::chrono::milliseconds(500), true, maxReportBytes };

    json toJson(const CompletionRequest& request)
    {
        return {
            { "request_id", request.requestId },
            { "organisation", request.organisation },
            { "model", request.model },
            { "prompt", request.prompt },
            { "max_tokens", request.maxTokens },
            { "priority", priorityName(request.priority) },
            { "expected_version", request.expectedVersion },
            { "adapter", request.adapter },
            { "blocks", request.blocks },
            { "import", importsJson(request) },
            { "resume_from", request.resumeFrom },
            { "stream", true },
        };
    }

    Result<TokenChunk> parseChunk(const std::string& data)
    {
        const auto body = json::parse(data, nullptr, false);
        try {
            if (body.contains("error") && body["error"].value("code", "") == "wrong_version")
                return failure(ErrorCode::WrongVersion, "weights changed while the request was queued", Verdict::NotRun);
            if (body.contains("error"))
                return failure(ErrorCode::Unavailable, body["error"].value("message", "runner error"), Verdict::MayHaveRun);
            TokenChunk chunk;
            chunk.index = body.at("index").get<std::int64_t>();
            const auto& choice = body.at("choices").at(0);
            chunk.text = choice.value("text", "");
            if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
                chunk.finishReason = choice["finish_reason"];
            if (body.contains("usage")) {
                const auto& usage = body["usage"];
                chunk.usage = Usage { usage.value("prompt_tokens", std::int64_t { 0 }), usage.value("cached_tokens", std::int64_t { 0 }),
                    usage.value("imported_tokens", std::int64_t { 0 }), usage.value("completion_tokens", std::int64_t { 0 }) };
            }
            return chunk;
        } catch (const json::exception&) {
            return failure(ErrorCode::Internal, "malformed event from runner", Verdict::MayHaveRun);
        }
    }

    // Runners respond with 4xx or 503 only to requests that they have not started.
    Error errorForStatus(unsigned status, const std::string& body)
    {
        const auto parsed = json::parse(body, nullptr, false);
        std::string code;
        if (parsed.is_object() && parsed.contains("error") && parsed["error"].is_object())
            code = parsed["error"].value("code", "");
        const auto message = "runner answered " + std::to_string(status) + (code.empty() ? "" : " " + code);
        // While a runner loads weights, it has neither the old nor the new version.
        if (code == "wrong_version" || code == "loading")
            return { ErrorCode::WrongVersion, message, Verdict::NotRun, std::nullopt };
        if (status == 404)
            return { ErrorCode::NotFound, message, Verdict::NotRun, std::nullopt };
        if (status == 503 || status == 429)
            return { ErrorCode::Unavailable, message, Verdict::NotRun, std::nullopt };
        if (status < 500)
            return { ErrorCode::InvalidRequest, message, Verdict::NotRun, std::nullopt };
        return { ErrorCode::Unavailable, message, Verdict::MayHaveRun, std::nullopt };
    }

}

HttpTokenStream::HttpTokenStream(std::unique_ptr<http::ResponseStream> response)
    : m_response(std::move(response))
{
}

asio::awaitable<Result<TokenChunk>> HttpTokenStream::next()
{
    while (true) {
        if (auto data = m_parser.next()) {
            if (*data == "[DONE]")
                co_return failure(ErrorCode::Unavailable, "runner ended the stream early", Verdict::MayHaveRun);
            co_return parseChunk(*data);
        }
        if (m_parser.pendingBytes() > maxEventBytes)
            co_return failure(ErrorCode::Internal, "event from runner exceeds the size limit", Verdict::MayHaveRun);
        auto bytes = co_await m_response->readSome();
        if (!bytes)
            co_return tl::unexpected(bytes.error());
        if (bytes->empty())
            co_return failure(ErrorCode::Unavailable, "runner ended the stream early", Verdict::MayHaveRun);
        m_parser.append(*bytes);
    }
}

HttpRunner::HttpRunner(http::Client& client, http::CallLimits limits)
    : m_client(client)
    , m_limits(limits)
{
}

asio::awaitable<Result<std::unique_ptr<HttpTokenStream>>> HttpRunner::openStream(Address address, http::Request request, http::CallLimits limits)
{
    limits.bodyBytes = maxStreamBytes;
    auto response = co_await m_client.open(std::move(address), std::move(request), limits);
    if (!response)
        co_return tl::unexpected(response.error());
    const auto status = (*response)->status();
    if (status == 200)
        co_return std::make_unique<HttpTokenStream>(std::move(*response));
    (*response)->setDeadline(std::chrono::steady_clock::now() + limits.progress);
    std::string body;
    while (body.size() < maxErrorBytes) {
        auto bytes = co_await (*response)->readSome();
        if (!bytes || bytes->empty())
            break;
        body += *bytes;
    }
    co_return tl::unexpected(errorForStatus(status, body));
}

asio::awaitable<Result<std::unique_ptr<HttpTokenStream>>> HttpRunner::start(Address address, CompletionRequest request)
{
    auto limits = m_limits;
    limits.isReuseAllowed = request.mayRepeat;
    return openStream(std::move(address), http::makeRequest(http::Verb::post, "/v1/completions", toJson(request).dump()), limits);
}

asio::awaitable<Result<std::unique_ptr<HttpTokenStream>>> HttpRunner::resume(Address address, std::string requestId, std::int64_t offset)
{
    const auto target = "/v1/streams/" + http::percentEncode(requestId) + "?after=" + std::to_string(offset);
    return openStream(std::move(address), http::makeRequest(http::Verb::get, target), m_limits);
}

asio::awaitable<Result<void>> HttpRunner::cancel(Address address, std::string requestId)
{
    auto response = co_await m_client.send(std::move(address),
        http::makeRequest(http::Verb::delete_, "/v1/streams/" + http::percentEncode(requestId)), m_limits);
    if (!response)
        co_return tl::unexpected(response.error());
    co_return Result<void> {};
}

asio::awaitable<Result<BlockRecord>> HttpRunner::exportBlock(Address address, ExportRequest request)
{
    const json body { { "organisation", request.identity.organisation }, { "model", request.identity.model },
        { "adapter", request.identity.adapter }, { "version", request.identity.version }, { "blocks", json::array({ request.key }) },
        { "store", toString(request.store) }, { "generation", request.generation } };
    auto response = co_await m_client.send(std::move(address), http::makeRequest(http::Verb::post, "/v1/kv/export", body.dump()), exportLimits);
    if (!response)
        co_return tl::unexpected(response.error());
    const auto parsed = json::parse(response->body(), nullptr, false);
    if (response->result() != http::Status::ok || !parsed.is_object())
        co_return failure(ErrorCode::Unavailable, "runner answered " + std::to_string(response->result_int()) + " to an export", Verdict::MayHaveRun);
    if (parsed.value("store_full", false))
        co_return failure(ErrorCode::Overloaded, "store is full", Verdict::NotRun);
    for (const auto& row : parsed.value("records", json::array())) {
        if (row.is_object() && row.value("key", "") == request.key)
            co_return BlockRecord { request.key, row.value("length", std::int64_t { 0 }), row.value("checksum", ""), request.generation, request.store };
    }
    if (parsed.value("store_failed", false))
        co_return failure(ErrorCode::Unavailable, "runner could not write to the store", Verdict::MayHaveRun);
    co_return failure(ErrorCode::NotFound, "runner no longer has the block", Verdict::NotRun);
}

asio::awaitable<Result<RunnerStatus>> HttpRunner::readStatus(Address address)
{
    auto response = co_await m_client.send(std::move(address), http::makeRequest(http::Verb::get, "/v1/load"), controlLimits);
    if (!response)
        co_return tl::unexpected(response.error());
    const auto parsed = json::parse(response->body(), nullptr, false);
    if (response->result() != http::Status::ok || !parsed.is_object())
        co_return failure(ErrorCode::Unavailable, "runner answered " + std::to_string(response->result_int()) + " to a load query", Verdict::Ran);
    RunnerStatus status;
    status.version = parsed.value("version", "");
    status.adapter = parsed.value("adapter", "");
    status.isLoading = parsed.value("loading", false);
    co_return status;
}

asio::awaitable<Result<void>> HttpRunner::command(Address address, RunnerCommand command)
{
    json body { { "fencing_token", command.fencingToken }, { "command", command.command } };
    if (!command.version.empty())
        body["version"] = command.version;
    if (command.command != "set_role")
        body["adapter"] = command.adapter;
    if (!command.role.empty())
        body["role"] = command.role;
    auto response = co_await m_client.send(std::move(address), http::makeRequest(http::Verb::post, "/v1/commands", body.dump()), controlLimits);
    if (!response)
        co_return tl::unexpected(response.error());
    if (response->result() == http::Status::conflict)
        co_return failure(ErrorCode::Conflict, "runner has received a higher fencing token", Verdict::NotRun);
    if (response->result_int() >= 300)
        co_return tl::unexpected(errorForStatus(response->result_int(), response->body()));
    co_return Result<void> {};
}

}
