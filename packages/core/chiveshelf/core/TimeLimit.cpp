#include "chiveshelf/core/TimeLimit.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Delays of a loop that is not overloaded are shorter.
    constexpr std::chrono::milliseconds delayTolerance { 20 };

}

struct TimeLimit::State {
    explicit State(const asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    std::chrono::milliseconds limit { 0 };
    std::function<void()> onExpired;
    bool isPending = true;
    bool isExtended = false;
    bool hasExpired = false;
};

TimeLimit::TimeLimit(const asio::any_io_executor& executor, std::chrono::milliseconds limit, std::function<void()> onExpired)
    : m_state(std::make_shared<State>(executor))
{
    m_state->limit = limit;
    m_state->onExpired = std::move(onExpired);
    m_state->timer.expires_after(limit);
    arm(m_state);
}

void TimeLimit::arm(const std::shared_ptr<State>& state)
{
    state->timer.async_wait([weak = std::weak_ptr(state)](boost::system::error_code) {
        const auto state = weak.lock();
        if (!state || !state->isPending)
            return;
        const auto now = std::chrono::steady_clock::now();
        const auto delay = now - state->timer.expiry();
        if (delay > delayTolerance && !std::exchange(state->isExtended, true)) {
            state->timer.expires_at(now + std::min<std::chrono::steady_clock::duration>(delay, state->limit));
            arm(state);
            return;
        }
        state->isPending = false;
        state->hasExpired = true;
        state->onExpired();
    });
}

void TimeLimit::stop()
{
    m_state->isPending = false;
    m_state->timer.cancel();
}

bool TimeLimit::hasExpired() const
{
    return m_state->hasExpired;
}

asio::awaitable<boost::system::error_code> connectWithin(asio::ip::tcp::socket& socket, asio::ip::tcp::endpoint endpoint, std::chrono::milliseconds limit)
{
    TimeLimit timeLimit(socket.get_executor(), limit, [&socket] {
        boost::system::error_code ec;
        socket.remote_endpoint(ec);
        // Only its handler is outstanding if the connection is established by now.
        if (ec)
            socket.close(ec);
    });
    boost::system::error_code ec;
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
    timeLimit.stop();
    if (ec == asio::error::operation_aborted && timeLimit.hasExpired())
        ec = asio::error::timed_out;
    else if (!ec && !socket.is_open())
        ec = asio::error::operation_aborted;
    co_return ec;
}

}
