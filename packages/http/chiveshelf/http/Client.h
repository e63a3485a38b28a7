#pragma once

#include "chiveshelf/http/Message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace chiveshelf::http {

// Time limits of one call. `progress` bounds each wait for bytes, so that a connection that went silent is found
// although TCP reports no error.
struct CallLimits {
    std::chrono::milliseconds connect { 500 };
    std::chrono::milliseconds progress { 2'000 };
    // Whether the call may go over a pooled connection. A new one tells for certain that nothing was sent when it fails.
    bool isReuseAllowed = true;
    // Longest body, in bytes.
    std::uint64_t bodyBytes = 64ull * 1024 * 1024;
    // Time for a whole answer that send() reads, however often some bytes of it come; 0 for four times `progress`.
    std::chrono::milliseconds total { 0 };
};

class Client;

// A response whose body is read piece by piece. Read until an empty piece; destroying it earlier closes the connection.
class ResponseStream {
public:
    struct Connection;

    ResponseStream(Client&, Address, std::unique_ptr<Connection>, CallLimits);
    ~ResponseStream();
    ResponseStream(const ResponseStream&) = delete;
    ResponseStream& operator=(const ResponseStream&) = delete;

    unsigned status() const;

    // Returns the header's value, or an empty string.
    std::string header(std::string_view name) const;

    // Returns the next piece of the body, empty at its end. Fails with Timeout without progress and with Unavailable
    // when the connection broke before the end of the body.
    boost::asio::awaitable<Result<std::string>> readSome();

    // Changes the limit on each wait for bytes.
    void setProgressLimit(std::chrono::milliseconds limit) { m_limits.progress = limit; }

private:
    friend class Client;

    Client& m_client;
    Address m_address;
    std::unique_ptr<Connection> m_connection;
    CallLimits m_limits;
    // Moment at which the response has to be there whole.
    std::chrono::steady_clock::time_point m_end = std::chrono::steady_clock::time_point::max();
};

// Sends requests over pooled connections. A failure before the first byte was written has the verdict NotRun, a later one
// MayHaveRun. After a time-out all idle connections to that address are dropped, since a middlebox that lost one has
// often lost the others too.
class Client {
public:
    explicit Client(boost::asio::io_context&);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Sends a request and reads the whole response. Fails with Timeout if that takes longer than the limits allow, and with
    // Unavailable if the response is longer. `maySend` is asked once more when the connection stands, directly before the
    // request is written; if it denies, nothing is sent.
    boost::asio::awaitable<Result<Response>> send(Address, Request, CallLimits, std::function<bool()> maySend = {});

    // Sends a request and returns once the response header is there.
    boost::asio::awaitable<Result<std::unique_ptr<ResponseStream>>> open(Address, Request, CallLimits, std::function<bool()> maySend = {});

    std::size_t idleConnections() const;

private:
    friend class ResponseStream;

    std::unique_ptr<ResponseStream::Connection> takeIdle(const Address&);
    void putIdle(const Address&, std::unique_ptr<ResponseStream::Connection>);
    boost::asio::awaitable<Result<std::unique_ptr<ResponseStream::Connection>>> connect(Address, CallLimits);

    boost::asio::io_context& m_context;
    std::map<Address, std::vector<std::unique_ptr<ResponseStream::Connection>>> m_idle;
};

}
