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

// The server beside a loop that is blocked for longer than the idle limit.
class ServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServerTest);
    CPPUNIT_TEST(requestThatArrivesWhileLoopIsBlockedBeyondIdleLimitIsAnswered);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

}
