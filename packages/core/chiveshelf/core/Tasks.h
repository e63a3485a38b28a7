#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace chiveshelf {

// Starts a task whose end nobody waits for. An exception ends this task only and is logged under `name`.
void spawnTask(boost::asio::io_context&, std::string_view name, boost::asio::awaitable<void>);

// Starts a task that goes on for as long as the process does. One that ended by an exception is logged and, after a pause,
// made and started again, so that one message that nobody expected does not leave the process without it.
void spawnLoop(boost::asio::io_context&, std::string_view name, std::function<boost::asio::awaitable<void>()> makeTask);

// Runs the context until it is stopped or out of work. An exception out of a plain handler is logged and the others go on.
void runGuarded(boost::asio::io_context&);

}
