#pragma once

#include "chiveshelf/core/Address.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <iterator>
#include <map>
#include <string>
#include <string_view>

namespace chiveshelf::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Verb = boost::beast::http::verb;
using Status = boost::beast::http::status;

// Largest number of fields of a response's header and trailers together. Each field takes some 80 bytes besides its text, so a limit on
// the text alone doesn't bound the memory of short fields. Other servers commonly accept 100.
constexpr std::size_t maxFields = 256;

// Whether a message has more than maxFields fields.
template <typename Fields>
bool hasTooManyFields(const Fields& fields)
{
    return static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) > maxFields;
}

// The path of a request target and its query parameters, percent-decoded.
struct Target {
    std::string path;
    std::map<std::string, std::string> query;

    // Returns the parameter as a number, or `fallback` if it is absent or not a number.
    std::int64_t number(const std::string& name, std::int64_t fallback) const;
};

// Splits a request target into path and query.
Target parseTarget(std::string_view target);

// Percent-encodes all characters except unreserved ones, for use as one path segment or query value.
std::string percentEncode(std::string_view text);

// Makes a request. Content-Type is set only if the body is not empty.
Request makeRequest(Verb verb, const std::string& target, std::string body = {}, std::string_view contentType = "application/json");

// Makes a response with a body.
Response makeResponse(Status status, std::string body, std::string_view contentType = "application/json");

// Returns the header's value, or an empty string if it is absent.
std::string header(const Request& request, std::string_view name);
std::string header(const Response& response, std::string_view name);

// Convert between an Address and an Asio endpoint.
boost::asio::ip::tcp::endpoint toEndpoint(const Address& address);
Address toAddress(const boost::asio::ip::tcp::endpoint& endpoint);

}
