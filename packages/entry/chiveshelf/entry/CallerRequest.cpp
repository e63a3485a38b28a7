#include "chiveshelf/entry/CallerRequest.h"

#include "chiveshelf/core/Hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace chiveshelf {

using nlohmann::json;

namespace {

    constexpr std::size_t maxHeaderValueBytes = 256;
    constexpr std::int64_t maxRequestedTokens = 65'536;
    constexpr std::int64_t maxDeadlineMs = 3'600'000;
    constexpr std::size_t bytesPerToken = 4;

    tl::unexpected<Error> invalid(const std::string& message)
    {
        return failure(ErrorCode::InvalidRequest, message, Verdict::NotRun);
    }

    bool isPlainValue(const std::string& text)
    {
        return text.size() <= maxHeaderValueBytes
            && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    }

    // A document with this many values takes a few MB of memory, which is enough for a prompt. Without the limit, a body of 8 MB of
    // brackets takes more than 500 MB.
    constexpr std::size_t maxJsonValues = 100'000;
    constexpr int maxJsonDepth = 32;

    struct DocumentTooLarge : std::exception {
    };

    // Parses a document with limits on depth and number of values. Returns a discarded value if it is malformed or exceeds a limit.
    json parseBounded(const std::string& text)
    {
        std::size_t values = 0;
        const auto count = [&](int depth, json::parse_event_t, const json&) {
            if (depth > maxJsonDepth || ++values > maxJsonValues)
                throw DocumentTooLarge();
            return true;
        };
        try {
            return json::parse(text, count, false);
        } catch (const DocumentTooLarge&) {
            return json(json::value_t::discarded);
        }
    }

    // Returns the text of a chat message, whose content is a string or a list of text parts. Parts of other types are refused.
    Result<std::string> contentText(const json& content)
    {
        if (content.is_string())
            return content.get<std::string>();
        if (!content.is_array())
            return invalid("message content must be a string or a list of text parts");
        std::string out;
        for (const auto& part : content) {
            const bool isText = part.is_object() && part.value("type", json()) == "text" && part.contains("text") && part["text"].is_string();
            if (!isText)
                return invalid("only text parts are supported in message content");
            out += part["text"].get<std::string>();
        }
        return out;
    }

    Result<std::string> joinMessages(const json& body)
    {
        const auto it = body.find("messages");
        if (it == body.end() || !it->is_array() || it->empty())
            return invalid("messages must be a non-empty list");
        std::string out;
        for (const auto& message : *it) {
            if (!message.is_object() || !message.contains("role") || !message["role"].is_string() || !message.contains("content"))
                return invalid("each message needs a role and a content");
            auto text = contentText(message["content"]);
            if (!text)
                return text;
            out += message["role"].get<std::string>() + "\n" + *text + "\n\n";
        }
        return out;
    }

    Result<std::string> promptText(const json& body)
    {
        const auto it = body.find("prompt");
        if (it == body.end() || !it->is_string() || it->get_ref<const std::string&>().empty())
            return invalid("prompt must be a non-empty string");
        return it->get<std::string>();
    }

    Result<std::int64_t> tokenLimit(const json& body)
    {
        for (const auto* field : { "max_completion_tokens", "max_tokens" }) {
            const auto it = body.find(field);
            if (it == body.end() || it->is_null())
                continue;
            if (!it->is_number_integer() || it->get<std::int64_t>() < 1 || it->get<std::int64_t>() > maxRequestedTokens)
                return invalid(std::string(field) + " must be a whole number from 1 to " + std::to_string(maxRequestedTokens));
            return it->get<std::int64_t>();
        }
        return 16;
    }

}

Result<CallerHeaders> parseHeaders(const http::Request& request)
{
    CallerHeaders headers;
    headers.requestId = http::header(request, "X-Request-Id");
    if (!isPlainValue(headers.requestId))
        return invalid("X-Request-Id must have at most 256 printable characters without spaces");
    if (headers.requestId.empty())
        headers.requestId = makeUniqueId();
    headers.organisation = http::header(request, "X-Organisation");
    if (headers.organisation.empty() || headers.organisation == "*" || !isPlainValue(headers.organisation))
        return invalid("X-Organisation is required and must have 1 to 256 printable characters without spaces");
    headers.idempotencyKey = http::header(request, "Idempotency-Key");
    if (!isPlainValue(headers.idempotencyKey))
        return invalid("Idempotency-Key must have at most 256 printable characters without spaces");
    const auto priority = http::header(request, "X-Priority");
    headers.priority = priorityFromName(priority);
    if (!priority.empty() && !headers.priority)
        return invalid("X-Priority must be urgent, standard or batch");
    const auto deadline = http::header(request, "X-Deadline-Ms");
    if (!deadline.empty()) {
        std::int64_t ms = 0;
        const auto* last = deadline.data() + deadline.size();
        const auto [end, status] = std::from_chars(deadline.data(), last, ms);
        if (status != std::errc() || end != last || ms < 1 || ms > maxDeadlineMs)
            return invalid("X-Deadline-Ms must be a whole number from 1 to " + std::to_string(maxDeadlineMs));
        headers.deadline = std::chrono::milliseconds(ms);
    }
    return headers;
}

Result<CompletionCall> parseCompletion(const std::string& text, bool isChat)
{
    const auto body = parseBounded(text);
    if (!body.is_object())
        return invalid("the body must be a JSON object of at most 32 levels and 100000 values");
    CompletionCall call;
    call.isChat = isChat;
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        return invalid("model must be a string");
    call.model = model->get<std::string>();
    auto prompt = isChat ? joinMessages(body) : promptText(body);
    if (!prompt)
        return tl::unexpected(prompt.error());
    call.prompt = std::move(*prompt);
    const auto limit = tokenLimit(body);
    if (!limit)
        return tl::unexpected(limit.error());
    call.maxTokens = *limit;
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
        return invalid("stream must be true or false");
    call.isStream = stream != body.end() && stream->get<bool>();
    return call;
}

std::int64_t estimateTokens(std::size_t bytes)
{
    return static_cast<std::int64_t>((bytes + bytesPerToken - 1) / bytesPerToken);
}

}
