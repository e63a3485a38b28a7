#include "chiveshelf/peer/PeerServer.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Mailbox.h"
#include "chiveshelf/core/Sockets.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/write.hpp>

namespace chiveshelf::peer {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

    // Delay after a failed accept, for example when the process has no free file descriptors.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
    // Clients close connections that are unused for 30 s. A connection that is inactive for longer has lost its client without
    // being closed.
    constexpr auto inactivityTimeout = std::chrono::seconds(60);
    constexpr auto inactivityCheckInterval = std::chrono::seconds(10);
    constexpr std::size_t maxQueuedReplies = 1'000;

}

struct PeerServer::Connection {
    Connection(asio::io_context& context, asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
        , outgoing(context)
    {
    }

    asio::ip::tcp::socket socket;
    Mailbox<std::string> outgoing;
    std::chrono::steady_clock::time_point lastReceived = std::chrono::steady_clock::now();
};

PeerServer::PeerServer(asio::io_context& context)
    : m_context(context)
    , m_acceptor(context)
{
}

PeerServer::~PeerServer() = default;

Result<void> PeerServer::start(const Address& address)
{
    auto listening = listenOn(m_acceptor, address);
    if (!listening)
        return listening;
    m_address = { address.ip, m_acceptor.local_endpoint().port() };
    spawnLoop(m_context, "peer_server.accept_loop", [this] { return acceptLoop(); });
    spawnLoop(m_context, "peer_server.sweep_loop", [this] { return sweepLoop(); });
    return {};
}

void PeerServer::stop()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto& connection : m_connections)
        connection->socket.close(ec);
}

asio::awaitable<void> PeerServer::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code ec;
        asio::ip::tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, redirect_error(use_awaitable, ec));
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
            break;
        if (ec) {
            asio::steady_timer timer(m_context, acceptRetryDelay);
            co_await timer.async_wait(redirect_error(use_awaitable, ec));
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        auto connection = std::make_shared<Connection>(m_context, std::move(socket));
        m_connections.insert(connection);
        spawnTask(m_context, "peer_server.read_loop", readLoop(connection));
        spawnTask(m_context, "peer_server.write_loop", writeLoop(connection));
    }
}

asio::awaitable<void> PeerServer::sweepLoop()
{
    asio::steady_timer timer(m_context);
    while (m_acceptor.is_open()) {
        boost::system::error_code ec;
        timer.expires_after(inactivityCheckInterval);
        co_await timer.async_wait(redirect_error(use_awaitable, ec));
        const auto oldestLastReceived = std::chrono::steady_clock::now() - inactivityTimeout;
        for (const auto& connection : m_connections) {
            if (connection->lastReceived < oldestLastReceived)
                connection->socket.close(ec);
        }
    }
}

asio::awaitable<void> PeerServer::readLoop(std::shared_ptr<Connection> connection)
{
    while (true) {
        auto frame = co_await readFrame(connection->socket);
        if (!frame)
            break;
        connection->lastReceived = std::chrono::steady_clock::now();
        // Closes the connection of a peer that sends requests without reading the replies, since the queue would grow without bound.
        if (connection->outgoing.size() > maxQueuedReplies)
            break;
        if (frame->kind == FrameKind::Ping)
            connection->outgoing.push(serializeFrame({ FrameKind::Pong, frame->type, frame->correlation, {} }));
        if (frame->kind == FrameKind::Request)
            spawnTask(m_context, "peer_server.serve", serve(connection, std::move(*frame)));
    }
    boost::system::error_code ec;
    connection->socket.close(ec);
    connection->outgoing.close();
    m_connections.erase(connection);
}

asio::awaitable<void> PeerServer::writeLoop(std::shared_ptr<Connection> connection)
{
    while (auto bytes = co_await connection->outgoing.receive()) {
        boost::system::error_code ec;
        co_await asio::async_write(connection->socket, asio::buffer(*bytes), redirect_error(use_awaitable, ec));
        if (ec)
            break;
    }
    boost::system::error_code ec;
    connection->socket.close(ec);
}

asio::awaitable<void> PeerServer::serve(std::shared_ptr<Connection> connection, Frame frame)
{
    const auto it = m_handlers.find(frame.type);
    Result<std::string> reply = failure(ErrorCode::InvalidRequest, "unknown message type", Verdict::NotRun);
    try {
        if (it != m_handlers.end())
            reply = co_await it->second(std::move(frame.payload));
    } catch (const std::exception& error) {
        logEvent(LogLevel::Error, "peer_handler_failed", { { "error", error.what() } });
        reply = failure(ErrorCode::Internal, error.what(), Verdict::MayHaveRun);
    }
    const auto kind = reply ? FrameKind::Reply : FrameKind::Failure;
    auto payload = reply ? std::move(*reply) : encodeError(reply.error());
    connection->outgoing.push(serializeFrame({ kind, frame.type, frame.correlation, std::move(payload) }));
}

}
