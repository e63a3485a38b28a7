#include "chiveshelf/http/Client.h"

#include "chiveshelf/core/Sockets.h"
#include "chiveshelf/http/ResponseChecks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::redirect_error;
using asio::use_awaitable;
using Parser = beast::http::response_parser<beast::http::buffer_body>;

namespace {

    constexpr std::size_t maxIdleConnectionsPerAddress = 32;
    constexpr auto maxIdleTime = std::chrono::seconds(20);
    // Maximum size of the read buffer. It bounds the memory for a response header or chunk header that never ends.
    constexpr std::size_t maxBufferedBytes = 128 * 1024;
    constexpr int defaultTotalToProgressRatio = 4;
    constexpr std::size_t readPieceBytes = 16 * 1024;
    // Interim responses that are skipped before the final one.
    constexpr int maxInterimResponses = 8;

    Error connectionError(const Address& address, const char* step, const boost::system::error_code& ec, Verdict verdict)
    {
        const auto code = ec == beast::error::timeout ? ErrorCode::Timeout : ErrorCode::Unavailable;
        return Error { code, std::string(step) + " " + toString(address) + ": " + ec.message(), verdict, std::nullopt };
    }

    // TCP keep-alive probes that detect a failed connection during a long wait for a response, such as that of a watch.
    constexpr KeepAliveProbes responseProbes { std::chrono::seconds(1), std::chrono::seconds(1), 2 };

}

struct ResponseStream::Connection {
    explicit Connection(asio::io_context& context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxBufferedBytes };
    std::unique_ptr<Parser> parser;
    std::chrono::steady_clock::time_point idleSince;
};

ResponseStream::ResponseStream(Client& client, Address address, std::unique_ptr<Connection> connection, CallLimits limits)
    : m_client(client)
    , m_address(std::move(address))
    , m_connection(std::move(connection))
    , m_limits(limits)
{
}

ResponseStream::~ResponseStream() = default;

unsigned ResponseStream::status() const
{
    return m_connection->parser->get().result_int();
}

std::string ResponseStream::header(std::string_view name) const
{
    const auto& message = m_connection->parser->get();
    const auto it = message.find(beast::string_view(name.data(), name.size()));
    return it == message.end() ? std::string() : std::string(it->value());
}

asio::awaitable<Result<std::string>> ResponseStream::readSome()
{
    if (!m_connection)
        co_return std::string();
    auto& parser = *m_connection->parser;
    std::string piece(readPieceBytes, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        boost::system::error_code ec;
        m_connection->stream.expires_at(std::min(m_deadline, std::chrono::steady_clock::now() + m_limits.progress));
        co_await beast::http::async_read_some(m_connection->stream, m_connection->buffer, parser, redirect_error(use_awaitable, ec));
        if (ec && ec != beast::http::error::need_buffer) {
            if (ec == beast::error::timeout)
                m_client.m_idle.erase(m_address);
            m_connection->stream.close();
            co_return tl::unexpected(connectionError(m_address, "read from", ec, Verdict::MayHaveRun));
        }
        const auto n = piece.size() - parser.get().body().size;
        if (n > 0) {
            piece.resize(n);
            co_return piece;
        }
    }
    // The end of the connection delimits the body, and may be that of a server which failed while it received the request.
    if (parser.need_eof() && !isAllAcknowledged(m_connection->stream.socket()))
        co_return failure(ErrorCode::Unavailable, toString(m_address) + " closed the connection before it had accepted the whole request", Verdict::MayHaveRun);
    co_return std::string();
}

Client::Client(asio::io_context& context, std::size_t maxHeldBytes)
    : m_context(context)
    , m_heldBytes(std::make_shared<HeldBytesBudget>(maxHeldBytes))
{
}

Client::~Client() = default;

std::size_t Client::idleConnections() const
{
    std::size_t n = 0;
    for (const auto& [address, connections] : m_idle)
        n += connections.size();
    return n;
}

std::unique_ptr<ResponseStream::Connection> Client::takeIdleConnection(const Address& address)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end())
        return nullptr;
    const auto oldestIdleSince = std::chrono::steady_clock::now() - maxIdleTime;
    while (!it->second.empty()) {
        auto connection = std::move(it->second.back());
        it->second.pop_back();
        if (connection->idleSince >= oldestIdleSince && isReusable(connection->stream.socket()))
            return connection;
    }
    m_idle.erase(it);
    return nullptr;
}

void Client::returnIdleConnection(const Address& address, std::unique_ptr<ResponseStream::Connection> connection)
{
    auto& idle = m_idle[address];
    if (idle.size() >= maxIdleConnectionsPerAddress)
        return;
    connection->idleSince = std::chrono::steady_clock::now();
    connection->parser.reset();
    idle.push_back(std::move(connection));
}

asio::awaitable<Result<std::unique_ptr<ResponseStream::Connection>>> Client::connect(Address address, CallLimits limits)
{
    if (limits.isReuseAllowed) {
        if (auto connection = takeIdleConnection(address))
            co_return connection;
    }
    auto connection = std::make_unique<ResponseStream::Connection>(m_context);
    boost::system::error_code ec;
    connection->stream.expires_after(limits.connect);
    co_await connection->stream.async_connect(toEndpoint(address), redirect_error(use_awaitable, ec));
    if (ec)
        co_return tl::unexpected(connectionError(address, "connect to", ec, Verdict::NotRun));
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    enableKeepAliveProbes(connection->stream.socket(), responseProbes);
    co_return connection;
}

asio::awaitable<Result<std::unique_ptr<ResponseStream>>> Client::open(Address address, Request request, CallLimits limits, std::function<bool()> maySend)
{
    auto connected = co_await connect(address, limits);
    if (!connected)
        co_return tl::unexpected(connected.error());
    auto connection = std::move(*connected);
    if (maySend && !maySend())
        co_return failure(ErrorCode::Unavailable, "the request to " + toString(address) + " was cancelled before it was sent", Verdict::NotRun);
    request.set(beast::http::field::host, toString(address));
    request.prepare_payload();
    boost::system::error_code ec;
    connection->stream.expires_after(limits.progress);
    co_await beast::http::async_write(connection->stream, request, redirect_error(use_awaitable, ec));
    for (int interims = 0; !ec && interims <= maxInterimResponses; ++interims) {
        connection->parser = std::make_unique<Parser>();
        connection->parser->body_limit(limits.bodyBytes);
        connection->stream.expires_after(limits.progress);
        co_await beast::http::async_read_header(connection->stream, connection->buffer, *connection->parser,
            redirect_error(use_awaitable, ec));
        const auto status = connection->parser->get().result_int();
        if (!ec && !isValidStatus(status))
            co_return failure(ErrorCode::Unavailable, "the response of " + toString(address) + " has the invalid status " + std::to_string(status), Verdict::MayHaveRun);
        if (status >= 200)
            break;
    }
    if (ec) {
        if (ec == beast::error::timeout)
            m_idle.erase(address);
        co_return tl::unexpected(connectionError(address, "request to", ec, Verdict::MayHaveRun));
    }
    if (connection->parser->get().result_int() < 200)
        co_return failure(ErrorCode::Unavailable, "too many interim responses of " + toString(address), Verdict::MayHaveRun);
    if (hasTooManyFields(connection->parser->get()))
        co_return failure(ErrorCode::Unavailable, "the response of " + toString(address) + " has too many header fields", Verdict::MayHaveRun);
    co_return std::make_unique<ResponseStream>(*this, address, std::move(connection), limits);
}

asio::awaitable<Result<Response>> Client::send(Address address, Request request, CallLimits limits, std::function<bool()> maySend)
{
    const auto deadline = std::chrono::steady_clock::now() + (limits.total.count() > 0 ? limits.total : defaultTotalToProgressRatio * limits.progress);
    auto opened = co_await open(address, std::move(request), limits, std::move(maySend));
    if (!opened)
        co_return tl::unexpected(opened.error());
    auto& stream = **opened;
    stream.m_deadline = deadline;
    Response response { static_cast<Status>(stream.status()), 11 };
    for (const auto& field : stream.m_connection->parser->get())
        response.set(field.name_string(), field.value());
    response.erase(beast::http::field::transfer_encoding);
    HeldBytes held(m_heldBytes);
    while (true) {
        auto piece = co_await stream.readSome();
        if (!piece)
            co_return tl::unexpected(piece.error());
        if (piece->empty())
            break;
        if (!held.resize(response.body().size() + piece->size()))
            co_return failure(ErrorCode::Unavailable, "no memory is left for the response of " + toString(address), Verdict::MayHaveRun);
        response.body() += *piece;
    }
    // Bytes after the response belong to no request.
    if (stream.m_connection->parser->keep_alive() && stream.m_connection->buffer.size() == 0)
        returnIdleConnection(address, std::move(stream.m_connection));
    co_return response;
}

}
