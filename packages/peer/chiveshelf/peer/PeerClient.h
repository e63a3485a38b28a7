#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/peer/PeerServer.h"

#include <chrono>
#include <functional>
#include <memory>

namespace chiveshelf::peer {

// Sends requests to other hosts. All calls to an address share one connection, which is pinged while calls are pending. If
// nothing arrives for the inactivity timeout, the connection is closed and its pending calls fail with MayHaveRun. If the
// connection could not be established, they fail with NotRun.
class PeerClient {
public:
    explicit PeerClient(boost::asio::io_context&);
    ~PeerClient();
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    // Sends a request and waits for its reply. Fails with Timeout and MayHaveRun if there is none within `limit`.
    template <PeerRequest Request>
    boost::asio::awaitable<Result<typename Request::Reply>> call(Address address, Request request, std::chrono::milliseconds limit)
    {
        auto bytes = co_await sendRequest(std::move(address), Request::messageType, encode(request), limit);
        if (!bytes)
            co_return tl::unexpected(bytes.error());
        auto reply = decode<typename Request::Reply>(*bytes);
        if (!reply)
            co_return failure(ErrorCode::Internal, "malformed reply from peer", Verdict::MayHaveRun);
        co_return std::move(*reply);
    }

    // Closes the connection to a host, for example after membership has removed the host. Pending calls fail.
    void disconnect(const Address&);

    // Registers a callback for connections that failed or were closed. It is not called for a connection that is closed after the
    // idle timeout. The callback runs before the pending calls fail.
    void onLost(std::function<void(const Address&)> listener) { m_onLost = std::move(listener); }

    std::size_t connectionCount() const { return m_connections.size(); }

private:
    struct PendingCall;
    struct Connection;

    boost::asio::awaitable<Result<std::string>> sendRequest(Address, MessageType, std::string payload, std::chrono::milliseconds limit);
    boost::asio::awaitable<void> run(std::shared_ptr<Connection>);
    boost::asio::awaitable<void> writeLoop(std::shared_ptr<Connection>);
    // Pings the peer while calls are pending, and closes the connection if it is unresponsive or unused.
    boost::asio::awaitable<void> checkLoop(std::shared_ptr<Connection>);
    boost::asio::awaitable<bool> connect(Connection&);
    void close(Connection&);

    boost::asio::io_context& m_context;
    std::map<Address, std::shared_ptr<Connection>> m_connections;
    std::function<void(const Address&)> m_onLost;
    std::uint64_t m_nextCorrelation = 1;
};

}
