#pragma once

#include "chiveshelf/core/Error.h"
#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/RunnerRecord.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace chiveshelf {

// A connection to one incarnation of a backend server. Carries one request at a time.
struct BackendConnection {
    explicit BackendConnection(boost::asio::io_context& context)
        : socket(context)
    {
    }

    // Limit of a response header. Other proxies accept 4 to 8 KB by default.
    static constexpr std::uint32_t maxHeaderBytes = 16 * 1024;
    // Limit of the read buffer, and so of a chunk header and of the trailers: a header, and what was received with its end.
    static constexpr std::size_t maxBufferedBytes = 20 * 1024;

    // Closes the socket and cancels its pending operations.
    void close();

    boost::asio::ip::tcp::socket socket;
    // Bounded, since a server may send an endless response header or chunk header.
    boost::beast::flat_buffer buffer { maxBufferedBytes };
    TimePoint idleSince {};
    // How long the connection may stay idle before it is dropped.
    std::chrono::milliseconds idleLimit { 0 };
    // Whether the connection has carried an earlier request.
    bool isReused = false;
};

// Pool of keep-alive connections to backend servers. Reuse saves the server the cost of a new connection, but a server may close
// an idle connection just as it is reused, so takeIdle() takes the longest idle time that the request accepts.
class BackendPool {
public:
    // Time to establish a new connection. Servers in other data centres respond within a few ms; TCP doesn't retransmit the first
    // packet within this time.
    static constexpr std::chrono::milliseconds connectLimit { 300 };

    explicit BackendPool(boost::asio::io_context&);
    BackendPool(const BackendPool&) = delete;
    BackendPool& operator=(const BackendPool&) = delete;

    // Returns the most recently used connection that has been idle for at most `longestIdle`, or nullptr.
    std::shared_ptr<BackendConnection> takeIdle(const RunnerRecord&, std::chrono::milliseconds longestIdle, TimePoint now);

    // Establishes a new connection. `slot` holds it from the start, so that the caller can close it while it is connecting.
    // Fails with Unavailable; `slot` is empty then.
    boost::asio::awaitable<Result<void>> connect(Address, std::shared_ptr<BackendConnection>& slot);

    // Returns the number of idle connections that one of `hosts` hosts keeps to a server which accepts `maxConnections` from all of
    // them, 0 if that is unknown. Half of the server's connections are left for requests.
    static std::size_t maxIdle(unsigned maxConnections, std::size_t hosts);

    // Returns a connection to the pool. Closes the oldest idle ones if the server has more than `maxIdle` then.
    void putBack(const RunnerRecord&, std::shared_ptr<BackendConnection>, std::size_t maxIdle, TimePoint now);

    // Closes the idle connections to a server, for instance after one of its connections stopped responding.
    void drop(const RunnerRecord&);

    // Closes the connections that exceeded their idle limit.
    void sweep(TimePoint now);

    std::size_t idleCount() const;
    std::uint64_t connectCount() const { return m_connects; }

private:
    // Address and incarnation, since another server may start at the same address.
    using Key = std::tuple<Address, std::string, std::int64_t>;

    static Key keyOf(const RunnerRecord& runner) { return { runner.address, runner.id, runner.bornMs }; }

    boost::asio::io_context& m_context;
    std::map<Key, std::vector<std::shared_ptr<BackendConnection>>> m_idle;
    std::uint64_t m_connects = 0;
};

}
