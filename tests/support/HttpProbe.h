#pragma once

#include "chiveshelf/http/Client.h"

#include <functional>
#include <string>
#include <vector>

namespace support {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Result of an HTTP call. The status is 0 if no response was received.
struct ProbeResponse {
    unsigned status = 0;
    std::string body;
    Headers headers;
    // True if no connection was established, so that the server cannot have received the request.
    bool isNotSent = false;

    // Returns the header's value, or an empty string.
    std::string header(const std::string& name) const;
};

// Sends a request over a new connection and waits for the complete response.
ProbeResponse call(const chiveshelf::Address&, chiveshelf::http::Verb, const std::string& target, const Headers& = {},
    const std::string& body = {}, std::chrono::milliseconds progressLimit = std::chrono::seconds(10));

// Returns the data of each server-sent event of a response body.
std::vector<std::string> sseEvents(const std::string& body);

// Polls a condition until it is true. Returns false if it is still false at the timeout.
bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

}
