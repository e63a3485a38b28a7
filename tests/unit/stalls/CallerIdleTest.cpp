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
    CPPUNIT_TEST(requestWhoseCallerGivesUpWhileItIsReadIsNotForwarded);
    CPPUNIT_TEST(requestThatCrossesIdleCloseIsNotRead);
    CPPUNIT_TEST(requestWithinIdleTimeAndMarginIsAnswered);
    CPPUNIT_TEST(headerCompletedWhileLoopIsBlockedBeyondItsTimeIsAnswered);
    CPPUNIT_TEST(connectionWhoseCallerWasNotToldOfStopServesItsNextRequest);
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

    // Changes the limits on callers.
    void setLimits(int idleMs, int headerMs)
    {
        auto text = std::string(fakeplatform::tables);
        text.insert(1, "\"limits\":{\"idleMs\":" + std::to_string(idleMs) + ",\"headerMs\":" + std::to_string(headerMs) + "},");
        m_store->put("op/config", text);
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

    // Guards against sending on a request whose caller left while the rest of it lay unread.
    void requestWhoseCallerGivesUpWhileItIsReadIsNotForwarded()
    {
        startRunnerAndGateway();
        CPPUNIT_ASSERT_EQUAL(200U, fetch(post("/book/1")).status);
        auto socket = connectCaller();
        const auto request = post("/book/2");
        asio::write(*socket, asio::buffer(request.substr(0, request.size() - 2)));
        runFor(milliseconds(50));
        block(milliseconds(100), [&] {
            asio::write(*socket, asio::buffer(request.substr(request.size() - 2)));
            socket->close();
        });
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), requestCount());
    }

    // Guards against an idle close that reads a crossing request without an answer, so that the caller may not send it again.
    void requestThatCrossesIdleCloseIsNotRead()
    {
        setLimits(100, 1'000);
        startRunnerAndGateway();
        auto socket = connectCaller();
        boost::system::error_code ec;
        char byte = 0;
        socket->non_blocking(true, ec);
        runUntil([&] {
            socket->read_some(asio::buffer(&byte, 1), ec);
            return ec == asio::error::eof;
        });
        CPPUNIT_ASSERT_EQUAL(boost::system::error_code(asio::error::eof), ec);
        socket->write_some(asio::buffer(post("/book/1")), ec);
        CPPUNIT_ASSERT(!ec);
        runFor(milliseconds(50));
        // Fails if the first write was answered by a reset, which tells that the request was not read.
        socket->write_some(asio::buffer(&byte, 1), ec);
        CPPUNIT_ASSERT(ec);
    }

    // Guards against an idle close that crosses a request whose caller kept to the limit.
    void requestWithinIdleTimeAndMarginIsAnswered()
    {
        setLimits(200, 1'000);
        startRunnerAndGateway();
        auto socket = connectCaller();
        // Sent within the idle time, and delayed on its way.
        runFor(milliseconds(500));
        asio::write(*socket, asio::buffer(post("/book/1")));
        runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), received(*socket).substr(0, 12));
    }

    // Guards against a 408 for a request that was complete in time.
    void headerCompletedWhileLoopIsBlockedBeyondItsTimeIsAnswered()
    {
        setLimits(5'000, 200);
        startRunnerAndGateway();
        auto socket = connectCaller();
        // Longer than one read, so that the limit ends between the reads.
        const auto request = post("/book/1", "key1", "X-Long: " + std::string(4'096, 'a') + "\r\n");
        asio::write(*socket, asio::buffer(request.substr(0, 20)));
        runFor(milliseconds(50));
        block(milliseconds(400), [&] { asio::write(*socket, asio::buffer(request.substr(20))); });
        runFor(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), received(*socket).substr(0, 12));
    }

    // Guards against a stop that closes a connection after a response which announced no close, and so loses the next request.
    void connectionWhoseCallerWasNotToldOfStopServesItsNextRequest()
    {
        addRunner([](const auto& request) {
            return Script { fakeplatform::sealedStreamHeader(request) + fakeplatform::chunk("id: 1\ndata: a\n\n"), Script::End::Keep,
                fakeplatform::chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n", milliseconds(200) };
        });
        startGateway();
        auto socket = connectCaller();
        asio::write(*socket, asio::buffer(post("/draft/1")));
        runUntil([&] { return requestCount() == 1; });
        runFor(milliseconds(50));
        m_gateway->stop();
        asio::write(*socket, asio::buffer(post("/draft/2")));
        runFor(milliseconds(800));
        const auto text = received(*socket);
        const auto second = text.find("HTTP/1.1", 1);
        CPPUNIT_ASSERT(second != std::string::npos);
        CPPUNIT_ASSERT(text.find("Connection: close") > second);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), requestsTo("/draft/2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerIdleTest);

}
