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

// Limits of a server and of each of its connections.
struct ServerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    std::size_t connections = 4096;
    // Maximum time from the first byte of a request until it has arrived completely.
    std::chrono::milliseconds receive { 10'000 };
    // Maximum time that a connection may stay idle before its next request.
    std::chrono::milliseconds idle { 60'000 };
    // Maximum time of one write, and of the wait for the peer's acknowledgement of sent bytes.
    std::chrono::milliseconds write { 10'000 };
};

// A request and its response. Call either respond() once, or startStream(), any number of times write(), and finishStream(). The response
// to a HEAD request has the same header as one to GET and no body.
// Each call fails with Cancelled if the peer has disconnected or does not accept the data within the write limit.
class Exchange {
public:
    // While `isClosing` is true, responses carry `Connection: close`, because the server is about to stop.
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

    // Closes the connection at once, so that the peer detects that the body is incomplete.
    void abort();

    // Returns whether the peer has closed the connection. Handlers with long waits can poll this to stop early.
    bool peerHasClosed();

    // Returns whether a response was started.
    bool hasStarted() const { return m_hasStarted; }
    bool keepAlive() const { return m_keepAlive; }
    void disableKeepAlive() { m_keepAlive = false; }

private:
    bool hasBody() const { return m_request.method() != Verb::head; }

    boost::beast::tcp_stream& m_stream;
    Request m_request;
    ServerLimits m_limits;
    const bool& m_isClosing;
    bool m_hasStarted = false;
    bool m_keepAlive = true;
};

using Handler = std::function<boost::asio::awaitable<void>(Exchange&)>;

// Accepts connections and calls a handler for each request. Call start() and check its result. For a graceful shutdown, call
// announceClose(), give clients time to move to another server, call stopAccepting(), and wait until connectionCount() is 0:
// requests that have already arrived are still answered.
class Server {
public:
    Server(boost::asio::io_context&, ServerLimits, Handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Binds the address and starts to accept connections. Fails with Unavailable if the address can't be bound.
    Result<void> start(const Address&);

    // Adds `Connection: close` to all responses from now on. New connections are still accepted.
    void announceClose() { m_isClosing = true; }

    // Closes the idle connections, accepts the connections in the kernel's queue, and closes the listening socket.
    void stopAccepting();

    // Closes all connections, including those with running requests.
    void closeAll();

    // Returns the bound address. If port 0 was requested, it has the port that the system chose.
    Address address() const { return m_address; }
    std::size_t activeRequests() const { return m_activeRequests; }
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    struct Connection;

    boost::asio::awaitable<void> acceptLoop();
    void addConnection(boost::asio::ip::tcp::socket);
    void acceptQueuedConnections();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection>);
    boost::asio::awaitable<bool> serveRequest(Connection&);

    boost::asio::io_context& m_context;
    ServerLimits m_limits;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Address m_address;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_activeRequests = 0;
    // Set by announceClose() and stopAccepting().
    bool m_isClosing = false;
    // Set by stopAccepting().
    bool m_isStopping = false;
};

}
