#include "chiveshelf/peer/PeerClient.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Mailbox.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/core/TimeLimit.h"

#include <boost/asio/write.hpp>

namespace chiveshelf::peer {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(400);
    constexpr auto connectionCheckInterval = std::chrono::milliseconds(200);
    constexpr auto pingInterval = std::chrono::milliseconds(400);
    // If nothing is received for this long while calls are pending, a middlebox has dropped the connection or the host hangs.
    constexpr auto inactivityTimeout = std::chrono::milliseconds(1'200);
    constexpr auto idleTimeout = std::chrono::seconds(30);

}

struct PeerClient::PendingCall {
    explicit PendingCall(asio::io_context& context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    std::optional<Result<std::string>> result;
};

struct PeerClient::Connection {
    Connection(asio::io_context& context, Address peer)
        : address(std::move(peer))
        , socket(context)
        , outgoing(context)
        , lastReceived(Clock::now())
        , lastUsed(lastReceived)
        , lastPing(lastReceived)
    {
    }

    Address address;
    asio::ip::tcp::socket socket;
    Mailbox<std::string> outgoing;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> pending;
    Clock::time_point lastReceived;
    Clock::time_point lastUsed;
    Clock::time_point lastPing;
    bool isConnected = false;
    bool isClosed = false;
    // Whether the connection was closed after the idle timeout, which is not reported as a failure.
    bool isUnused = false;
};

PeerClient::PeerClient(asio::io_context& context)
    : m_context(context)
{
}

PeerClient::~PeerClient() = default;

asio::awaitable<Result<std::string>> PeerClient::sendRequest(Address address, MessageType type, std::string payload,
    std::chrono::milliseconds limit)
{
    auto& entry = m_connections[address];
    if (!entry) {
        entry = std::make_shared<Connection>(m_context, address);
        spawnTask(m_context, "peer_client.run", run(entry));
    }
    const auto connection = entry;
    const auto correlation = m_nextCorrelation++;
    const auto pending = std::make_shared<PendingCall>(m_context);
    if (connection->pending.empty())
        connection->lastReceived = connection->lastPing = Clock::now();
    connection->pending.emplace(correlation, pending);
    connection->lastUsed = Clock::now();
    connection->outgoing.push(serializeFrame({ FrameKind::Request, type, correlation, std::move(payload) }));
    pending->timer.expires_at(Clock::time_point::max());
    const TimeLimit timeLimit(m_context.get_executor(), limit, [pending] { pending->timer.cancel(); });
    boost::system::error_code ec;
    if (!pending->result)
        co_await pending->timer.async_wait(redirect_error(use_awaitable, ec));
    connection->pending.erase(correlation);
    connection->lastUsed = Clock::now();
    if (pending->result)
        co_return std::move(*pending->result);
    co_return failure(ErrorCode::Timeout, "no reply from " + toString(address), Verdict::MayHaveRun);
}

void PeerClient::disconnect(const Address& address)
{
    const auto it = m_connections.find(address);
    if (it != m_connections.end())
        close(*std::shared_ptr<Connection>(it->second));
}

asio::awaitable<bool> PeerClient::connect(Connection& connection)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(connection.address.ip), connection.address.port);
    auto ec = co_await connectWithin(connection.socket, endpoint, connectTimeout);
    if (ec || connection.isClosed)
        co_return false;
    connection.socket.set_option(asio::ip::tcp::no_delay(true), ec);
    connection.isConnected = true;
    connection.lastReceived = connection.lastPing = Clock::now();
    co_return true;
}

asio::awaitable<void> PeerClient::run(std::shared_ptr<Connection> connection)
{
    if (co_await connect(*connection)) {
        spawnTask(m_context, "peer_client.write_loop", writeLoop(connection));
        spawnTask(m_context, "peer_client.check_loop", checkLoop(connection));
        while (true) {
            auto frame = co_await readFrame(connection->socket);
            if (!frame)
                break;
            connection->lastReceived = Clock::now();
            const auto it = connection->pending.find(frame->correlation);
            if (frame->kind == FrameKind::Pong || it == connection->pending.end())
                continue;
            if (frame->kind == FrameKind::Reply)
                it->second->result = std::move(frame->payload);
            else
                it->second->result = tl::unexpected(decodeError(frame->payload));
            it->second->timer.cancel();
        }
    }
    close(*connection);
}

asio::awaitable<void> PeerClient::writeLoop(std::shared_ptr<Connection> connection)
{
    while (auto bytes = co_await connection->outgoing.receive()) {
        boost::system::error_code ec;
        co_await asio::async_write(connection->socket, asio::buffer(*bytes), redirect_error(use_awaitable, ec));
        if (ec)
            break;
    }
    close(*connection);
}

asio::awaitable<void> PeerClient::checkLoop(std::shared_ptr<Connection> connection)
{
    asio::steady_timer timer(m_context);
    while (!connection->isClosed) {
        boost::system::error_code ec;
        timer.expires_after(connectionCheckInterval);
        co_await timer.async_wait(redirect_error(use_awaitable, ec));
        const auto now = Clock::now();
        // The time for which this host stood still is no silence of the peer.
        connection->lastReceived = std::min(now, connection->lastReceived + (now - timer.expiry()));
        const bool isUnresponsive = !connection->pending.empty() && now - connection->lastReceived > inactivityTimeout;
        const bool isUnused = connection->pending.empty() && now - connection->lastUsed > idleTimeout;
        if (isUnresponsive)
            logEvent(LogLevel::Warning, "peer_silent", { { "address", toString(connection->address) } });
        connection->isUnused = isUnused;
        if (isUnresponsive || isUnused) {
            close(*connection);
            break;
        }
        if (!connection->pending.empty() && now - connection->lastPing > pingInterval) {
            connection->lastPing = now;
            connection->outgoing.push(serializeFrame({ FrameKind::Ping, MessageType::Enqueue, 0, {} }));
        }
    }
}

void PeerClient::close(Connection& connection)
{
    if (connection.isClosed)
        return;
    connection.isClosed = true;
    connection.outgoing.close();
    boost::system::error_code ec;
    connection.socket.close(ec);
    const auto it = m_connections.find(connection.address);
    if (it != m_connections.end() && it->second.get() == &connection)
        m_connections.erase(it);
    if (m_onLost && !connection.isUnused)
        m_onLost(connection.address);
    const auto verdict = connection.isConnected ? Verdict::MayHaveRun : Verdict::NotRun;
    for (const auto& [correlation, pending] : connection.pending) {
        if (pending->result)
            continue;
        pending->result = failure(ErrorCode::Unavailable, "connection to " + toString(connection.address) + " was lost", verdict);
        pending->timer.cancel();
    }
}

}
