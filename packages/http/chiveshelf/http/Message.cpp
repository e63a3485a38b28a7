#include "chiveshelf/http/Message.h"

#include <charconv>

namespace chiveshelf::http {

namespace {

    int hexValue(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

    std::string percentDecode(std::string_view text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0 && hexValue(text[i + 2]) >= 0;
            if (!isEscape) {
                out += text[i];
                continue;
            }
            out += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
            i += 2;
        }
        return out;
    }

    template <typename Message>
    std::string findHeader(const Message& message, std::string_view name)
    {
        const auto it = message.find(boost::beast::string_view(name.data(), name.size()));
        return it == message.end() ? std::string() : std::string(it->value());
    }

}

std::int64_t Target::number(const std::string& name, std::int64_t fallback) const
{
    const auto it = query.find(name);
    if (it == query.end())
        return fallback;
    std::int64_t value = 0;
    const auto* last = it->second.data() + it->second.size();
    const auto [end, status] = std::from_chars(it->second.data(), last, value);
    return status == std::errc() && end == last ? value : fallback;
}

Target parseTarget(std::string_view target)
{
    Target out;
    const auto question = target.find('?');
    out.path = percentDecode(target.substr(0, question));
    if (question == std::string_view::npos)
        return out;
    auto rest = target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        out.query[percentDecode(pair.substr(0, equals))] = percentDecode(value);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return out;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool isAlphanumeric = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        if (isAlphanumeric || c == '-' || c == '_' || c == '.' || c == '~') {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4];
        out += digits[byte & 15];
    }
    return out;
}

Request makeRequest(Verb verb, const std::string& target, std::string body, std::string_view contentType)
{
    Request request { verb, target, 11 };
    if (!body.empty())
        request.set(boost::beast::http::field::content_type, boost::beast::string_view(contentType.data(), contentType.size()));
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

Response makeResponse(Status status, std::string body, std::string_view contentType)
{
    Response response { status, 11 };
    response.set(boost::beast::http::field::content_type, boost::beast::string_view(contentType.data(), contentType.size()));
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

std::string header(const Request& request, std::string_view name)
{
    return findHeader(request, name);
}

std::string header(const Response& response, std::string_view name)
{
    return findHeader(response, name);
}

boost::asio::ip::tcp::endpoint toEndpoint(const Address& address)
{
    return { boost::asio::ip::make_address(address.ip), address.port };
}

Address toAddress(const boost::asio::ip::tcp::endpoint& endpoint)
{
    return { endpoint.address().to_string(), endpoint.port() };
}

}
