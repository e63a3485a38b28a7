#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/routing/RoutingTables.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chiveshelf {

// A whole request of a caller.
struct CallerRequest {
    boost::beast::http::request<boost::beast::http::string_body> message;
    // When its last byte had arrived.
    TimePoint arrivedAt;
};

// A response that this host makes itself.
struct OwnAnswer {
    unsigned status = 503;
    // Stable code for callers and logs.
    std::string_view code;
    std::string message;
    std::optional<std::chrono::milliseconds> retryAfter;
};

// A connection of a caller. Reads whole requests, writes, and watches for the caller's departure.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    explicit CallerConnection(boost::asio::ip::tcp::socket);
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    // Reads the next request. Returns nothing when the connection has ended or has to end; a request that can not be read
    // has been answered then.
    boost::asio::awaitable<std::optional<CallerRequest>> read(CallerLimits);

    // Writes bytes. Returns false if the caller is gone.
    boost::asio::awaitable<bool> write(std::string bytes);

    // Sends an answer of this host's own.
    boost::asio::awaitable<void> answer(OwnAnswer);

    // Calls `onGone` once if the caller closes the connection before stopWatching(). Bytes of a next request do not count.
    void watchDeparture(std::function<void()> onGone);
    void stopWatching() { m_onGone = nullptr; }
    bool hasDeparted() const { return m_hasDeparted; }

    // Ends the connection at once, so that an answer in progress is seen to be incomplete.
    void cut();

    // Ends a connection on which nothing is in progress.
    void close();

    // Ends the connection after what was written has been read by the caller.
    boost::asio::awaitable<void> finish();

    bool isIdle() const { return m_isIdle; }
    bool isKept() const { return m_isKept; }
    void setKept(bool isKept) { m_isKept = isKept; }
    // Whether bytes wait that were not read.
    bool hasInput();

private:
    void expireAfter(std::chrono::milliseconds);
    void neverExpire() { m_expiry = TimePoint::max(); }
    void armTimer();
    void awaitReadable();
    // Marks that the caller's departure is looked for, and returns what looks when a wait has ended.
    std::function<void(boost::system::error_code)> departureCheck();
    void onReadable();
    // Whether the caller has closed its end or the connection, also behind bytes that were not read.
    bool isClosedByCaller();
    // Looks for the departure of a caller that has sent bytes nobody reads yet: the socket stays readable then.
    void lookAgainSoon();
    void onDeparture();
    boost::asio::awaitable<std::optional<CallerRequest>> refuseRequest(unsigned status, const char* code, const char* message);

    boost::asio::ip::tcp::socket m_socket;
    // Bounded, since a caller may send a chunk's head without end.
    boost::beast::flat_buffer m_buffer;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_departureTimer;
    // Moment at which the connection is closed. The timer may be set to an earlier one and is moved when it fires.
    TimePoint m_expiry = TimePoint::max();
    TimePoint m_timerAt = TimePoint::max();
    std::function<void()> m_onGone;
    bool m_isAwaitingReadable = false;
    bool m_hasDeparted = false;
    bool m_isIdle = true;
    bool m_isKept = true;
    bool m_hasExpired = false;
};

// Returns the head of an answer of this host's own, with its body.
std::string formatOwnAnswer(const OwnAnswer&, bool isKept);

}
