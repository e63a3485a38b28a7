#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/peer/Codec.h"
#include "chiveshelf/peer/Frame.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace chiveshelf::peer {

// Message that is sent as a request: it declares its type number and the type of its reply.
template <typename T>
concept PeerRequest = requires
{
    {
        T::messageType
        } -> std::convertible_to<MessageType>;
    typename T::Reply;
};

// Serves requests from other hosts. Register a handler per request type with handle(), then call start().
class PeerServer {
public:
    explicit PeerServer(boost::asio::io_context&);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    // Registers the handler of a request type. Each request runs in its own coroutine.
    template <PeerRequest Request>
    void handle(std::function<boost::asio::awaitable<Result<typename Request::Reply>>(Request)> handler)
    {
        m_handlers[Request::messageType] = [handler = std::move(handler)](std::string bytes) -> boost::asio::awaitable<Result<std::string>> {
            auto request = decode<Request>(bytes);
            if (!request)
                co_return failure(ErrorCode::InvalidRequest, "malformed message", Verdict::NotRun);
            auto reply = co_await handler(std::move(*request));
            if (!reply)
                co_return tl::unexpected(reply.error());
            co_return encode(*reply);
        };
    }

    // Binds the address and starts to accept connections. Fails with Unavailable if the address can't be bound.
    Result<void> start(const Address&);

    // Closes the listening socket and all connections.
    void stop();

    Address address() const { return m_address; }

private:
    struct Connection;
    using ByteHandler = std::function<boost::asio::awaitable<Result<std::string>>(std::string)>;

    boost::asio::awaitable<void> acceptLoop();
    // Closes connections on which nothing was received for the inactivity timeout.
    boost::asio::awaitable<void> sweepLoop();
    boost::asio::awaitable<void> readLoop(std::shared_ptr<Connection>);
    boost::asio::awaitable<void> writeLoop(std::shared_ptr<Connection>);
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection>, Frame);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Address m_address;
    std::map<MessageType, ByteHandler> m_handlers;
    std::set<std::shared_ptr<Connection>> m_connections;
};

}
