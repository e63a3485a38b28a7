#include "chiveshelf/entry/Refusal.h"

#include <nlohmann/json.hpp>

namespace chiveshelf {

http::Status statusFor(const Error& error)
{
    using http::Status;
    switch (error.code) {
    case ErrorCode::InvalidRequest:
        return Status::bad_request;
    case ErrorCode::NotFound:
        return Status::not_found;
    case ErrorCode::Conflict:
        return Status::conflict;
    case ErrorCode::KeyReused:
        return Status::unprocessable_entity;
    case ErrorCode::Overloaded:
    case ErrorCode::RateLimited:
        return Status::too_many_requests;
    case ErrorCode::Timeout:
        return Status::gateway_timeout;
    case ErrorCode::Internal:
        return Status::internal_server_error;
    case ErrorCode::Unavailable:
    case ErrorCode::Cancelled:
    case ErrorCode::WrongVersion:
    case ErrorCode::Draining:
    case ErrorCode::Quarantined:
        return Status::service_unavailable;
    }
    return Status::internal_server_error;
}

std::string errorBody(const Error& error)
{
    const nlohmann::ordered_json body { { "error",
        { { "code", errorCodeName(error.code) }, { "message", error.message }, { "ran", ranName(error.verdict) } } } };
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

http::Response makeRefusal(const Error& error, const std::string& requestId)
{
    auto response = http::makeResponse(statusFor(error), errorBody(error));
    response.set("X-Request-Id", requestId);
    if (error.retryAfter) {
        // The header has whole seconds; rounding up prevents early retries.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count();
        response.set(boost::beast::http::field::retry_after, std::to_string(std::max<std::int64_t>(seconds, 1)));
    }
    return response;
}

}
