#pragma once

#include "chiveshelf/core/Error.h"
#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/RunnerRecord.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace chiveshelf {

// A connection to one incarnation of a backend server. It serves one request at a time.
struct BackendConnection {
    explicit BackendConnection(boost::asio::io_context& context)
        : socket(context)
    {
    }

    // Bytes that are read ahead at most, and the longest head of an answer.
    static constexpr std::size_t mostBufferedBytes = 64 * 1024;
    static constexpr std::uint32_t mostHeadBytes = 32 * 1024;

    // Ends all pending operations on it.
    void close();

    boost::asio::ip::tcp::socket socket;
    // Bounded, since a server may send a head or a chunk's head without end.
    boost::beast::flat_buffer buffer { mostBufferedBytes };
    TimePoint idleSince {};
    // How long the server keeps it idle.
    std::chrono::milliseconds idleLimit { 0 };
    // Whether it has carried a request before.
    bool isReused = false;
};

// Kept connections to backend servers. A new connection costs the server time, and a kept one may have been closed by the
// server a moment ago; takeIdle() lets the caller say how old a connection it accepts.
class BackendPool {
public:
    // Time for a new connection. Servers of other data centres answer within some ms; the first packet is not repeated
    // within it.
    static constexpr std::chrono::milliseconds connectLimit { 300 };

    explicit BackendPool(boost::asio::io_context&);
    BackendPool(const BackendPool&) = delete;
    BackendPool& operator=(const BackendPool&) = delete;

    // Returns the connection that was used last and has been idle for `longestIdle` at most, or nullptr.
    std::shared_ptr<BackendConnection> takeIdle(const RunnerRecord&, std::chrono::milliseconds longestIdle, TimePoint now);

    // Makes a new connection. `slot` holds it from the start, so that the caller can close it while it is being made.
    boost::asio::awaitable<Result<void>> connect(Address, std::shared_ptr<BackendConnection>& slot);

    // Keeps a connection for later requests.
    void putBack(const RunnerRecord&, std::shared_ptr<BackendConnection>, TimePoint now);

    // Closes the idle connections to a server, for instance when one of them went silent.
    void drop(const RunnerRecord&);

    // Closes what has been idle for too long.
    void sweep(TimePoint now);

    std::size_t idleCount() const;
    std::uint64_t connectCount() const { return m_connects; }

private:
    // Address and incarnation: another server may come up at the address.
    using Key = std::tuple<Address, std::string, std::int64_t>;

    static Key keyOf(const RunnerRecord& runner) { return { runner.address, runner.id, runner.bornMs }; }

    boost::asio::io_context& m_context;
    std::map<Key, std::vector<std::shared_ptr<BackendConnection>>> m_idle;
    std::uint64_t m_connects = 0;
};

}
