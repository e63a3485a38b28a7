#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

// Message queue with a single receiving task. Not thread-safe: all users have to run on the same single-threaded io_context.
// Call push() from any task, and co_await receive() in the task that owns the mailbox.
template <typename Message>
class Mailbox {
public:
    explicit Mailbox(boost::asio::io_context& context)
        : m_timer(context)
    {
    }

    Mailbox(const Mailbox&) = delete;
    Mailbox& operator=(const Mailbox&) = delete;

    // Adds a message and wakes up the receiver. Messages pushed after close() are discarded.
    void push(Message message)
    {
        if (m_isClosed)
            return;
        m_messages.push_back(std::move(message));
        m_timer.cancel();
    }

    // Closes the mailbox. receive() still returns the queued messages, and then nullopt.
    void close()
    {
        m_isClosed = true;
        m_timer.cancel();
    }

    // Waits for a message for at most `limit`. Returns nullopt if none arrived or the mailbox is closed and empty.
    boost::asio::awaitable<std::optional<Message>> receive(std::chrono::milliseconds limit = std::chrono::hours(24))
    {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (m_messages.empty() && !m_isClosed && std::chrono::steady_clock::now() < deadline) {
            boost::system::error_code ec;
            m_timer.expires_at(deadline);
            co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        }
        if (m_messages.empty())
            co_return std::nullopt;
        auto message = std::move(m_messages.front());
        m_messages.pop_front();
        co_return message;
    }

    bool isClosed() const { return m_isClosed; }
    std::size_t size() const { return m_messages.size(); }

private:
    boost::asio::steady_timer m_timer;
    std::deque<Message> m_messages;
    bool m_isClosed = false;
};

}
