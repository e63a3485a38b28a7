#include "chiveshelf/peer/PeerClient.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Mailbox.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/write.hpp>

namespace chiveshelf::peer {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr auto connectTimeout = std::chrono::milliseconds(400);
    constexpr auto checkInterval = std::chrono::milliseconds(200);
    constexpr auto pingInterval = std::chrono::milliseconds(400);
    // If nothing is received for this long while calls are pending, a middlebox has dropped the connection or the host is frozen.
    constexpr auto inactivityTimeout = std::chrono::milliseconds(1'200);
    constexpr auto idleTimeout = std::chrono::seconds(30);

}

struct PeerClient::Pending {
    explicit Pending(asio::io_context& context)
        : timer(context)
    {
    }

    asio::steady_timer timer;
    std::optional<Result<std::string>> result;
};

struct PeerClient::Link {
    Link(asio::io_context& context, Address peer)
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
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending;
    Clock::time_point lastReceived;
    Clock::time_point lastUsed;
    Clock::time_point lastPing;
    bool isConnected = false;
    bool isClosed = false;
    // Whether the connection is closed because it was not used for a long time.
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
    auto& entry = m_links[address];
    if (!entry) {
        entry = std::make_shared<Link>(m_context, address);
        spawnTask(m_context, "peer_client.run", run(entry));
    }
    const auto link = entry;
    const auto correlation = m_nextCorrelation++;
    const auto pending = std::make_shared<Pending>(m_context);
    if (link->pending.empty())
        link->lastReceived = link->lastPing = Clock::now();
    link->pending.emplace(correlation, pending);
    link->lastUsed = Clock::now();
    link->outgoing.push(serializeFrame({ FrameKind::Request, type, correlation, std::move(payload) }));
    pending->timer.expires_after(limit);
    boost::system::error_code ec;
    if (!pending->result)
        co_await pending->timer.async_wait(redirect_error(use_awaitable, ec));
    link->pending.erase(correlation);
    link->lastUsed = Clock::now();
    if (pending->result)
        co_return std::move(*pending->result);
    co_return failure(ErrorCode::Timeout, "no reply from " + toString(address), Verdict::MayHaveRun);
}

void PeerClient::disconnect(const Address& address)
{
    const auto it = m_links.find(address);
    if (it != m_links.end())
        close(*std::shared_ptr<Link>(it->second));
}

asio::awaitable<bool> PeerClient::connect(Link& link)
{
    asio::steady_timer timer(m_context, connectTimeout);
    timer.async_wait([&link](boost::system::error_code ec) {
        boost::system::error_code ignored;
        if (!ec)
            link.socket.close(ignored);
    });
    boost::system::error_code ec;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(link.address.ip), link.address.port);
    co_await link.socket.async_connect(endpoint, redirect_error(use_awaitable, ec));
    timer.cancel();
    if (ec || link.isClosed)
        co_return false;
    link.socket.set_option(asio::ip::tcp::no_delay(true), ec);
    link.isConnected = true;
    link.lastReceived = link.lastPing = Clock::now();
    co_return true;
}

asio::awaitable<void> PeerClient::run(std::shared_ptr<Link> link)
{
    if (co_await connect(*link)) {
        spawnTask(m_context, "peer_client.write_loop", writeLoop(link));
        spawnTask(m_context, "peer_client.watch", watch(link));
        while (true) {
            auto frame = co_await readFrame(link->socket);
            if (!frame)
                break;
            link->lastReceived = Clock::now();
            const auto it = link->pending.find(frame->correlation);
            if (frame->kind == FrameKind::Pong || it == link->pending.end())
                continue;
            if (frame->kind == FrameKind::Reply)
                it->second->result = std::move(frame->payload);
            else
                it->second->result = tl::unexpected(decodeError(frame->payload));
            it->second->timer.cancel();
        }
    }
    close(*link);
}

asio::awaitable<void> PeerClient::writeLoop(std::shared_ptr<Link> link)
{
    while (auto bytes = co_await link->outgoing.receive()) {
        boost::system::error_code ec;
        co_await asio::async_write(link->socket, asio::buffer(*bytes), redirect_error(use_awaitable, ec));
        if (ec)
            break;
    }
    close(*link);
}

asio::awaitable<void> PeerClient::watch(std::shared_ptr<Link> link)
{
    asio::steady_timer timer(m_context);
    while (!link->isClosed) {
        boost::system::error_code ec;
        timer.expires_after(checkInterval);
        co_await timer.async_wait(redirect_error(use_awaitable, ec));
        const auto now = Clock::now();
        const bool isUnresponsive = !link->pending.empty() && now - link->lastReceived > inactivityTimeout;
        const bool isUnused = link->pending.empty() && now - link->lastUsed > idleTimeout;
        if (isUnresponsive)
            logEvent(LogLevel::Warning, "peer_silent", { { "address", toString(link->address) } });
        link->isUnused = isUnused;
        if (isUnresponsive || isUnused) {
            close(*link);
            break;
        }
        if (!link->pending.empty() && now - link->lastPing > pingInterval) {
            link->lastPing = now;
            link->outgoing.push(serializeFrame({ FrameKind::Ping, MessageType::Enqueue, 0, {} }));
        }
    }
}

void PeerClient::close(Link& link)
{
    if (link.isClosed)
        return;
    link.isClosed = true;
    link.outgoing.close();
    boost::system::error_code ec;
    link.socket.close(ec);
    const auto it = m_links.find(link.address);
    if (it != m_links.end() && it->second.get() == &link)
        m_links.erase(it);
    if (m_onLost && !link.isUnused)
        m_onLost(link.address);
    const auto verdict = link.isConnected ? Verdict::MayHaveRun : Verdict::NotRun;
    for (const auto& [correlation, pending] : link.pending) {
        if (pending->result)
            continue;
        pending->result = failure(ErrorCode::Unavailable, "connection to " + toString(link.address) + " was lost", verdict);
        pending->timer.cancel();
    }
}

}
