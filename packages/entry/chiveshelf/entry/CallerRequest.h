#pragma once

#include "chiveshelf/core/Priority.h"
#include "chiveshelf/http/Message.h"

#include <chrono>
#include <optional>

namespace chiveshelf {

// The values of the headers that every request may have.
struct CallerHeaders {
    std::string requestId;
    std::string organisation;
    std::optional<Priority> priority;
    std::string idempotencyKey;
    std::optional<std::chrono::milliseconds> deadline;

    auto operator<=>(const CallerHeaders&) const = default;
};

// The parameters of a completion, as the caller sent them.
struct CompletionCall {
    std::string model;
    // Text of the prompt. The messages of a chat are concatenated, so that the prompt of a conversation is a prefix of the prompt
    // of its continuation.
    std::string prompt;
    std::int64_t maxTokens = 16;
    bool isStream = false;
    bool isChat = false;

    auto operator<=>(const CompletionCall&) const = default;
};

// Parses the headers and generates a request id if there is none. Fails with InvalidRequest and NotRun.
Result<CallerHeaders> parseHeaders(const http::Request&);

// Parses the body of a completion or chat completion. Fails with InvalidRequest and NotRun.
Result<CompletionCall> parseCompletion(const std::string& body, bool isChat);

// Estimates the number of tokens of a text from its length in bytes.
std::int64_t estimateTokens(std::size_t bytes);

}
