#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace chiveshelf {

// Starts a detached task. An exception ends only this task and is logged with its `name`.
void spawnTask(boost::asio::io_context&, std::string_view name, boost::asio::awaitable<void>);

// Starts a detached task that runs for the lifetime of the process. If an exception ends it, the exception is logged and the task is
// created and started again after a delay, so that a single unexpected message does not end the task for good.
void spawnLoop(boost::asio::io_context&, std::string_view name, std::function<boost::asio::awaitable<void>()> makeTask);

// Runs the context until it is stopped or out of work. An exception thrown by a handler is logged, and the other handlers still run.
void runGuarded(boost::asio::io_context&);

}
