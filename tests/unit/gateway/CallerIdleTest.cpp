#include "GatewayFixture.h"

#include <boost/asio/post.hpp>

#include <thread>

namespace {

using namespace chiveshelf;
using fakeplatform::Script;
using std::chrono::milliseconds;
namespace asio = boost::asio;

// Requests that arrive at the moment in which their connection ends, while the loop is blocked.
class CallerIdleTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(CallerIdleTest);
    CPPUNIT_TEST(requestOfCallerThatHasGivenUpIsNotForwarded);
    CPPUNIT_TEST_SUITE_END();

protected:
    void startRunnerAndGateway()
    {
        addRunner([](const auto& request) { return Script { fakeplatform::sealedResponse(request, 200, "x") }; });
        startGateway();
    }

    // Connects a caller with a loop of its own and returns once the host waits for its request.
    std::unique_ptr<asio::ip::tcp::socket> connectCaller()
    {
        auto socket = std::make_unique<asio::ip::tcp::socket>(m_callerContext);
        socket->connect(http::toEndpoint({ m_network + ".1", 7'001 }));
        runFor(milliseconds(50));
        return socket;
    }

    // Blocks the loop for `duration` after `before` has run.
    void block(milliseconds duration, std::function<void()> before)
    {
        asio::post(*m_context, [duration, before = std::move(before)] {
            before();
            std::this_thread::sleep_for(duration);
        });
    }

    // Returns the bytes that the caller has received by now.
    static std::string received(asio::ip::tcp::socket& socket)
    {
        boost::system::error_code ec;
        std::string out(4'096, '\0');
        socket.non_blocking(true, ec);
        out.resize(socket.read_some(asio::buffer(out), ec));
        return out;
    }

    asio::io_context m_callerContext { 1 };

public:
    // Guards against reading a request that its caller has given up: it would run for nobody, and the caller is no longer free to send
    // it again.
    void requestOfCallerThatHasGivenUpIsNotForwarded()
    {
        startRunnerAndGateway();
        // Leaves a connection to the runner, on which the next request would be sent at once.
        CPPUNIT_ASSERT_EQUAL(200U, fetch(post("/book/1")).status);
        auto socket = connectCaller();
        block(milliseconds(100), [&] {
            asio::write(*socket, asio::buffer(post("/book/2")));
            socket->close();
        });
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), requestCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerIdleTest);

}
