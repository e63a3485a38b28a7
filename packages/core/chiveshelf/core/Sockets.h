#pragma once

#include "chiveshelf/core/Address.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace chiveshelf {

// Opens the acceptor, binds it and starts to listen. Fails with Unavailable if the address can't be bound.
Result<void> listenOn(boost::asio::ip::tcp::acceptor&, const Address&);

// Returns whether an idle connection can be reused: the peer has not closed it, and there are no unexpected bytes to read.
bool isReusable(boost::asio::ip::tcp::socket&);

// Returns whether the peer has acknowledged all bytes that were written to the socket. True if the platform can't tell, so that a response whose
// body ends with its connection stays usable there.
bool isAllAcknowledged(boost::asio::ip::tcp::socket&);

// Parameters of TCP keep-alive probes. The first probe is sent after the connection was idle for `idle`, further ones at `interval`.
// The kernel drops the connection after `count` unacknowledged probes.
struct KeepAliveProbes {
    std::chrono::seconds idle { 0 };
    std::chrono::seconds interval { 0 };
    int count = 0;

    auto operator<=>(const KeepAliveProbes&) const = default;
};

// Enables TCP keep-alive probes, so that the kernel detects a peer that disappeared without closing the connection. Errors of
// setsockopt() are ignored.
void enableKeepAliveProbes(boost::asio::ip::tcp::socket&, const KeepAliveProbes&);

}
