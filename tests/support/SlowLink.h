#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/core/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <vector>

namespace support {

// The network link of one host: TCP connections that share a rate per direction. Bytes of all connections wait in one queue, so that a
// small request waits behind a large answer that was there first.
class SlowLink {
public:
    enum class Direction {
        ToHost,
        FromHost,
    };

    SlowLink(boost::asio::io_context&, double bytesPerSecond);
    SlowLink(const SlowLink&) = delete;
    SlowLink& operator=(const SlowLink&) = delete;

    // Forwards connections made to `listen` to `target`. `callerSends` is the direction of what the connecting side sends.
    void forward(const chiveshelf::Address& listen, const chiveshelf::Address& target, Direction callerSends);

    // Cuts the link: its connections and all later ones are reset until it is joined again.
    void setCut(bool isCut);

    // Bytes that crossed the link since its construction.
    std::size_t bytes(Direction direction) const { return m_queues[index(direction)].bytes; }

private:
    struct Queue {
        // When all bytes so far have left.
        chiveshelf::TimePoint freeAt {};
        std::size_t bytes = 0;
    };

    using Socket = boost::asio::ip::tcp::socket;

    static std::size_t index(Direction direction) { return direction == Direction::ToHost ? 0 : 1; }

    boost::asio::awaitable<void> accept(std::shared_ptr<boost::asio::ip::tcp::acceptor>, chiveshelf::Address target, Direction callerSends);
    boost::asio::awaitable<void> connect(std::shared_ptr<Socket> caller, chiveshelf::Address target, Direction callerSends);
    boost::asio::awaitable<void> copy(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to, Direction);

    boost::asio::io_context& m_context;
    double m_bytesPerSecond;
    std::array<Queue, 2> m_queues;
    std::vector<std::weak_ptr<Socket>> m_sockets;
    bool m_isCut = false;
};

}
