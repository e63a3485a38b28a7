#pragma once

#include <string_view>

namespace chiveshelf {

// States whether a request may have run on a runner or taken effect in an external system. Every layer returns a verdict with each
// error. The `ran` field in the error response to a caller is derived only from it.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

// Returns the value of the field `ran` in an error body: "no", "unknown" or "yes".
constexpr std::string_view ranName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "no";
    case Verdict::MayHaveRun:
        return "unknown";
    case Verdict::Ran:
        return "yes";
    }
    return "unknown";
}

}
