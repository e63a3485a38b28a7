#pragma once

#include "chiveshelf/core/Error.h"
#include "chiveshelf/peer/MessageType.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace chiveshelf::peer {

// Version of the frame format. A connection that receives a frame of another version is closed.
constexpr std::uint8_t protocolVersion = 1;

// Maximum payload of a frame, in bytes. The routing tables can take up to 1 MB.
constexpr std::uint32_t maxPayloadBytes = 4 * 1024 * 1024;

enum class FrameKind : std::uint8_t {
    Request = 1,
    Reply = 2,
    Failure = 3,
    Ping = 4,
    Pong = 5,
};

// Unit of transmission on a peer connection. `correlation` matches a reply to its request.
struct Frame {
    FrameKind kind = FrameKind::Ping;
    MessageType type = MessageType::Enqueue;
    std::uint64_t correlation = 0;
    std::string payload;
};

// Returns a frame in wire format.
std::string serializeFrame(const Frame&);

// Reads one frame. Fails with InvalidRequest if its version is unknown or its payload too long, and with Unavailable if the
// connection was closed or failed.
boost::asio::awaitable<Result<Frame>> readFrame(boost::asio::ip::tcp::socket&);

// Convert between an error and its wire format.
std::string encodeError(const Error&);
Error decodeError(const std::string&);

}
