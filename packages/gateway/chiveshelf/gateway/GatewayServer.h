#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/core/Error.h"
#include "chiveshelf/gateway/CallerConnection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <set>

namespace chiveshelf {

// Accepts callers and hands each whole request to a handler. Connections are kept for further requests.
class GatewayServer {
public:
    using Handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<CallerConnection>, CallerRequest)>;

    // `limits` is asked before each request, since they change with the tables. Connections beyond `mostConnections` are
    // closed.
    GatewayServer(boost::asio::io_context&, std::size_t mostConnections, std::function<CallerLimits()> limits, Handler);
    GatewayServer(const GatewayServer&) = delete;
    GatewayServer& operator=(const GatewayServer&) = delete;

    // Binds and begins to accept. Fails with Unavailable if the address can not be bound.
    Result<void> start(const Address&);

    // From now on connections end with the answer in progress.
    void announceClose() { m_isClosing = true; }
    bool isClosing() const { return m_isClosing; }

    // Closes the connections on which no request has arrived.
    void closeIdle();

    // Takes the connections that the kernel has accepted, so that none of them is reset when the process ends. Returns whether
    // there were any.
    bool acceptWaiting();

    std::size_t activeRequests() const { return m_activeRequests; }
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    boost::asio::awaitable<void> acceptLoop();
    void adopt(boost::asio::ip::tcp::socket);
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection>);

    boost::asio::io_context& m_context;
    std::size_t m_mostConnections;
    std::function<CallerLimits()> m_limits;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    std::size_t m_activeRequests = 0;
    bool m_isClosing = false;
};

}
