#include "chiveshelf/gateway/CallerConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <nlohmann/json.hpp>

#include <poll.h>
#include <sys/socket.h>

namespace chiveshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

    // Time to receive a complete body after its header; enough for a megabyte over a slow link.
    constexpr std::chrono::milliseconds bodyTimeout { 15'000 };
    // Time that a request may be on its way when the idle time ends, over a full link and to a busy host.
    constexpr std::chrono::milliseconds idleMargin { 1'000 };
    // Time to read what has already arrived when a time limit ends.
    constexpr std::chrono::milliseconds arrivedInputTime { 50 };
    // Time for which a connection is still read after its last response. Closing it with unread bytes would reset it before the
    // caller has read the response.
    constexpr std::chrono::milliseconds lingerTime { 500 };
    constexpr std::size_t lingerPieceBytes = 16 * 1024;
    constexpr std::size_t maxLingerBytes = 4 * 1024 * 1024;
    // Room in the buffer in addition to a header of the maximum length.
    constexpr std::size_t bufferReserve = 64 * 1024;
    // Well below the 500 ms within which work for a disconnected caller has to stop.
    constexpr std::chrono::milliseconds disconnectCheckInterval { 150 };

    struct ReadErrorResponse {
        unsigned status;
        const char* code;
        const char* message;
    };

    // Returns the response for a request that could not be read, or nullopt if the connection was closed.
    std::optional<ReadErrorResponse> responseForReadError(const boost::system::error_code& ec)
    {
        if (ec == beast::http::error::header_limit)
            return ReadErrorResponse { 431, "header_too_large", "the request header exceeds the size limit" };
        if (ec == beast::http::error::body_limit)
            return ReadErrorResponse { 413, "body_too_large", "the request body exceeds the size limit" };
        const bool isParseError = ec.category() == beast::http::make_error_code(beast::http::error::bad_method).category();
        if (isParseError && ec != beast::http::error::end_of_stream && ec != beast::http::error::partial_message)
            return ReadErrorResponse { 400, "invalid_request", "the request is malformed" };
        return std::nullopt;
    }

    // Any transfer coding other than plain chunked would leave the end of the body ambiguous.
    bool hasUnambiguousFraming(const beast::http::fields& fields)
    {
        const auto n = fields.count(beast::http::field::transfer_encoding);
        if (n == 0)
            return fields.count(beast::http::field::content_length) <= 1;
        return n == 1 && beast::iequals(fields[beast::http::field::transfer_encoding], "chunked")
            && fields.count(beast::http::field::content_length) == 0;
    }

    std::string secondsText(std::chrono::milliseconds duration)
    {
        char buf[32];
        std::snprintf(buf, sizeof(buf), "%.3f", static_cast<double>(duration.count()) / 1'000);
        return buf;
    }

}

std::string_view closeReasonName(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Caller:
        return "caller";
    case CloseReason::LastResponse:
        return "last_response";
    case CloseReason::Idle:
        return "idle";
    case CloseReason::BrokenResponse:
        return "broken_response";
    case CloseReason::CallerGone:
        return "caller_gone";
    case CloseReason::Stopping:
        return "stopping";
    case CloseReason::Error:
        break;
    }
    return "error";
}

std::string formatLocalResponse(const LocalResponse& response, bool isKeepAlive)
{
    const nlohmann::json body { { "error", { { "code", response.code }, { "message", response.message } } } };
    const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    const auto reason = beast::http::obsolete_reason(static_cast<beast::http::status>(response.status));
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " + std::string(reason) + "\r\nContent-Type: application/json\r\n";
    if (response.retryAfter)
        out += "Retry-After: " + secondsText(*response.retryAfter) + "\r\n";
    if (!isKeepAlive)
        out += "Connection: close\r\n";
    return out + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

CallerConnection::CallerConnection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_disconnectTimer(m_socket.get_executor())
{
}

void CallerConnection::expireAfter(std::chrono::milliseconds duration)
{
    m_expiry = std::chrono::steady_clock::now() + duration;
    m_isExpiryExtended = false;
    if (m_expiry < m_timerAt)
        armTimer();
}

void CallerConnection::armTimer()
{
    m_timerAt = m_expiry;
    m_timer.expires_at(m_expiry);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        const auto connection = weak.lock();
        if (ec || !connection)
            return;
        connection->m_timerAt = TimePoint::max();
        if (connection->m_expiry == TimePoint::max())
            return;
        if (connection->m_expiry > std::chrono::steady_clock::now()) {
            connection->armTimer();
            return;
        }
        boost::system::error_code ignored;
        if (connection->m_socket.available(ignored) > 0 && !std::exchange(connection->m_isExpiryExtended, true)) {
            connection->m_expiry = std::chrono::steady_clock::now() + arrivedInputTime;
            connection->armTimer();
            return;
        }
        connection->m_hasExpired = true;
        connection->m_socket.cancel(ignored);
    });
}

asio::awaitable<std::optional<CallerRequest>> CallerConnection::refuseRequest(unsigned status, const char* code, const char* message)
{
    m_isKeepAlive = false;
    LocalResponse refusal { status, code, message, std::nullopt };
    co_await respond(std::move(refusal));
    co_return std::nullopt;
}

asio::awaitable<std::optional<CallerRequest>> CallerConnection::read(CallerLimits limits)
{
    boost::system::error_code ec;
    m_isIdle = true;
    if (m_buffer.size() == 0) {
        expireAfter(limits.idleTime + idleMargin);
        co_await m_socket.async_wait(asio::socket_base::wait_read, redirect_error(use_awaitable, ec));
        if (!m_socket.is_open())
            co_return std::nullopt;
        if (m_hasExpired) {
            // Closed unread, so that the caller of a crossing request knows that it may send it again.
            m_closeReason = CloseReason::Idle;
            m_socket.close(ec);
            co_return std::nullopt;
        }
        if (ec) {
            m_closeReason = CloseReason::Caller;
            co_return std::nullopt;
        }
    }
    // A caller that has given up may send the request again only if it was not read.
    if (isClosedByCaller() && hasInput()) {
        m_droppedBytes = m_buffer.size() + m_socket.available(ec);
        abort(CloseReason::CallerGone);
        co_return std::nullopt;
    }
    m_isIdle = false;
    expireAfter(limits.headerTime);
    beast::http::request_parser<beast::http::string_body> parser;
    m_buffer.max_size(std::max(limits.headerBytes + bufferReserve, m_buffer.size()));
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    co_await beast::http::async_read_header(m_socket, m_buffer, parser, redirect_error(use_awaitable, ec));
    if (m_hasExpired)
        co_return co_await refuseRequest(408, "timeout", "timed out while receiving the request header");
    if (!ec) {
        expireAfter(bodyTimeout);
        if (!hasUnambiguousFraming(parser.get()))
            co_return co_await refuseRequest(400, "invalid_request", "the framing of the request body is ambiguous");
        if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue") && !co_await write("HTTP/1.1 100 Continue\r\n\r\n"))
            co_return std::nullopt;
        if (!parser.is_done())
            co_await beast::http::async_read(m_socket, m_buffer, parser, redirect_error(use_awaitable, ec));
    }
    if (m_hasExpired)
        co_return co_await refuseRequest(408, "timeout", "timed out while receiving the request body");
    if (ec) {
        const auto refusal = responseForReadError(ec);
        if (refusal)
            co_return co_await refuseRequest(refusal->status, refusal->code, refusal->message);
        m_closeReason = CloseReason::Caller;
        co_return std::nullopt;
    }
    disableExpiry();
    m_isKeepAlive = parser.keep_alive();
    CallerRequest out { parser.release(), std::chrono::steady_clock::now() };
    co_return out;
}

asio::awaitable<bool> CallerConnection::write(std::string bytes)
{
    boost::system::error_code ec;
    co_await asio::async_write(m_socket, asio::buffer(bytes), redirect_error(use_awaitable, ec));
    if (ec)
        m_isDisconnected = true;
    co_return !ec;
}

asio::awaitable<void> CallerConnection::respond(LocalResponse response)
{
    auto bytes = formatLocalResponse(response, m_isKeepAlive);
    co_await write(std::move(bytes));
}

void CallerConnection::watchDisconnect(std::function<void()> onDisconnected)
{
    m_onDisconnected = std::move(onDisconnected);
    if (!m_isAwaitingReadable)
        awaitReadable();
}

void CallerConnection::checkDisconnect()
{
    if (m_onDisconnected && m_socket.is_open() && isClosedByCaller())
        handleDisconnect();
}

std::function<void(boost::system::error_code)> CallerConnection::makeDisconnectCheck()
{
    m_isAwaitingReadable = true;
    return [weak = weak_from_this()](boost::system::error_code ec) {
        const auto connection = weak.lock();
        if (!connection)
            return;
        connection->m_isAwaitingReadable = false;
        if (!ec)
            connection->onReadable();
    };
}

void CallerConnection::awaitReadable()
{
    m_socket.async_wait(asio::socket_base::wait_read, makeDisconnectCheck());
}

void CallerConnection::onReadable()
{
    if (!m_onDisconnected || !m_socket.is_open())
        return;
    char byte = 0;
    const auto n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        awaitReadable();
    else if (n > 0 && !isClosedByCaller())
        scheduleDisconnectCheck();
    else
        handleDisconnect();
}

bool CallerConnection::isClosedByCaller()
{
    pollfd entry { m_socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void CallerConnection::scheduleDisconnectCheck()
{
    m_disconnectTimer.expires_after(disconnectCheckInterval);
    m_disconnectTimer.async_wait(makeDisconnectCheck());
}

void CallerConnection::handleDisconnect()
{
    m_isDisconnected = true;
    const auto onDisconnected = std::exchange(m_onDisconnected, nullptr);
    onDisconnected();
}

bool CallerConnection::hasInput()
{
    boost::system::error_code ec;
    return m_buffer.size() > 0 || m_socket.available(ec) > 0;
}

void CallerConnection::close()
{
    m_closeReason = CloseReason::Stopping;
    boost::system::error_code ec;
    m_socket.close(ec);
}

void CallerConnection::abort(CloseReason reason)
{
    m_closeReason = reason;
    boost::system::error_code ec;
    // A linger time of 0 sends a reset, so the caller can't mistake the close for the end of the response.
    m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    m_socket.close(ec);
    m_isKeepAlive = false;
    m_isDisconnected = true;
}

asio::awaitable<void> CallerConnection::closeGracefully()
{
    m_timer.cancel();
    boost::system::error_code ec;
    if (!m_socket.is_open())
        co_return;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (!ec && !m_isDisconnected) {
        asio::steady_timer timer(m_socket.get_executor(), lingerTime);
        timer.async_wait([weak = weak_from_this()](boost::system::error_code timerError) {
            const auto connection = weak.lock();
            boost::system::error_code ignored;
            if (!timerError && connection)
                connection->m_socket.cancel(ignored);
        });
        std::string piece(lingerPieceBytes, '\0');
        std::size_t n = 0;
        while (!ec && n < maxLingerBytes)
            n += co_await m_socket.async_read_some(asio::buffer(piece), redirect_error(use_awaitable, ec));
        m_droppedBytes = n + m_buffer.size();
    }
    m_socket.close(ec);
}

}
