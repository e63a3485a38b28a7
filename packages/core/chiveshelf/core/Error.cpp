#include "chiveshelf/core/Error.h"

#include <array>
#include <utility>

namespace chiveshelf {

namespace {

    constexpr std::array<std::pair<ErrorCode, std::string_view>, 13> codeNames { {
        { ErrorCode::InvalidRequest, "invalid_request" },
        { ErrorCode::NotFound, "not_found" },
        { ErrorCode::Conflict, "conflict" },
        { ErrorCode::Timeout, "timeout" },
        { ErrorCode::Unavailable, "unavailable" },
        { ErrorCode::Overloaded, "overloaded" },
        { ErrorCode::RateLimited, "rate_limited" },
        { ErrorCode::Cancelled, "cancelled" },
        { ErrorCode::WrongVersion, "wrong_version" },
        { ErrorCode::Draining, "draining" },
        { ErrorCode::KeyReused, "key_reused" },
        { ErrorCode::Quarantined, "quarantined" },
        { ErrorCode::Internal, "internal" },
    } };

}

std::string_view errorCodeName(ErrorCode code)
{
    for (const auto& [value, name] : codeNames) {
        if (value == code)
            return name;
    }
    return "internal";
}

std::optional<ErrorCode> errorCodeFromName(std::string_view name)
{
    for (const auto& [value, known] : codeNames) {
        if (known == name)
            return value;
    }
    return std::nullopt;
}

}
