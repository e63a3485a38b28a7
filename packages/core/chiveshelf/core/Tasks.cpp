#include "chiveshelf/core/Tasks.h"

#include "chiveshelf/core/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <string>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Delay before a failed task is restarted, so that one that fails at once does not use all CPU time.
    constexpr std::chrono::milliseconds restartDelay { 200 };

    void logFailure(std::string_view name, const std::exception_ptr& error)
    {
        try {
            std::rethrow_exception(error);
        } catch (const std::exception& known) {
            logEvent(LogLevel::Error, "task_failed", { { "task", name }, { "error", known.what() } });
        } catch (...) {
            logEvent(LogLevel::Error, "task_failed", { { "task", name }, { "error", "unknown" } });
        }
    }

    asio::awaitable<void> runWithRestart(asio::io_context& context, std::string name, std::function<asio::awaitable<void>()> makeTask)
    {
        asio::steady_timer timer(context);
        while (true) {
            std::exception_ptr error;
            try {
                co_await makeTask();
            } catch (...) {
                error = std::current_exception();
            }
            if (!error)
                co_return;
            logFailure(name, error);
            boost::system::error_code ec;
            timer.expires_after(restartDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }

}

void spawnTask(asio::io_context& context, std::string_view name, asio::awaitable<void> task)
{
    asio::co_spawn(context, std::move(task), [name = std::string(name)](const std::exception_ptr& error) {
        if (error)
            logFailure(name, error);
    });
}

void spawnLoop(asio::io_context& context, std::string_view name, std::function<asio::awaitable<void>()> makeTask)
{
    asio::co_spawn(context, runWithRestart(context, std::string(name), std::move(makeTask)), asio::detached);
}

void runGuarded(asio::io_context& context)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (...) {
            logFailure("handler", std::current_exception());
        }
    }
}

}
