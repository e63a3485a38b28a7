#pragma once

#include "chiveshelf/http/Message.h"

namespace chiveshelf {

// Returns the HTTP status for an error.
http::Status statusFor(const Error&);

// Returns the JSON error body: code, message and, derived from the verdict, whether the request ran.
std::string errorBody(const Error&);

// Returns the error response with `X-Request-Id` and, if the error has a retry time, `Retry-After`.
http::Response makeRefusal(const Error&, const std::string& requestId);

}
