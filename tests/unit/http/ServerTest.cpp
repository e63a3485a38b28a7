#include "chiveshelf/http/Server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
namespace asio = boost::asio;

// The server beside a loop that is blocked for longer than the idle limit, and its responses to HEAD requests.
class ServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerTest);
    CPPUNIT_TEST(requestThatArrivesWhileLoopIsBlockedBeyondIdleLimitIsAnswered);
    CPPUNIT_TEST(responseToHeadHasNoBodyBeforeNextResponse);
    CPPUNIT_TEST(streamToHeadHasNoChunksBeforeNextResponse);
    CPPUNIT_TEST(refusalOfUnreadableHeadRequestHasNoBody);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an idle limit that closes a connection on which a request has arrived.
    void requestThatArrivesWhileLoopIsBlockedBeyondIdleLimitIsAnswered()
    {
        asio::io_context context(1);
        http::ServerLimits limits;
        limits.idle = milliseconds(200);
        http::Server server(context, limits, [](http::Exchange& exchange) -> asio::awaitable<void> {
            co_await exchange.respond(http::makeResponse(http::Status::ok, "x"));
        });
        CPPUNIT_ASSERT(server.start({ "127.0.0.1", 0 }));
        asio::io_context callerContext(1);
        asio::ip::tcp::socket socket(callerContext);
        socket.connect(http::toEndpoint(server.address()));
        context.run_for(milliseconds(100));
        asio::post(context, [&] {
            asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
            std::this_thread::sleep_for(milliseconds(300));
        });
        context.run_for(milliseconds(450));
        boost::system::error_code ec;
        std::string received;
        socket.non_blocking(true);
        received.resize(1'024);
        received.resize(socket.read_some(asio::buffer(received), ec));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), received.substr(0, 12));
    }

    // Guards against a body where the client finds the response to its next request.
    void responseToHeadHasNoBodyBeforeNextResponse()
    {
        const auto received = exchange("HEAD /whole HTTP/1.1\r\nHost: a\r\n\r\nGET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(received.find("Content-Length: 5\r\n") < received.find("\r\n\r\n"));
        expectSecondResponse(received);
    }

    void streamToHeadHasNoChunksBeforeNextResponse()
    {
        expectSecondResponse(exchange("HEAD /stream HTTP/1.1\r\nHost: a\r\n\r\nGET /whole HTTP/1.1\r\nHost: a\r\n\r\n"));
    }

    void refusalOfUnreadableHeadRequestHasNoBody()
    {
        const auto received = exchange("HEAD /whole HTTP/1.1\r\nHost: a\r\nBroken\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"), received.substr(0, 12));
        CPPUNIT_ASSERT_EQUAL(received.size(), received.find("\r\n\r\n") + 4);
    }

private:
    // Writes bytes to a server on a new connection and returns all that it writes.
    static std::string exchange(const std::string& bytes)
    {
        asio::io_context context(1);
        http::Server server(context, {}, [](http::Exchange& exchange) -> asio::awaitable<void> {
            if (exchange.request().target() == "/stream") {
                std::vector<std::pair<std::string, std::string>> headers;
                co_await exchange.startStream(http::Status::ok, "text/plain", std::move(headers));
                co_await exchange.write("whole");
                co_await exchange.finishStream();
            } else {
                co_await exchange.respond(http::makeResponse(http::Status::ok, "whole"));
            }
        });
        CPPUNIT_ASSERT(server.start({ "127.0.0.1", 0 }));
        asio::io_context callerContext(1);
        asio::ip::tcp::socket socket(callerContext);
        socket.connect(http::toEndpoint(server.address()));
        asio::write(socket, asio::buffer(bytes));
        context.run_for(milliseconds(200));
        socket.non_blocking(true);
        std::string received(4'096, '\0');
        boost::system::error_code ec;
        received.resize(socket.read_some(asio::buffer(received), ec));
        return received;
    }

    static void expectSecondResponse(const std::string& received)
    {
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), received.substr(0, 12));
        const auto second = received.substr(received.find("\r\n\r\n") + 4);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), second.substr(0, 12));
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), second.substr(second.find("\r\n\r\n") + 4));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

}
