#include "chiveshelf/core/Address.h"

#include <utility>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace chiveshelf {

Result<Address> parseAddress(std::string_view text)
{
    const auto fail = [&](const char* reason) {
        return failure(ErrorCode::InvalidRequest, "address '" + std::string(text) + "': " + reason, Verdict::NotRun);
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return fail("expected IP:PORT");
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    const auto portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (status != std::errc() || end != portText.data() + portText.size())
        return fail("port must be a number from 0 to 65535");
    boost::system::error_code ec;
    const auto parsed = boost::asio::ip::make_address(std::string(ip), ec);
    if (ec)
        return fail("not a numeric IP address");
    return Address { parsed.to_string(), port };
}

std::string toString(const Address& address)
{
    const bool isV6 = address.ip.find(':') != std::string::npos;
    return (isV6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

}
