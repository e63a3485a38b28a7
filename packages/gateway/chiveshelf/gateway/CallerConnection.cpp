#include "chiveshelf/gateway/CallerConnection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <nlohmann/json.hpp>

#include <limits>

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
    // Retry-After of bodies for which the process has no memory. Within this time, stalled bodies count as slow and give way.
    constexpr std::chrono::milliseconds noRoomRetryAfter { 1'000 };
    constexpr std::size_t bodyPieceBytes = 16 * 1024;
    // The buffer of a connection is kept between requests up to this size.
    constexpr std::size_t keptBufferBytes = 4 * 1024;
    // Time after which a connection that sends no complete header may have to give its place to another one.
    constexpr std::chrono::milliseconds minUnusedTime { 500 };
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
    case CloseReason::NoRoom:
        return "no_room";
    case CloseReason::SlowBody:
        return "slow_body";
    case CloseReason::Displaced:
        return "displaced";
    case CloseReason::Stopping:
        return "stopping";
    case CloseReason::Error:
        break;
    }
    return "error";
}

std::string formatLocalResponse(const LocalResponse& response, bool isKeepAlive, bool hasBody)
{
    const nlohmann::json body { { "error", { { "code", response.code }, { "message", response.message } } } };
    const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    const auto reason = beast::http::obsolete_reason(static_cast<beast::http::status>(response.status));
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " + std::string(reason) + "\r\nContent-Type: application/json\r\n";
    if (response.retryAfter)
        out += "Retry-After: " + secondsText(*response.retryAfter) + "\r\n";
    if (!isKeepAlive)
        out += "Connection: close\r\n";
    return out + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + (hasBody ? text : "");
}

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, std::shared_ptr<BodyBudget> budget, std::function<CallerLimits()> limits)
    : m_socket(std::move(socket))
    , m_budget(std::move(budget))
    , m_limits(std::move(limits))
    , m_timer(m_socket.get_executor())
    , m_disconnectTimer(m_socket.get_executor())
{
}

void CallerConnection::expireAt(TimePoint time)
{
    m_expiry = time;
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

asio::awaitable<std::optional<CallerRequest>> CallerConnection::refuseRequest(unsigned status, const char* code, const char* message, std::optional<std::chrono::milliseconds> retryAfter)
{
    m_isKeepAlive = false;
    LocalResponse refusal { status, code, message, retryAfter };
    co_await respond(std::move(refusal));
    co_return std::nullopt;
}

asio::awaitable<std::optional<CallerRequest>> CallerConnection::refuseBody(BodyResult result, const boost::system::error_code& ec)
{
    if (result == BodyResult::NoRoom) {
        m_closeReason = CloseReason::NoRoom;
        co_return co_await refuseRequest(503, "no_room", "this host has no memory for the request body; it was not read", noRoomRetryAfter);
    }
    if (m_isBodyDropped) {
        m_closeReason = CloseReason::SlowBody;
        co_return co_await refuseRequest(408, "slow_body", "the request body arrived too slowly while this host was short of memory");
    }
    if (m_hasExpired)
        co_return co_await refuseRequest(408, "timeout", "timed out while receiving the request body");
    if (const auto refusal = responseForReadError(ec))
        co_return co_await refuseRequest(refusal->status, refusal->code, refusal->message);
    if (m_closeReason != CloseReason::Displaced)
        m_closeReason = CloseReason::Caller;
    co_return std::nullopt;
}

asio::awaitable<CallerConnection::BodyResult> CallerConnection::admitBody(const Parser& parser, HeldBody& held, std::string& body)
{
    if (const auto length = parser.content_length()) {
        // The whole length at once, so that a body that doesn't fit is refused before any of it is read.
        if (!held.resize(*length, std::chrono::steady_clock::now()))
            co_return BodyResult::NoRoom;
        body.reserve(*length);
    }
    const bool isAwaited = beast::iequals(parser.get()[beast::http::field::expect], "100-continue");
    if (isAwaited && !co_await write("HTTP/1.1 100 Continue\r\n\r\n"))
        co_return BodyResult::Failed;
    co_return BodyResult::Complete;
}

asio::awaitable<CallerConnection::BodyResult> CallerConnection::readBody(Parser& parser, CallerLimits initialLimits, HeldBody& held, std::string& body, boost::system::error_code& ec)
{
    if (parser.content_length().value_or(0) > maxBodyBytes(initialLimits)) {
        ec = beast::http::error::body_limit;
        co_return BodyResult::Failed;
    }
    const auto admission = co_await admitBody(parser, held, body);
    if (admission != BodyResult::Complete)
        co_return admission;
    // Parses as many chunks as have arrived at once. A body of the smallest chunks would take too long otherwise.
    parser.eager(true);
    bool isMoreNeeded = m_buffer.size() == 0;
    while (!parser.is_done()) {
        if (isMoreNeeded)
            co_await readPiece(parser, ec);
        if (ec || m_hasExpired || m_isBodyDropped)
            co_return BodyResult::Failed;
        const auto maxBytes = maxBodyBytes(initialLimits);
        if (!takeBody(parser, maxBytes, held, body, ec))
            co_return BodyResult::NoRoom;
        if (body.size() > maxBytes)
            ec = beast::http::error::body_limit;
        isMoreNeeded = m_buffer.size() == 0 || ec == beast::http::error::need_more;
        if (ec == beast::http::error::need_more)
            ec = {};
        if (ec)
            co_return BodyResult::Failed;
    }
    held.complete();
    co_return BodyResult::Complete;
}

asio::awaitable<void> CallerConnection::readPiece(const Parser& parser, boost::system::error_code& ec)
{
    // A chunk header or trailers without end.
    if (m_buffer.size() + bodyPieceBytes > m_buffer.max_size()) {
        ec = beast::http::error::header_limit;
        co_return;
    }
    const auto left = parser.content_length_remaining();
    const auto wanted = left ? std::min<std::size_t>(std::max<std::size_t>(*left, 1), bodyPieceBytes) : bodyPieceBytes;
    const auto n = co_await m_socket.async_read_some(m_buffer.prepare(wanted), redirect_error(use_awaitable, ec));
    m_buffer.commit(n);
    if (m_arrivingBody)
        m_arrivingBody->onReceived(n, std::chrono::steady_clock::now());
}

bool CallerConnection::takeBody(Parser& parser, std::uint64_t maxBytes, HeldBody& held, std::string& body, boost::system::error_code& ec)
{
    const auto size = body.size();
    const auto left = parser.content_length_remaining();
    const auto room = left ? std::min<std::size_t>(*left, m_buffer.size()) : m_buffer.size();
    if (size + room > body.capacity()) {
        const auto capacity = std::max<std::size_t>(size + room, std::min<std::size_t>(2 * size, maxBytes));
        if (!held.resize(capacity, std::chrono::steady_clock::now()))
            return false;
        body.reserve(capacity);
    }
    body.resize(size + room);
    auto& piece = parser.get().body();
    piece.data = body.data() + size;
    piece.size = room;
    piece.more = true;
    m_buffer.consume(parser.put(m_buffer.data(), ec));
    body.resize(size + room - piece.size);
    return true;
}

void CallerConnection::dropBody()
{
    m_isBodyDropped = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void CallerConnection::releaseBuffer()
{
    if (m_buffer.size() == 0 && m_buffer.capacity() > keptBufferBytes)
        m_buffer.shrink_to_fit();
}

std::optional<TimePoint> CallerConnection::unusedSince(TimePoint now) const
{
    // A closed connection gives no further place.
    if (!m_isReading || !m_socket.is_open())
        return std::nullopt;
    const bool isUnused = m_isIdle || (m_arrivingBody ? m_arrivingBody->isSlow(now) : now - m_readSince >= minUnusedTime);
    return isUnused ? std::optional(m_readSince) : std::nullopt;
}

void CallerConnection::applyIdleTime()
{
    if (m_isReading && m_isIdle)
        expireAt(m_readSince + m_limits().idleTime + idleMargin);
}

asio::awaitable<std::optional<CallerRequest>> CallerConnection::read()
{
    boost::system::error_code ec;
    m_isIdle = true;
    m_isReading = true;
    m_readSince = std::chrono::steady_clock::now();
    if (m_buffer.size() == 0) {
        applyIdleTime();
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
    m_readSince = std::chrono::steady_clock::now();
    // Only now: a connection may have been idle for longer than new limits take to come into force.
    const auto limits = m_limits();
    expireAfter(limits.headerTime);
    Parser parser;
    m_buffer.max_size(std::max(limits.headerBytes + bufferReserve, m_buffer.size()));
    parser.header_limit(limits.headerBytes);
    // readBody() checks the body, since its limit may be raised while it arrives.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await beast::http::async_read_header(m_socket, m_buffer, parser, redirect_error(use_awaitable, ec));
    // The method is known even if the rest of the header is invalid.
    m_isHeadRequest = parser.get().method() == beast::http::verb::head;
    if (m_hasExpired)
        co_return co_await refuseRequest(408, "timeout", "timed out while receiving the request header");
    if (ec)
        co_return co_await refuseBody(BodyResult::Failed, ec);
    expireAfter(bodyTimeout);
    if (!hasUnambiguousFraming(parser.get()))
        co_return co_await refuseRequest(400, "invalid_request", "the framing of the request body is ambiguous");
    auto held = std::make_unique<HeldBody>(m_budget, std::chrono::steady_clock::now(), [this] { dropBody(); });
    m_arrivingBody = held.get();
    std::string body;
    const auto result = co_await readBody(parser, limits, *held, body, ec);
    m_arrivingBody = nullptr;
    if (result != BodyResult::Complete) {
        held.reset();
        std::string().swap(body);
        co_return co_await refuseBody(result, ec);
    }
    disableExpiry();
    releaseBuffer();
    m_isReading = false;
    m_isKeepAlive = parser.keep_alive();
    beast::http::request<beast::http::string_body> message(std::move(parser.get().base()), std::move(body));
    CallerRequest out { std::move(message), std::chrono::steady_clock::now(), std::move(held) };
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
    auto bytes = formatLocalResponse(response, m_isKeepAlive, !m_isHeadRequest);
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

void CallerConnection::close(CloseReason reason)
{
    m_closeReason = reason;
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
