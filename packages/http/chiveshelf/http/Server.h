#pragma once

#include "chiveshelf/http/Message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>

namespace chiveshelf::http {

// Bounds on what one connection may cost.
struct ServerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    std::size_t connections = 4096;
    // Time for a whole request to arrive once its first byte is there.
    std::chrono::milliseconds receive { 10'000 };
    // Time that a kept connection may wait for its next request.
    std::chrono::milliseconds idle { 60'000 };
    // Time in which the peer must take some of what is written.
    std::chrono::milliseconds write { 10'000 };
};

// One request and the means to answer it. Call respond() once, or startStream(), any number of write() calls and
// finishStream(). Every call fails when the peer is gone or takes nothing within the write limit.
class Exchange {
public:
    // `isClosing` tells whether the server is about to stop; the response then asks the peer to close.
    Exchange(boost::beast::tcp_stream&, Request, ServerLimits, const bool& isClosing);
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    const Request& request() const { return m_request; }

    // Sends a whole response.
    boost::asio::awaitable<Result<void>> respond(Response);

    // Sends the header of a chunked response.
    boost::asio::awaitable<Result<void>> startStream(Status, std::string_view contentType,
        std::vector<std::pair<std::string, std::string>> headers);

    // Sends one chunk.
    boost::asio::awaitable<Result<void>> write(std::string_view data);

    // Sends the last chunk.
    boost::asio::awaitable<Result<void>> finishStream();

    // Cuts the connection after this exchange, so that the peer sees that the body is incomplete.
    void abort();

    // True when the peer has closed its side. Lets a handler that waits for something else give up early.
    bool peerHasClosed();

    // True once any part of a response was sent.
    bool hasStarted() const { return m_hasStarted; }
    bool keepAlive() const { return m_keepAlive; }
    void disableKeepAlive() { m_keepAlive = false; }

private:
    boost::beast::tcp_stream& m_stream;
    Request m_request;
    ServerLimits m_limits;
    const bool& m_isClosing;
    bool m_hasStarted = false;
    bool m_keepAlive = true;
};

using Handler = std::function<boost::asio::awaitable<void>(Exchange&)>;

// Accepts connections and calls a handler for each request. Construct it and check start(). At the end call announceClose(),
// give the peers time to turn elsewhere, call stopAccepting(), and wait until connectionCount() is 0: requests that have
// arrived go on and are answered.
class Server {
public:
    Server(boost::asio::io_context&, ServerLimits, Handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Binds and begins to accept. Fails with Unavailable if the address can not be bound.
    Result<void> start(const Address&);

    // From now on every response carries `Connection: close`. New connections are still accepted.
    void announceClose() { m_isClosing = true; }

    // Accepts what the kernel has queued, then closes the listening socket and the idle connections.
    void stopAccepting();

    // Cuts all connections, running requests included.
    void closeAll();

    // The bound address, with the port that the system chose if 0 was asked for.
    Address address() const { return m_address; }
    std::size_t activeRequests() const { return m_activeRequests; }
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    struct Connection;

    boost::asio::awaitable<void> acceptLoop();
    void adopt(boost::asio::ip::tcp::socket);
    void acceptQueued();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection>);
    boost::asio::awaitable<bool> serveOne(Connection&);

    boost::asio::io_context& m_context;
    ServerLimits m_limits;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Address m_address;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_activeRequests = 0;
    bool m_isClosing = false;
    bool m_isStopping = false;
};

}
