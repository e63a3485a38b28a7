#include "chiveshelf/entry/CallerWatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // A system call per request and interval; 100 ms frees a slot soon and costs little at 13 requests a second.
    constexpr auto pollInterval = std::chrono::milliseconds(100);

}

CallerWatch::CallerWatch(asio::any_io_executor executor, http::Exchange& exchange, std::function<void()> onGone)
    : m_state(std::make_shared<State>())
{
    m_state->exchange = &exchange;
    m_state->onGone = std::move(onGone);
    asio::co_spawn(executor, poll(m_state), asio::detached);
}

CallerWatch::~CallerWatch()
{
    m_state->isEnded = true;
}

asio::awaitable<void> CallerWatch::poll(std::shared_ptr<State> state)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        boost::system::error_code ec;
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (state->isEnded)
            co_return;
        if (!state->exchange->peerHasClosed())
            continue;
        state->hasGone = true;
        state->onGone();
        co_return;
    }
}

}
