#pragma once

#include "chiveshelf/core/BodyBudget.h"
#include "chiveshelf/core/Time.h"
#include "chiveshelf/routing/RoutingTables.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chiveshelf {

// A complete request of a caller.
struct CallerRequest {
    boost::beast::http::request<boost::beast::http::string_body> message;
    // Arrival of the last byte.
    TimePoint arrivedAt;
    // Counts the body against the budget of the process until the request ends.
    std::unique_ptr<HeldBody> heldBody;
};

// A response that this host generates itself instead of relaying one of a runner.
struct LocalResponse {
    unsigned status = 503;
    // Machine-readable error code for callers and logs. Must not change.
    std::string_view code;
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter;
};

// Why a connection of a caller was closed.
enum class CloseReason {
    // The caller closed it, or it failed.
    Caller,
    // The response was the last one of the connection, as its header announced.
    LastResponse,
    // No request arrived within the idle time.
    Idle,
    // A response in progress could not be completed.
    BrokenResponse,
    // The caller was found to be gone while its request was in progress.
    CallerGone,
    // The budget of the process had no room for the body.
    NoRoom,
    // The body arrived too slowly while others didn't fit.
    SlowBody,
    // The connection awaited a request while others needed its place.
    Displaced,
    // This host shuts down.
    Stopping,
    // An unexpected error.
    Error,
};

std::string_view closeReasonName(CloseReason);

// A connection of a caller. Reads complete requests, writes responses and detects when the caller disconnects.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    // `limits` returns the limits that are in force at the time of the call.
    CallerConnection(boost::asio::ip::tcp::socket, std::shared_ptr<BodyBudget>, std::function<CallerLimits()> limits);
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    // Reads the next request. Returns nullopt if the connection was closed or has to be closed. A malformed, oversized or
    // incomplete request, or one whose body doesn't fit the budget, has then been answered with an error response, if the caller is
    // still connected. A request that arrives together with the close of its caller is not read.
    //
    // A request is held to the limits that are in force when its first byte arrives. If the limit of the body is raised while the request
    // arrives, the higher one applies.
    boost::asio::awaitable<std::optional<CallerRequest>> read();

    // Applies a changed idle time to a connection that is waiting for a request, counted from the start of the wait.
    void applyIdleTime();

    // Writes bytes. Returns false if the caller has disconnected.
    boost::asio::awaitable<bool> write(std::string bytes);

    // Sends a response that this host generates itself. A response to a HEAD request has no body.
    boost::asio::awaitable<void> respond(LocalResponse);

    // Calls `onDisconnected` once if the caller closes the connection before stopWatching(). Bytes of a pipelined request don't
    // hide the close.
    void watchDisconnect(std::function<void()> onDisconnected);
    void stopWatching() { m_onDisconnected = nullptr; }

    // Checks at once whether the caller has closed the connection, before the loop tells.
    void checkDisconnect();
    bool isDisconnected() const { return m_isDisconnected; }

    // Closes the connection with a reset, so that the caller sees that a response in progress is incomplete.
    void abort(CloseReason = CloseReason::BrokenResponse);

    // Closes a connection on which no request is in progress.
    void close(CloseReason = CloseReason::Stopping);

    // Closes the connection after giving the caller time to read the last response.
    boost::asio::awaitable<void> closeGracefully();

    CloseReason closeReason() const { return m_closeReason; }
    // Received bytes that no response was made to, because they arrived while the connection was being closed.
    std::size_t droppedBytes() const { return m_droppedBytes; }

    bool isIdle() const { return m_isIdle; }
    // Since when the connection has held its place without use: it is idle, or its request arrives too slowly. Returns nullopt if it is in
    // use.
    std::optional<TimePoint> unusedSince(TimePoint now) const;
    bool isKeepAlive() const { return m_isKeepAlive; }
    void setKeepAlive(bool isKeepAlive) { m_isKeepAlive = isKeepAlive; }
    // Whether received bytes are waiting to be read.
    bool hasInput();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    // Outcome of reading a body.
    enum class BodyResult {
        Complete,
        // The budget has no room for it.
        NoRoom,
        // The connection failed, the body is invalid, its time is up, or it was dropped.
        Failed,
    };

    void expireAfter(std::chrono::milliseconds duration) { expireAt(std::chrono::steady_clock::now() + duration); }
    void expireAt(TimePoint);
    void disableExpiry() { m_expiry = TimePoint::max(); }
    void armTimer();
    void awaitReadable();
    // Returns a completion handler that checks for a disconnect, and marks the check as pending.
    std::function<void(boost::system::error_code)> makeDisconnectCheck();
    void onReadable();
    // Whether the caller has shut down or closed the connection, even if unread bytes precede the close.
    bool isClosedByCaller();
    // Checks again after a delay instead of when the socket becomes readable, since it stays readable while bytes are unread.
    void scheduleDisconnectCheck();
    void handleDisconnect();
    // Counts a body against the budget, as far as its length is known, and asks for it if the caller waits for that.
    boost::asio::awaitable<BodyResult> admitBody(const Parser&, HeldBody&, std::string& body);
    // `initialLimits` are those that were in force when the request began to arrive.
    boost::asio::awaitable<BodyResult> readBody(Parser&, CallerLimits initialLimits, HeldBody&, std::string& body, boost::system::error_code&);
    // Returns the limit of the body of a request that is arriving.
    std::uint64_t maxBodyBytes(const CallerLimits& initialLimits) const { return std::max(initialLimits.bodyBytes, m_limits().bodyBytes); }
    // Reads at most as many bytes as the body still needs, as far as its length is known.
    boost::asio::awaitable<void> readPiece(const Parser&, boost::system::error_code&);
    // Moves the received bytes to the body. Returns false if the budget has no room for them.
    bool takeBody(Parser&, std::uint64_t maxBytes, HeldBody&, std::string& body, boost::system::error_code&);
    void dropBody();
    // Returns the memory of the buffer if nothing is buffered.
    void releaseBuffer();
    boost::asio::awaitable<std::optional<CallerRequest>> refuseRequest(unsigned status, const char* code, const char* message, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);
    // Answers a request whose body was not read to its end.
    boost::asio::awaitable<std::optional<CallerRequest>> refuseBody(BodyResult, const boost::system::error_code&);

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<BodyBudget> m_budget;
    std::function<CallerLimits()> m_limits;
    // The body that is being read.
    HeldBody* m_arrivingBody = nullptr;
    // Since when a request is awaited or read.
    TimePoint m_readSince {};
    // Bounded, since a caller may send an endless chunk header.
    boost::beast::flat_buffer m_buffer;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_disconnectTimer;
    // Time at which reading is cancelled. The timer may be set to an earlier time and is then re-armed when it fires.
    TimePoint m_expiry = TimePoint::max();
    TimePoint m_timerAt = TimePoint::max();
    std::function<void()> m_onDisconnected;
    bool m_isAwaitingReadable = false;
    bool m_isDisconnected = false;
    bool m_isIdle = true;
    bool m_isReading = false;
    bool m_isBodyDropped = false;
    bool m_isKeepAlive = true;
    // Whether the request that was read last, as far as it could be read, has the method HEAD.
    bool m_isHeadRequest = false;
    bool m_hasExpired = false;
    // Whether the expiry was put off because bytes had arrived that were not read yet.
    bool m_isExpiryExtended = false;
    CloseReason m_closeReason = CloseReason::LastResponse;
    std::size_t m_droppedBytes = 0;
};

// Formats a response that this host generates itself. Its header states the length of the body also if `hasBody` is false, for a HEAD
// request.
std::string formatLocalResponse(const LocalResponse&, bool isKeepAlive, bool hasBody);

}
