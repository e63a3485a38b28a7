#include "HttpProbe.h"

#include "chiveshelf/http/SseParser.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/string.hpp>

#include <thread>

namespace support {

namespace http = chiveshelf::http;

std::string ProbeResponse::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (boost::beast::iequals(key, name))
            return value;
    }
    return {};
}

ProbeResponse call(const chiveshelf::Address& address, http::Verb verb, const std::string& target, const Headers& headers,
    const std::string& body, std::chrono::milliseconds progressLimit)
{
    boost::asio::io_context context(1);
    http::Client client(context);
    auto request = http::makeRequest(verb, target, body);
    for (const auto& [name, value] : headers)
        request.set(name, value);
    ProbeResponse out;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            const http::CallLimits limits { std::chrono::milliseconds(1'000), progressLimit };
            const auto response = co_await client.send(address, request, limits);
            if (!response) {
                out.isNotSent = response.error().verdict == chiveshelf::Verdict::NotRun;
                co_return;
            }
            out.status = response->result_int();
            out.body = response->body();
            for (const auto& field : *response)
                out.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        },
        boost::asio::detached);
    context.run();
    return out;
}

std::vector<std::string> sseEvents(const std::string& body)
{
    http::SseParser parser;
    parser.append(body);
    std::vector<std::string> out;
    while (auto data = parser.next())
        out.push_back(*data);
    return out;
}

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

}
