#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/core/Error.h"
#include "chiveshelf/core/LogThrottle.h"
#include "chiveshelf/gateway/CallerConnection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace chiveshelf {

// Accepts connections of callers and passes each complete request to a handler. Supports keep-alive connections.
class GatewayServer {
public:
    using Handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<CallerConnection>, CallerRequest)>;

    // Bounds of what the kernel and the process hold for all connections.
    struct Bounds {
        std::size_t connections = 0;
        // Size of the kernel's receive buffer of each connection.
        std::size_t receiveBufferBytes = 0;

        auto operator<=>(const Bounds&) const = default;
    };

    // `limits` returns the limits that are in force, which change with the routing tables. A connection beyond the bound takes the
    // place of one that is not in use, or is closed at once.
    GatewayServer(boost::asio::io_context&, const Bounds&, std::shared_ptr<BodyBudget>, std::function<CallerLimits()> limits, Handler);
    GatewayServer(const GatewayServer&) = delete;
    GatewayServer& operator=(const GatewayServer&) = delete;

    // Binds the address and starts to accept connections. Fails with Unavailable if the address can't be bound.
    Result<void> start(const Address&);

    // From now on, each connection is closed after its current response.
    void announceClose() { m_isClosing = true; }
    bool isClosing() const { return m_isClosing; }

    // Applies a changed idle time to the connections that are waiting for a request.
    void applyIdleTime();

    // Closes the connections that have neither a request in progress nor unread input.
    void closeIdle();

    // Accepts the connections in the kernel's backlog, so that none of them is reset when the process exits. Returns whether there
    // were any.
    bool acceptPending();

    // Resets the connections of all requests in progress. Without a reset, a caller could take the end of the process for the end of a
    // response that has neither a length nor chunks.
    void abortActive();

    std::size_t activeRequests() const { return m_active->size(); }
    std::size_t connectionCount() const { return m_connections.size(); }
    // Connections that were closed at once, since none could give its place.
    std::uint64_t refusedConnections() const { return m_refusedConnections; }
    // Closed connections by reason.
    const std::map<std::string, std::uint64_t>& closedConnections() const { return m_closedConnections; }

private:
    boost::asio::awaitable<void> acceptLoop();
    void addConnection(boost::asio::ip::tcp::socket);
    // Closes a connection that is not in use: the one whose request has been arriving too slowly for longest, or else the one that has been idle for
    // longest. Returns false if there is none.
    bool displaceConnection();
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection>);
    // Counts a closed connection, and logs it if the caller may have lost a request by the close.
    void recordClose(const CallerConnection&);

    boost::asio::io_context& m_context;
    Bounds m_bounds;
    std::shared_ptr<BodyBudget> m_bodyBudget;
    std::function<CallerLimits()> m_limits;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    // The connections of the requests in progress. Shared with the coroutines that serve them, which the context may destroy later than
    // this object.
    std::shared_ptr<std::set<CallerConnection*>> m_active = std::make_shared<std::set<CallerConnection*>>();
    std::map<std::string, std::uint64_t> m_closedConnections;
    std::uint64_t m_refusedConnections = 0;
    LogThrottle m_connectionLog;
    LogThrottle m_bodyLog;
    bool m_isClosing = false;
};

}
