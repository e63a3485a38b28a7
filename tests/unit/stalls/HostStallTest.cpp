#include "GatewayFixture.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <thread>

namespace {

using namespace chiveshelf;
using fakeplatform::Script;
using std::chrono::milliseconds;
namespace asio = boost::asio;
namespace beast = boost::beast;

// Longer than a piece that is read from a connection at once.
constexpr std::size_t longBodyBytes = 40 * 1024;

// Runners with a loop of their own, which runs on while that of the gateway is blocked.
class RunnerThread {
public:
    RunnerThread()
        : m_work(asio::make_work_guard(context))
        , m_thread([this] { context.run(); })
    {
    }
    ~RunnerThread()
    {
        context.stop();
        m_thread.join();
    }
    RunnerThread(const RunnerThread&) = delete;
    RunnerThread& operator=(const RunnerThread&) = delete;

    asio::io_context context { 1 };

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

// A runner that accepts a connection at once and reads the request only after a pause.
asio::awaitable<void> serveAfterPause(asio::ip::tcp::acceptor& acceptor, milliseconds pause)
{
    boost::system::error_code ec;
    asio::ip::tcp::socket socket(acceptor.get_executor());
    co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
    asio::steady_timer timer(acceptor.get_executor(), pause);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    beast::flat_buffer buffer;
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(16 * 1024 * 1024);
    co_await beast::http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    const auto bytes = fakeplatform::sealedResponse(parser.get(), 200, "x");
    if (!ec)
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
}

// A host whose loop is blocked for longer than a time-out, while the other side is sound.
class HostStallTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(HostStallTest);
    CPPUNIT_TEST(responseThatArrivedWhileLoopWasBlockedBeyondFirstByteLimitIsRelayed);
    CPPUNIT_TEST(responseThatArrivedWhileLoopWasBlockedBeyondDeadlineIsRelayed);
    CPPUNIT_TEST(eventThatArrivedWhileLoopWasBlockedBeyondEventTimeoutIsRelayedFromSameRunner);
    CPPUNIT_TEST(shortStreamThatArrivesAsTheFirstByteLimitEndsIsRelayedFromItsRunner);
    CPPUNIT_TEST(streamThatBeganWithinFirstByteLimitStaysWithItsRunner);
    CPPUNIT_TEST(shortResponseThatArrivesAsTheDeadlineEndsIsRelayed);
    CPPUNIT_TEST(requestThatIsWrittenForLongerThanFirstByteLimitIsServed);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_thread.reset();
        GatewayFixture::tearDown();
    }

protected:
    void startRunner(fakeplatform::Runner::Handler handler)
    {
        const auto i = m_runners.size();
        m_runners.push_back(std::make_unique<fakeplatform::Runner>(m_thread->context, [this, handler = std::move(handler)](const auto& request) {
            ++m_sends;
            return handler(request);
        }));
        CPPUNIT_ASSERT(m_runners.back()->start({ m_network + ".2", static_cast<std::uint16_t>(8'000 + i) }));
        registerRunner(i, {});
    }

    // Sends a request and blocks the loop for `duration` once `condition` holds.
    template <typename Condition>
    fakeplatform::ReceivedResponse fetchBesideStall(std::string bytes, Condition condition, milliseconds duration)
    {
        const auto out = std::make_shared<std::optional<fakeplatform::ReceivedResponse>>();
        const Address address { m_network + ".1", 7'001 };
        asio::co_spawn(*m_context, fetchInto(std::move(bytes), address, out), asio::detached);
        runUntil(condition);
        asio::post(*m_context, [duration] { std::this_thread::sleep_for(duration); });
        runUntil([&] { return out->has_value(); });
        CPPUNIT_ASSERT(out->has_value());
        return **out;
    }

    // Starts two runners, which send the header of a stream after one pause and its only event after another.
    void startStreamRunners(milliseconds headerPause, milliseconds eventPause)
    {
        const auto event = fakeplatform::chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";
        for (int i = 0; i < 2; ++i) {
            startRunner([=](const auto& request) {
                std::this_thread::sleep_for(headerPause);
                if (eventPause.count() == 0)
                    return Script { fakeplatform::sealedStreamHeader(request) + event };
                return Script { fakeplatform::sealedStreamHeader(request), Script::End::Keep, event, eventPause };
            });
        }
        startGateway();
    }

    std::unique_ptr<RunnerThread> m_thread = std::make_unique<RunnerThread>();
    std::atomic<int> m_sends = 0;

public:
    // Guards against a first-byte limit that closes the connection under a response which has arrived.
    void responseThatArrivedWhileLoopWasBlockedBeyondFirstByteLimitIsRelayed()
    {
        startRunner([](const auto& request) {
            std::this_thread::sleep_for(milliseconds(300));
            return Script { fakeplatform::sealedResponse(request, 200, std::string(longBodyBytes, 'x')) };
        });
        startGateway();
        // The limit is 450 ms.
        const auto response = fetchBesideStall(
            post("/look/1"), [this] { return m_sends == 1; }, milliseconds(800));
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT_EQUAL(longBodyBytes, response.body.size());
        CPPUNIT_ASSERT_EQUAL(1, m_sends.load());
    }

    // Guards against a 504 in place of a response that has arrived.
    void responseThatArrivedWhileLoopWasBlockedBeyondDeadlineIsRelayed()
    {
        startRunner([](const auto& request) {
            std::this_thread::sleep_for(milliseconds(300));
            return Script { fakeplatform::sealedResponse(request, 200, std::string(longBodyBytes, 'x')) };
        });
        startGateway();
        // The route's time limit is 1.5 s.
        const auto response = fetchBesideStall(
            post("/book/1"), [this] { return m_sends == 1; }, milliseconds(1'700));
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT_EQUAL(longBodyBytes, response.body.size());
        CPPUNIT_ASSERT(!response.isBroken);
    }

    // Guards against moving a stream whose next event has arrived.
    void eventThatArrivedWhileLoopWasBlockedBeyondEventTimeoutIsRelayedFromSameRunner()
    {
        const std::string event = "id: 2\ndata: " + std::string(longBodyBytes, 'x') + "\n\n";
        for (int i = 0; i < 2; ++i) {
            startRunner([event](const auto& request) {
                return Script { fakeplatform::sealedStreamHeader(request) + fakeplatform::chunk("id: 1\ndata: a\n\n"), Script::End::Keep,
                    fakeplatform::chunk(event) + "0\r\n\r\n", milliseconds(300) };
            });
        }
        startGateway();
        const auto response = fetchBesideStall(
            post("/ask/1"), [this] { return m_sends == 1; }, milliseconds(1'300));
        // Not CPPUNIT_ASSERT_EQUAL, which would print the long event.
        CPPUNIT_ASSERT(response.body == "id: 1\ndata: a\n\n" + event);
        CPPUNIT_ASSERT_EQUAL(1, m_sends.load());
    }

    // Guards against a first-byte limit that closes the connection under events which were read together with the response header, so
    // that a stream that has begun is cut.
    void shortStreamThatArrivesAsTheFirstByteLimitEndsIsRelayedFromItsRunner()
    {
        startStreamRunners(milliseconds(300), milliseconds(0));
        // The limit of 450 ms ends so shortly before the loop goes on that it isn't extended.
        const auto response = fetchBesideStall(
            post("/ask/1"), [this] { return m_sends == 1; }, milliseconds(455));
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT(response.body == "id: 1\ndata: a\n\n");
        CPPUNIT_ASSERT_EQUAL(1, m_sends.load());
    }

    // Guards against a first-byte limit that still runs once the runner has begun to answer.
    void streamThatBeganWithinFirstByteLimitStaysWithItsRunner()
    {
        startStreamRunners(milliseconds(300), milliseconds(300));
        const auto response = fetch(post("/ask/1"));
        CPPUNIT_ASSERT(response.body == "id: 1\ndata: a\n\n");
        CPPUNIT_ASSERT_EQUAL(1, m_sends.load());
    }

    // Guards against a 504 in place of a short response that was read together with its header.
    void shortResponseThatArrivesAsTheDeadlineEndsIsRelayed()
    {
        startRunner([](const auto& request) {
            std::this_thread::sleep_for(milliseconds(300));
            return Script { fakeplatform::sealedResponse(request, 200, "x") };
        });
        startGateway();
        // The route's time limit is 1.5 s.
        const auto response = fetchBesideStall(
            post("/book/1"), [this] { return m_sends == 1; }, milliseconds(1'600));
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
    }

    // Guards against a first-byte limit that measures the way of the request to the runner.
    void requestThatIsWrittenForLongerThanFirstByteLimitIsServed()
    {
        asio::ip::tcp::acceptor acceptor(m_thread->context);
        acceptor.open(asio::ip::tcp::v4());
        // Otherwise its closed connections keep the address from later tests for a minute.
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.set_option(asio::socket_base::receive_buffer_size(4'096));
        acceptor.bind(http::toEndpoint({ m_network + ".2", 8'000 }));
        acceptor.listen();
        asio::co_spawn(m_thread->context, serveAfterPause(acceptor, milliseconds(800)), asio::detached);
        registerRunner(0, {});
        startGateway();
        const std::string body(3 * 1024 * 1024, 'b');
        const auto response = fetch("POST /look/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: id1\r\nX-Deadline-Ms: 3000\r\nApi-Key: key1\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        // The acceptor must not be destroyed while the other thread uses it.
        m_thread.reset();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostStallTest);

}
