#include "chiveshelf/http/Server.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Sockets.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/core/TimeLimit.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace chiveshelf::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

    // Delay after a failed accept, for example when the process has no free file descriptors.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);
    // Maximum idle time of a connection after stopAccepting(). It is not zero because a request may already be on its way.
    constexpr auto stoppingIdleTimeout = std::chrono::milliseconds(500);

    constexpr int sendBufferBytes = 128 * 1024;

    Error writeError(const boost::system::error_code& ec)
    {
        return Error { ErrorCode::Cancelled, "write to peer failed: " + ec.message(), Verdict::MayHaveRun, std::nullopt };
    }

    // Returns the response status for a request that can't be read, or nullopt if the connection was closed.
    std::optional<Status> statusForReadError(const boost::system::error_code& ec)
    {
        if (ec == beast::http::error::header_limit)
            return Status::request_header_fields_too_large;
        if (ec == beast::http::error::body_limit)
            return Status::payload_too_large;
        if (ec == beast::error::timeout)
            return Status::request_timeout;
        const bool isParseError = ec.category() == beast::http::make_error_code(beast::http::error::bad_method).category();
        if (isParseError && ec != beast::http::error::end_of_stream && ec != beast::http::error::partial_message)
            return Status::bad_request;
        return std::nullopt;
    }

    std::string errorBody(Status status)
    {
        const auto reason = beast::http::obsolete_reason(status);
        return R"({"error":{"code":"invalid_request","message":")" + std::string(reason) + R"(","ran":"no"}})";
    }

}

struct Server::Connection {
    explicit Connection(asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isIdle = true;
};

Exchange::Exchange(beast::tcp_stream& stream, Request request, ServerLimits limits, const bool& isClosing)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_limits(limits)
    , m_isClosing(isClosing)
    , m_keepAlive(m_request.keep_alive())
{
}

asio::awaitable<Result<void>> Exchange::respond(Response response)
{
    m_hasStarted = true;
    m_keepAlive = m_keepAlive && !m_isClosing;
    response.keep_alive(m_keepAlive);
    response.prepare_payload();
    beast::http::response_serializer<Response::body_type> serializer { response };
    boost::system::error_code ec;
    m_stream.expires_after(m_limits.write);
    if (hasBody())
        co_await beast::http::async_write(m_stream, serializer, redirect_error(use_awaitable, ec));
    else
        co_await beast::http::async_write_header(m_stream, serializer, redirect_error(use_awaitable, ec));
    if (ec) {
        m_keepAlive = false;
        co_return tl::unexpected(writeError(ec));
    }
    co_return Result<void> {};
}

asio::awaitable<Result<void>> Exchange::startStream(Status status, std::string_view contentType,
    std::vector<std::pair<std::string, std::string>> headers)
{
    m_hasStarted = true;
    m_keepAlive = m_keepAlive && !m_isClosing;
    beast::http::response<beast::http::empty_body> response { status, 11 };
    response.set(beast::http::field::content_type, beast::string_view(contentType.data(), contentType.size()));
    for (const auto& [name, value] : headers)
        response.set(name, value);
    response.keep_alive(m_keepAlive);
    response.chunked(true);
    beast::http::response_serializer<beast::http::empty_body> serializer { response };
    boost::system::error_code ec;
    m_stream.expires_after(m_limits.write);
    co_await beast::http::async_write_header(m_stream, serializer, redirect_error(use_awaitable, ec));
    if (ec) {
        m_keepAlive = false;
        co_return tl::unexpected(writeError(ec));
    }
    co_return Result<void> {};
}

asio::awaitable<Result<void>> Exchange::write(std::string_view data)
{
    if (data.empty() || !hasBody())
        co_return Result<void> {};
    boost::system::error_code ec;
    m_stream.expires_after(m_limits.write);
    co_await asio::async_write(m_stream, beast::http::make_chunk(asio::buffer(data)), redirect_error(use_awaitable, ec));
    if (ec) {
        m_keepAlive = false;
        co_return tl::unexpected(writeError(ec));
    }
    co_return Result<void> {};
}

asio::awaitable<Result<void>> Exchange::finishStream()
{
    if (!hasBody())
        co_return Result<void> {};
    boost::system::error_code ec;
    m_stream.expires_after(m_limits.write);
    co_await asio::async_write(m_stream, beast::http::make_chunk_last(), redirect_error(use_awaitable, ec));
    if (ec) {
        m_keepAlive = false;
        co_return tl::unexpected(writeError(ec));
    }
    co_return Result<void> {};
}

void Exchange::abort()
{
    m_keepAlive = false;
    m_stream.close();
}

bool Exchange::peerHasClosed()
{
    if (!m_stream.socket().is_open())
        return true;
    char byte = 0;
    const auto n = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

Server::Server(asio::io_context& context, ServerLimits limits, Handler handler)
    : m_context(context)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_acceptor(context)
{
}

Server::~Server() = default;

Result<void> Server::start(const Address& address)
{
    auto listening = listenOn(m_acceptor, address);
    if (!listening)
        return listening;
    m_address = toAddress(m_acceptor.local_endpoint());
    spawnLoop(m_context, "server.accept_loop", [this] { return acceptLoop(); });
    return {};
}

void Server::stopAccepting()
{
    m_isClosing = true;
    m_isStopping = true;
    for (const auto& connection : m_connections) {
        boost::system::error_code ec;
        // A request may have arrived that the connection's coroutine has not processed yet.
        const bool hasUnreadData = connection->stream.socket().available(ec) > 0;
        if (connection->isIdle && !hasUnreadData)
            connection->stream.close();
    }
    acceptQueuedConnections();
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

void Server::acceptQueuedConnections()
{
    // Closing the listening socket would reset queued connections, on which clients may already have sent requests.
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, ec);
        if (!ec)
            addConnection(std::move(socket));
    }
}

void Server::addConnection(asio::ip::tcp::socket socket)
{
    if (m_connections.size() >= m_limits.connections)
        return;
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    // Bounds the kernel memory for a peer that reads slowly; when the buffer is full, the handler waits.
    socket.set_option(asio::socket_base::send_buffer_size(sendBufferBytes), ec);
    const auto userTimeoutMs = static_cast<unsigned>(m_limits.write.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
    auto connection = std::make_shared<Connection>(std::move(socket));
    m_connections.insert(connection);
    spawnTask(m_context, "server.serve", serve(connection));
}

void Server::closeAll()
{
    stopAccepting();
    for (const auto& connection : m_connections)
        connection->stream.close();
}

asio::awaitable<void> Server::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code ec;
        asio::ip::tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, redirect_error(use_awaitable, ec));
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
            break;
        if (ec) {
            logEvent(LogLevel::Warning, "accept_failed", { { "error", ec.message() } });
            asio::steady_timer timer(m_context, acceptRetryDelay);
            co_await timer.async_wait(redirect_error(use_awaitable, ec));
            continue;
        }
        addConnection(std::move(socket));
    }
}

asio::awaitable<void> Server::serve(std::shared_ptr<Connection> connection)
{
    try {
        while (co_await serveRequest(*connection)) {
        }
    } catch (const std::exception& error) {
        logEvent(LogLevel::Error, "connection_failed", { { "error", error.what() } });
    }
    boost::system::error_code ec;
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    connection->stream.close();
    m_connections.erase(connection);
}

asio::awaitable<bool> Server::serveRequest(Connection& connection)
{
    boost::system::error_code ec;
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(m_limits.headerBytes);
    parser.body_limit(m_limits.bodyBytes);
    connection.isIdle = true;
    if (connection.buffer.size() == 0) {
        // The timeout of tcp_stream does not apply to a wait on the underlying socket.
        TimeLimit idleLimit(m_context.get_executor(), m_isStopping ? stoppingIdleTimeout : m_limits.idle, [&connection] {
            boost::system::error_code ignored;
            // Only its handler is outstanding if a request has arrived by now.
            if (connection.stream.socket().available(ignored) == 0)
                connection.stream.close();
        });
        co_await connection.stream.socket().async_wait(asio::socket_base::wait_read, redirect_error(use_awaitable, ec));
        if (ec)
            co_return false;
    }
    connection.isIdle = false;
    connection.stream.expires_after(m_limits.receive);
    co_await beast::http::async_read(connection.stream, connection.buffer, parser, redirect_error(use_awaitable, ec));
    if (ec) {
        const auto status = statusForReadError(ec);
        if (status) {
            Request request;
            if (parser.get().method() == Verb::head)
                request.method(Verb::head);
            Exchange exchange(connection.stream, std::move(request), m_limits, m_isClosing);
            exchange.disableKeepAlive();
            co_await exchange.respond(makeResponse(*status, errorBody(*status)));
        }
        co_return false;
    }
    Exchange exchange(connection.stream, parser.release(), m_limits, m_isClosing);
    ++m_activeRequests;
    try {
        co_await m_handler(exchange);
    } catch (...) {
        --m_activeRequests;
        throw;
    }
    --m_activeRequests;
    co_return exchange.keepAlive() && exchange.hasStarted();
}

}
