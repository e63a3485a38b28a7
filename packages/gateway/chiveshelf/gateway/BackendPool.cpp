#include "chiveshelf/gateway/BackendPool.h"

#include "chiveshelf/core/Sockets.h"
#include "chiveshelf/core/TimeLimit.h"
#include "chiveshelf/http/Message.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // More are rarely in use at once, and each one counts against the server's connection limit.
    constexpr std::size_t maxIdlePerServer = 16;
    // TCP keep-alive probes that detect a dead server while a response is awaited, within 4 s.
    constexpr KeepAliveProbes responseProbes { std::chrono::seconds(2), std::chrono::seconds(1), 2 };
    // TCP_USER_TIMEOUT: time within which sent bytes have to be acknowledged.
    constexpr unsigned userTimeoutMs = 4'000;

    void setOptions(asio::ip::tcp::socket& socket)
    {
        boost::system::error_code ec;
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        enableKeepAliveProbes(socket, responseProbes);
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
    }

}

void BackendConnection::close()
{
    boost::system::error_code ec;
    socket.close(ec);
}

BackendPool::BackendPool(asio::io_context& context)
    : m_context(context)
{
}

std::shared_ptr<BackendConnection> BackendPool::takeIdle(const RunnerRecord& runner, std::chrono::milliseconds longestIdle, TimePoint now)
{
    const auto it = m_idle.find(keyOf(runner));
    if (it == m_idle.end())
        return nullptr;
    auto& idle = it->second;
    while (!idle.empty()) {
        const auto& newest = idle.back();
        if (now - newest->idleSince > std::min(longestIdle, newest->idleLimit))
            return nullptr;
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (isReusable(connection->socket)) {
            connection->isReused = true;
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

asio::awaitable<Result<void>> BackendPool::connect(Address address, std::shared_ptr<BackendConnection>& slot)
{
    ++m_connects;
    auto connection = std::make_shared<BackendConnection>(m_context);
    slot = connection;
    const auto ec = co_await connectWithin(connection->socket, http::toEndpoint(address), connectLimit);
    if (ec) {
        connection->close();
        slot.reset();
        co_return failure(ErrorCode::Unavailable, "connect to " + toString(address) + ": " + ec.message(), Verdict::NotRun);
    }
    setOptions(connection->socket);
    co_return Result<void> {};
}

std::size_t BackendPool::maxIdle(unsigned maxConnections, std::size_t hosts)
{
    if (maxConnections == 0)
        return maxIdlePerServer;
    return std::clamp<std::size_t>(maxConnections / 2 / std::max<std::size_t>(hosts, 1), 1, maxIdlePerServer);
}

void BackendPool::putBack(const RunnerRecord& runner, std::shared_ptr<BackendConnection> connection, std::size_t maxIdle, TimePoint now)
{
    auto& idle = m_idle[keyOf(runner)];
    connection->idleSince = now;
    while (!idle.empty() && idle.size() >= maxIdle) {
        idle.front()->close();
        idle.erase(idle.begin());
    }
    idle.push_back(std::move(connection));
}

void BackendPool::drop(const RunnerRecord& runner)
{
    const auto it = m_idle.find(keyOf(runner));
    if (it == m_idle.end())
        return;
    for (const auto& connection : it->second)
        connection->close();
    m_idle.erase(it);
}

void BackendPool::sweep(TimePoint now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto& idle = it->second;
        std::erase_if(idle, [&](const auto& connection) {
            if (now - connection->idleSince <= connection->idleLimit)
                return false;
            connection->close();
            return true;
        });
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

std::size_t BackendPool::idleCount() const
{
    std::size_t n = 0;
    for (const auto& [key, idle] : m_idle)
        n += idle.size();
    return n;
}

}
