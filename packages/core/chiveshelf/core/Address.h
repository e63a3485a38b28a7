#pragma once

#include "chiveshelf/core/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace chiveshelf {

// A numeric IP address and a port.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address&) const = default;
};

// Parses "IP:PORT" or "[IPv6]:PORT". Fails with InvalidRequest if the text is invalid or has a host name, since names are never
// resolved.
Result<Address> parseAddress(std::string_view text);

// Returns the address in the format that parseAddress() reads.
std::string toString(const Address& address);

}
