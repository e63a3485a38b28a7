#include "chiveshelf/http/Client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
namespace asio = boost::asio;

// Server that sends the start of a response and then repeats the same bytes until the client closes the connection.
struct EndlessServer {
    EndlessServer(asio::io_context& context, std::string prefix, std::string repeated, milliseconds pause)
        : m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_prefix(std::move(prefix))
        , m_repeated(std::move(repeated))
        , m_pause(pause)
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    Address address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    asio::awaitable<void> serve()
    {
        boost::system::error_code ec;
        asio::ip::tcp::socket socket(m_acceptor.get_executor());
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        std::string buf(1'024, '\0');
        received = co_await socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        co_await asio::async_write(socket, asio::buffer(m_prefix), asio::redirect_error(asio::use_awaitable, ec));
        asio::steady_timer timer(m_acceptor.get_executor());
        while (!ec && !m_repeated.empty()) {
            timer.expires_after(m_pause);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            sent += co_await asio::async_write(socket, asio::buffer(m_repeated), asio::redirect_error(asio::use_awaitable, ec));
        }
        isClosed = true;
    }

    std::size_t received = 0;
    std::size_t sent = 0;
    bool isClosed = false;

private:
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_prefix;
    std::string m_repeated;
    milliseconds m_pause;
};

// Server that responds without a length before it has read the whole request, and then closes its side of the connection.
struct EarlyServer {
    explicit EarlyServer(asio::io_context& context)
        : m_acceptor(context)
    {
        m_acceptor.open(asio::ip::tcp::v4());
        // Keeps most of a long request in the send buffer of the client.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(4'096));
        m_acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
        m_acceptor.listen();
        asio::co_spawn(context, serve(), asio::detached);
    }

    Address address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    asio::awaitable<void> serve()
    {
        boost::system::error_code ec;
        asio::ip::tcp::socket socket(m_acceptor.get_executor());
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        co_await socket.async_wait(asio::socket_base::wait_read, asio::redirect_error(asio::use_awaitable, ec));
        const std::string bytes = "HTTP/1.1 200 OK\r\n\r\npart";
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
        socket.shutdown(asio::socket_base::shutdown_send, ec);
        asio::steady_timer timer(m_acceptor.get_executor(), milliseconds(300));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

private:
    asio::ip::tcp::acceptor m_acceptor;
};

class ClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClientTest);
    CPPUNIT_TEST(sendWithEndlessResponseHeaderFails);
    CPPUNIT_TEST(sendWithEndlessChunkHeaderFails);
    CPPUNIT_TEST(sendWithEndlessBodyFailsAtBodyLimit);
    CPPUNIT_TEST(sendWithHeadOfTooManyFieldsFails);
    CPPUNIT_TEST(sendWithInvalidStatusFails);
    CPPUNIT_TEST(interimResponsesAreSkipped);
    CPPUNIT_TEST(sendWithEndlessInterimResponsesFails);
    CPPUNIT_TEST(closeBeforeRequestWasAcceptedFails);
    CPPUNIT_TEST(sendWithSlowBodyFailsAtTotalLimit);
    CPPUNIT_TEST(sendWithoutMemoryForBodyFails);
    CPPUNIT_TEST(connectionWithBytesAfterResponseIsNotReused);
    CPPUNIT_TEST(sendDeniedByMaySendWritesNothing);
    CPPUNIT_TEST(responseThatArrivedWhileLoopWasBlockedBeyondProgressLimitIsReturned);
    CPPUNIT_TEST_SUITE_END();

public:
    void sendWithEndlessResponseHeaderFails()
    {
        expectFailure("HTTP/1.1 200 OK\r\nX-Long: ", std::string(4'096, 'a'));
    }

    // Guards against a read buffer that grows without bound while a chunk header does not end.
    void sendWithEndlessChunkHeaderFails()
    {
        expectFailure("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", std::string(16'384, 'a'));
    }

    void sendWithEndlessBodyFailsAtBodyLimit()
    {
        expectFailure("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + std::string(16'384, 'a') + "\r\n");
    }

    // Guards against fields that are short as text and take many times as much in memory.
    void sendWithHeadOfTooManyFieldsFails()
    {
        std::string fields;
        for (int i = 0; i < 1'000; ++i)
            fields += "a:\r\n";
        EndlessServer server(m_context, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n", "", milliseconds(0));
        const auto result = send(server, {});
        CPPUNIT_ASSERT(result && !*result);
        CPPUNIT_ASSERT(result->error().verdict == Verdict::MayHaveRun);
    }

    // Guards against callers that take any status below 300 for a success.
    void sendWithInvalidStatusFails()
    {
        for (const auto* status : { "000", "001", "099", "600", "999" }) {
            EndlessServer server(m_context, "HTTP/1.1 " + std::string(status) + " Text\r\nContent-Length: 1\r\n\r\na", "", milliseconds(0));
            const auto result = send(server, {});
            CPPUNIT_ASSERT_MESSAGE(status, result && !*result);
            CPPUNIT_ASSERT_MESSAGE(status, result->error().verdict == Verdict::MayHaveRun);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.idleConnections());
        }
    }

    // Guards against taking an interim response for the final one.
    void interimResponsesAreSkipped()
    {
        const std::string interims = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
        EndlessServer server(m_context, interims + "HTTP/1.1 409 Conflict\r\nContent-Length: 1\r\n\r\na", "", milliseconds(0));
        const auto result = send(server, {});
        CPPUNIT_ASSERT(result && *result);
        CPPUNIT_ASSERT_EQUAL(409U, (*result)->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), (*result)->body());
    }

    void sendWithEndlessInterimResponsesFails()
    {
        expectFailure("", "HTTP/1.1 100 Continue\r\n\r\n");
    }

    // Guards against a response that the end of the connection delimits, while the request is still in the send buffer.
    void closeBeforeRequestWasAcceptedFails()
    {
        EarlyServer server(m_context);
        const auto result = send(server, {}, nullptr, std::string(200'000, 'b'));
        CPPUNIT_ASSERT(result && !*result);
        CPPUNIT_ASSERT(result->error().verdict == Verdict::MayHaveRun);
    }

    // Guards against a call without end: a server that keeps sending single bytes never exceeds the progress limit.
    void sendWithSlowBodyFailsAtTotalLimit()
    {
        expectFailure("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", milliseconds(50));
    }

    // Guards against bodies that are each within their limit and together use up the memory of the process.
    void sendWithoutMemoryForBodyFails()
    {
        const auto body = std::string(100 * 1'024, 'a');
        const auto answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        EndlessServer first(m_context, answer, "", milliseconds(0));
        const auto sound = send(first, {});
        CPPUNIT_ASSERT(sound && *sound);
        http::Client small(m_context, 50 * 1'024);
        EndlessServer second(m_context, answer, "", milliseconds(0));
        const auto result = send(second, {}, &small);
        CPPUNIT_ASSERT(result && !*result);
        CPPUNIT_ASSERT(result->error().verdict == Verdict::MayHaveRun);
    }

    // Guards against taking what a server sent after its response for the response to the next request.
    void connectionWithBytesAfterResponseIsNotReused()
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        EndlessServer server(m_context, answer + answer, "", milliseconds(0));
        const auto result = send(server, {});
        CPPUNIT_ASSERT(result && *result);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_client.idleConnections());
    }

    // Guards against a rollout order that is sent although its sender lost the lease while the connection was being established.
    void sendDeniedByMaySendWritesNothing()
    {
        EndlessServer server(m_context, "", "", milliseconds(0));
        const auto result = send(server, [] { return false; });
        CPPUNIT_ASSERT(result && !*result);
        CPPUNIT_ASSERT(result->error().verdict == Verdict::NotRun);
        m_context.run_for(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.received);
    }

    // Guards against a progress limit that runs while this process stands still.
    void responseThatArrivedWhileLoopWasBlockedBeyondProgressLimitIsReturned()
    {
        asio::io_context serverContext(1);
        const std::string body(100 * 1024, 'x');
        EndlessServer server(serverContext, "", "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, milliseconds(150));
        std::thread thread([&] { serverContext.run(); });
        asio::steady_timer timer(m_context, milliseconds(50));
        timer.async_wait([](boost::system::error_code) { std::this_thread::sleep_for(milliseconds(400)); });
        const auto result = send(server, {});
        serverContext.stop();
        thread.join();
        CPPUNIT_ASSERT(result);
        CPPUNIT_ASSERT_MESSAGE(*result ? "" : result->error().message, result->has_value());
        CPPUNIT_ASSERT_EQUAL(body.size(), (*result)->body().size());
    }

private:
    template <typename Server>
    std::optional<Result<http::Response>> send(Server& server, std::function<bool()> maySend, http::Client* client = nullptr, const std::string& body = {})
    {
        std::optional<Result<http::Response>> out;
        http::CallLimits limits { milliseconds(200), milliseconds(200) };
        limits.bodyBytes = 1'024 * 1'024;
        const auto call = [&]() -> asio::awaitable<void> {
            auto request = http::makeRequest(body.empty() ? http::Verb::get : http::Verb::post, "/", body);
            auto result = co_await (client ? *client : m_client).send(server.address(), std::move(request), limits, std::move(maySend));
            out.emplace(std::move(result));
        };
        // The context is stopped if an earlier call has ended and left no work.
        m_context.restart();
        asio::co_spawn(m_context, call(), asio::detached);
        const auto end = std::chrono::steady_clock::now() + milliseconds(2'000);
        while (!out && std::chrono::steady_clock::now() < end)
            m_context.run_for(milliseconds(5));
        return out;
    }

    void expectFailure(const std::string& prefix, const std::string& repeated, milliseconds pause = milliseconds(0))
    {
        EndlessServer server(m_context, prefix, repeated, pause);
        const auto result = send(server, {});
        CPPUNIT_ASSERT(result && !*result);
        m_context.run_for(milliseconds(150));
        CPPUNIT_ASSERT(server.isClosed);
        // Upper bound for the body limit plus the bytes in the kernel's socket buffers.
        CPPUNIT_ASSERT(server.sent < std::size_t(16 * 1'024 * 1'024));
    }

    asio::io_context m_context { 1 };
    http::Client m_client { m_context };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}
