#include "SlowLink.h"

#include "chiveshelf/http/Message.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>

#include <algorithm>

namespace support {

namespace asio = boost::asio;
using namespace chiveshelf;

namespace {

    // Bytes of one connection that wait on the link at a time, like the window of a TCP connection.
    constexpr std::size_t windowBytes = 128 * 1'024;

    void reset(asio::ip::tcp::socket& socket)
    {
        boost::system::error_code ec;
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
    }

}

SlowLink::SlowLink(asio::io_context& context, double bytesPerSecond)
    : m_context(context)
    , m_bytesPerSecond(bytesPerSecond)
{
}

void SlowLink::forward(const Address& listen, const Address& target, Direction callerSends)
{
    const auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_context);
    boost::system::error_code ec;
    acceptor->open(asio::ip::tcp::v4(), ec);
    acceptor->set_option(asio::socket_base::reuse_address(true), ec);
    acceptor->bind(http::toEndpoint(listen), ec);
    CPPUNIT_ASSERT_MESSAGE(ec.message(), !ec);
    acceptor->listen(asio::socket_base::max_listen_connections, ec);
    asio::co_spawn(m_context, accept(acceptor, target, callerSends), asio::detached);
}

void SlowLink::setCut(bool isCut)
{
    m_isCut = isCut;
    for (const auto& entry : std::exchange(m_sockets, {})) {
        if (const auto socket = entry.lock())
            reset(*socket);
    }
}

asio::awaitable<void> SlowLink::accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor, Address target, Direction callerSends)
{
    while (true) {
        boost::system::error_code ec;
        auto caller = std::make_shared<Socket>(m_context);
        co_await acceptor->async_accept(*caller, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
        if (m_isCut) {
            reset(*caller);
            continue;
        }
        asio::co_spawn(m_context, connect(std::move(caller), target, callerSends), asio::detached);
    }
}

asio::awaitable<void> SlowLink::connect(std::shared_ptr<Socket> caller, Address target, Direction callerSends)
{
    boost::system::error_code ec;
    auto peer = std::make_shared<Socket>(m_context);
    co_await peer->async_connect(http::toEndpoint(target), asio::redirect_error(asio::use_awaitable, ec));
    if (ec || m_isCut) {
        reset(*caller);
        co_return;
    }
    m_sockets.insert(m_sockets.end(), { caller, peer });
    caller->set_option(asio::ip::tcp::no_delay(true), ec);
    peer->set_option(asio::ip::tcp::no_delay(true), ec);
    const auto otherDirection = callerSends == Direction::ToHost ? Direction::FromHost : Direction::ToHost;
    asio::co_spawn(m_context, copy(caller, peer, callerSends), asio::detached);
    asio::co_spawn(m_context, copy(peer, caller, otherDirection), asio::detached);
}

asio::awaitable<void> SlowLink::copy(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to, Direction direction)
{
    auto& queue = m_queues[index(direction)];
    asio::steady_timer timer(m_context);
    std::string buf(windowBytes, '\0');
    boost::system::error_code ec;
    while (!ec) {
        const auto n = co_await from->async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        // The end of a connection waits behind the bytes of the others.
        const std::chrono::duration<double> length(static_cast<double>(n) / m_bytesPerSecond);
        queue.freeAt = std::max(queue.freeAt, std::chrono::steady_clock::now()) + std::chrono::duration_cast<std::chrono::steady_clock::duration>(length);
        queue.bytes += n;
        boost::system::error_code ignored;
        timer.expires_at(queue.freeAt);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (!ec)
            co_await asio::async_write(*to, asio::buffer(buf, n), asio::redirect_error(asio::use_awaitable, ec));
    }
    boost::system::error_code ignored;
    if (ec == asio::error::eof) {
        to->shutdown(Socket::shutdown_send, ignored);
        co_return;
    }
    reset(*from);
    reset(*to);
}

}
