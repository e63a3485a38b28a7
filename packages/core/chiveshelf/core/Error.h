#pragma once

#include "chiveshelf/core/Verdict.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace chiveshelf {

// Error codes. Their names are part of the public interface, as they appear in error bodies and logs.
enum class ErrorCode {
    InvalidRequest,
    NotFound,
    Conflict,
    Timeout,
    Unavailable,
    Overloaded,
    RateLimited,
    Cancelled,
    WrongVersion,
    Draining,
    KeyReused,
    Quarantined,
    Internal,
};

// Returns the name of the code in snake case, as used in error bodies.
std::string_view errorCodeName(ErrorCode code);

// Returns the code for a name from errorCodeName(), or nullopt if the name is unknown.
std::optional<ErrorCode> errorCodeFromName(std::string_view name);

// An error and its verdict. `retryAfter` is set if a later retry can succeed.
struct Error {
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<std::chrono::milliseconds> retryAfter;

    bool operator==(const Error&) const = default;
};

// The result of an operation, or the error that it failed with.
template <typename T>
using Result = tl::expected<T, Error>;

// Returns an error for use as a Result.
inline tl::unexpected<Error> failure(ErrorCode code, std::string message, Verdict verdict,
    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt)
{
    return tl::unexpected<Error>(Error { code, std::move(message), verdict, retryAfter });
}

}
