#pragma once

#include "chiveshelf/core/Address.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace chiveshelf {

// Opens the acceptor, binds it and listens. Fails with Unavailable if the address can not be bound.
Result<void> listenOn(boost::asio::ip::tcp::acceptor&, const Address&);

// Whether a connection that was kept is still of use: open at the peer, and without bytes that nobody asked for.
bool isReusable(boost::asio::ip::tcp::socket&);

// When a connection counts as silent: probes begin after `idle`, follow each other by `interval`, and `count` of them may stay
// without an answer.
struct KeepAliveProbes {
    std::chrono::seconds idle { 0 };
    std::chrono::seconds interval { 0 };
    int count = 0;

    auto operator<=>(const KeepAliveProbes&) const = default;
};

// Lets the kernel find a peer that is gone without a sign. An option that the kernel refuses is left out.
void enableKeepAliveProbes(boost::asio::ip::tcp::socket&, const KeepAliveProbes&);

}
