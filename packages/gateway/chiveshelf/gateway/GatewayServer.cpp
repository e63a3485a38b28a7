#include "chiveshelf/gateway/GatewayServer.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Sockets.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/http/Message.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Delay after a failed accept, for instance when file descriptors run out.
    constexpr std::chrono::milliseconds acceptRetryDelay { 20 };
    // Bounds the kernel memory used for a slowly reading caller.
    constexpr int sendBufferBytes = 128 * 1024;
    // Shortest time between two log lines about callers that were turned away.
    constexpr std::chrono::milliseconds logInterval { 1'000 };
    // TCP_USER_TIMEOUT: time within which a caller's host has to acknowledge sent bytes.
    constexpr unsigned userTimeoutMs = 5'000;

    // Lists a connection among those with a request in progress during its lifetime.
    class ActiveRequest {
    public:
        ActiveRequest(std::shared_ptr<std::set<CallerConnection*>> active, CallerConnection& connection)
            : m_active(std::move(active))
            , m_connection(connection)
        {
            m_active->insert(&m_connection);
        }
        ~ActiveRequest() { m_active->erase(&m_connection); }
        ActiveRequest(const ActiveRequest&) = delete;
        ActiveRequest& operator=(const ActiveRequest&) = delete;

    private:
        std::shared_ptr<std::set<CallerConnection*>> m_active;
        CallerConnection& m_connection;
    };

    void setOptions(asio::ip::tcp::socket& socket)
    {
        boost::system::error_code ec;
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        socket.set_option(asio::socket_base::send_buffer_size(sendBufferBytes), ec);
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
    }

}

GatewayServer::GatewayServer(asio::io_context& context, const Bounds& bounds, std::shared_ptr<BodyBudget> bodyBudget, std::function<CallerLimits()> limits, Handler handler)
    : m_context(context)
    , m_bounds(bounds)
    , m_bodyBudget(std::move(bodyBudget))
    , m_limits(std::move(limits))
    , m_handler(std::move(handler))
    , m_acceptor(context)
    , m_connectionLog(logInterval)
    , m_bodyLog(logInterval)
{
}

Result<void> GatewayServer::start(const Address& address)
{
    auto listening = listenOn(m_acceptor, address);
    if (!listening)
        return listening;
    // Accepted connections inherit the size. Setting it later would leave room for more bytes in the kernel's backlog.
    boost::system::error_code ec;
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(m_bounds.receiveBufferBytes)), ec);
    spawnLoop(m_context, "gateway_server.accept_loop", [this] { return acceptLoop(); });
    return {};
}

void GatewayServer::applyIdleTime()
{
    for (const auto& connection : m_connections)
        connection->applyIdleTime();
}

void GatewayServer::closeIdle()
{
    for (const auto& connection : m_connections) {
        if (connection->isIdle() && !connection->hasInput())
            connection->close();
    }
}

void GatewayServer::abortActive()
{
    for (auto* connection : *m_active)
        connection->abort(CloseReason::Stopping);
}

asio::awaitable<void> GatewayServer::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code ec;
        asio::ip::tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
            break;
        if (ec) {
            logEvent(LogLevel::Warning, "accept_failed", { { "error", ec.message() } });
            asio::steady_timer timer(m_context, acceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        addConnection(std::move(socket));
    }
}

void GatewayServer::addConnection(asio::ip::tcp::socket socket)
{
    // A displaced connection counts until the loop has ended its reader, so that a burst displaces one for each that is accepted.
    if (m_connections.size() >= m_bounds.connections) {
        const bool isDisplaced = displaceConnection();
        m_refusedConnections += isDisplaced ? 0 : 1;
        if (const auto n = m_connectionLog.record(std::chrono::steady_clock::now()))
            logEvent(LogLevel::Warning, "connections_full", { { "connections", m_connections.size() }, { "times", *n }, { "displaced", isDisplaced ? "yes" : "no" } });
        if (!isDisplaced)
            return;
    }
    setOptions(socket);
    auto connection = std::make_shared<CallerConnection>(std::move(socket), m_bodyBudget, m_limits);
    m_connections.insert(connection);
    spawnTask(m_context, "gateway_server.serve", serve(connection));
}

bool GatewayServer::displaceConnection()
{
    const auto now = std::chrono::steady_clock::now();
    CallerConnection* best = nullptr;
    std::pair<bool, TimePoint> bestRank;
    for (const auto& connection : m_connections) {
        const auto since = connection->unusedSince(now);
        if (!since || (connection->isIdle() && connection->hasInput()))
            continue;
        const std::pair<bool, TimePoint> rank { connection->isIdle(), *since };
        if (best && bestRank <= rank)
            continue;
        best = connection.get();
        bestRank = rank;
    }
    if (!best)
        return false;
    // An idle caller sees an orderly close, as at the end of the idle time.
    if (best->isIdle())
        best->close(CloseReason::Displaced);
    else
        best->abort(CloseReason::Displaced);
    return true;
}

bool GatewayServer::acceptPending()
{
    bool hasAccepted = false;
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, ec);
        if (ec)
            break;
        hasAccepted = true;
        addConnection(std::move(socket));
    }
    return hasAccepted;
}

asio::awaitable<void> GatewayServer::serve(std::shared_ptr<CallerConnection> connection)
{
    try {
        while (true) {
            auto request = co_await connection->read();
            if (!request)
                break;
            if (m_isClosing)
                connection->setKeepAlive(false);
            const ActiveRequest active(m_active, *connection);
            co_await m_handler(connection, std::move(*request));
            // Not closed if the response announced no close, since the next request may be on its way. closeIdle() closes it.
            if (!connection->isKeepAlive())
                break;
        }
        co_await connection->closeGracefully();
    } catch (const std::exception& error) {
        logEvent(LogLevel::Error, "connection_failed", { { "error", error.what() } });
        connection->abort(CloseReason::Error);
    }
    recordClose(*connection);
    m_connections.erase(connection);
}

void GatewayServer::recordClose(const CallerConnection& connection)
{
    const auto reason = closeReasonName(connection.closeReason());
    ++m_closedConnections[std::string(reason)];
    const bool isBodyRefused = connection.closeReason() == CloseReason::NoRoom || connection.closeReason() == CloseReason::SlowBody;
    if (isBodyRefused) {
        if (const auto n = m_bodyLog.record(std::chrono::steady_clock::now()))
            logEvent(LogLevel::Warning, "body_refused", { { "reason", reason }, { "times", *n }, { "held_bytes", m_bodyBudget->held() } });
    }
    if (connection.droppedBytes() > 0)
        logEvent(LogLevel::Info, "caller_bytes_dropped", { { "reason", reason }, { "bytes", connection.droppedBytes() } });
}

}
