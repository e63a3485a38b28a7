#pragma once

#include "chiveshelf/http/Client.h"

#include <functional>
#include <string>
#include <vector>

namespace support {

using Headers = std::vector<std::pair<std::string, std::string>>;

// One call's outcome: status 0 means that no response came.
struct ProbeResponse {
    unsigned status = 0;
    std::string body;
    Headers headers;
    // True if no connection was made, so that the request certainly did not arrive.
    bool isNotSent = false;

    // Returns the header's value, or an empty string.
    std::string header(const std::string& name) const;
};

// Sends one request over a new connection and waits for the whole response.
ProbeResponse call(const chiveshelf::Address&, chiveshelf::http::Verb, const std::string& target, const Headers& = {},
    const std::string& body = {}, std::chrono::milliseconds progress = std::chrono::seconds(10));

// Returns the data of each event of a response body.
std::vector<std::string> sseEvents(const std::string& body);

// Polls a condition until it holds. Returns false at the limit.
bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit);

}
