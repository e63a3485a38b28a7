#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace chiveshelf {

// Bounds the time of an operation. Unlike with the handler of a timer, which can't be cancelled once it is queued, stop() is final: an
// operation that has ended is not given up any more, also if its time passed while the loop was busy.
class TimeLimit {
public:
    // Calls `onExpired` once the time has passed, unless the limit was stopped or destroyed before. A limit that the loop notices late is
    // extended once by the delay, at most by its own length, since the other side can't be blamed for it.
    TimeLimit(const boost::asio::any_io_executor&, std::chrono::milliseconds, std::function<void()> onExpired);
    ~TimeLimit() { stop(); }
    TimeLimit(const TimeLimit&) = delete;
    TimeLimit& operator=(const TimeLimit&) = delete;

    void stop();

    // Whether `onExpired` was called.
    bool hasExpired() const;

private:
    struct State;

    static void arm(const std::shared_ptr<State>&);

    std::shared_ptr<State> m_state;
};

// Connects a socket, which has to outlive the call. Closes it and fails with timed_out if no connection is established within the limit.
boost::asio::awaitable<boost::system::error_code> connectWithin(boost::asio::ip::tcp::socket&, boost::asio::ip::tcp::endpoint, std::chrono::milliseconds limit);

}
