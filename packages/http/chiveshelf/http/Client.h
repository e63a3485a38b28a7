#pragma once

#include "chiveshelf/core/HeldBytes.h"
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

// Limits of one call. `progress` bounds each wait for bytes, so that an unresponsive connection is detected although TCP
// reports no error.
struct CallLimits {
    std::chrono::milliseconds connect { 500 };
    std::chrono::milliseconds progress { 2'000 };
    // Whether the call may use a pooled connection. If a new connection can't be established, it is certain that nothing was sent.
    bool isReuseAllowed = true;
    // Maximum length of the response body, in bytes. By default twice the longest request that callers may send.
    std::uint64_t bodyBytes = 8ull * 1024 * 1024;
    // Maximum duration of send(), even while bytes keep arriving; 0 means four times `progress`.
    std::chrono::milliseconds total { 0 };
};

class Client;

// A response whose body is read in pieces. Call readSome() until it returns an empty piece; destroying the stream earlier closes
// the connection.
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

    // Returns the next piece of the body, or an empty string at its end. Fails with Timeout if no bytes arrive within the
    // progress limit, and with Unavailable if the connection fails before the end of the body.
    boost::asio::awaitable<Result<std::string>> readSome();

    // Changes the limit on each wait for bytes.
    void setProgressLimit(std::chrono::milliseconds limit) { m_limits.progress = limit; }

    // Sets the time until which the complete response has to be read.
    void setDeadline(std::chrono::steady_clock::time_point deadline) { m_deadline = deadline; }

private:
    friend class Client;

    Client& m_client;
    Address m_address;
    std::unique_ptr<Connection> m_connection;
    CallLimits m_limits;
    // Deadline for the complete response.
    std::chrono::steady_clock::time_point m_deadline = std::chrono::steady_clock::time_point::max();
};

// Sends requests over pooled connections. A failure before the first byte was written has the verdict NotRun, a later one
// MayHaveRun. After a timeout all idle connections to that address are closed, since a middlebox that dropped the state of one
// connection has often dropped the state of the others too.
class Client {
public:
    // Bytes of response bodies that all calls of send() together may hold by default. A fifth of the memory of a small host.
    static constexpr std::size_t defaultMaxHeldBytes = 32 * 1024 * 1024;

    explicit Client(boost::asio::io_context&, std::size_t maxHeldBytes = defaultMaxHeldBytes);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Sends a request and reads the whole response. Fails with Timeout if a time limit expires, and with Unavailable if the
    // response exceeds the size limit, has an invalid status, or all responses together exceed theirs. `maySend` is called once the connection is established, immediately before the request is
    // written; if it returns false, nothing is sent and the call fails with Unavailable and NotRun.
    boost::asio::awaitable<Result<Response>> send(Address, Request, CallLimits, std::function<bool()> maySend = {});

    // Sends a request and returns once the header of the final response has been read. Interim responses are skipped. `maySend` is used as in send().
    boost::asio::awaitable<Result<std::unique_ptr<ResponseStream>>> open(Address, Request, CallLimits, std::function<bool()> maySend = {});

    std::size_t idleConnections() const;

private:
    friend class ResponseStream;

    std::unique_ptr<ResponseStream::Connection> takeIdleConnection(const Address&);
    void returnIdleConnection(const Address&, std::unique_ptr<ResponseStream::Connection>);
    boost::asio::awaitable<Result<std::unique_ptr<ResponseStream::Connection>>> connect(Address, CallLimits);

    boost::asio::io_context& m_context;
    std::shared_ptr<HeldBytesBudget> m_heldBytes;
    std::map<Address, std::vector<std::unique_ptr<ResponseStream::Connection>>> m_idle;
};

}
