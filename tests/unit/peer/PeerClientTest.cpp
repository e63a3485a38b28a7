#include "chiveshelf/peer/PeerClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <thread>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
namespace asio = boost::asio;

struct EchoReply {
    int number = 0;
    std::string text;

    template <typename Archive>
    void serialize(Archive& archive) { archive(number, text); }
};

struct EchoRequest {
    static constexpr auto messageType = peer::MessageType::Probe;
    using Reply = EchoReply;

    int number = 0;
    int delayMs = 0;

    template <typename Archive>
    void serialize(Archive& archive) { archive(number, delayMs); }
};

// Calls between hosts beside a loop that is blocked for longer than a time limit.
class PeerClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerClientTest);
    CPPUNIT_TEST(callSucceedsAfterLoopWasBlockedDuringConnect);
    CPPUNIT_TEST(replyThatArrivedWhileLoopWasBlockedBeyondCallLimitIsReturned);
    CPPUNIT_TEST(connectionIsKeptAfterLoopWasBlockedBeyondInactivityTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        const char* group = std::getenv("CHIVESHELF_TEST_NETWORK");
        const Address address { "127." + std::string(group ? group : "83") + ".0.1", 7'003 };
        m_server = std::make_unique<peer::PeerServer>(m_serverContext);
        m_server->handle<EchoRequest>([this](EchoRequest request) -> asio::awaitable<Result<EchoReply>> {
            asio::steady_timer timer(m_serverContext, milliseconds(request.delayMs));
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            EchoReply reply { request.number, std::string(300 * 1024, 'x') };
            co_return reply;
        });
        CPPUNIT_ASSERT(m_server->start(address));
        // The server has a loop of its own, which runs on while that of the client is blocked.
        m_thread = std::thread([this] { m_serverContext.run(); });
    }

    void tearDown() override
    {
        m_serverContext.stop();
        if (m_thread.joinable())
            m_thread.join();
        m_server.reset();
    }

    // Guards against a connect limit that closes an established connection.
    void callSucceedsAfterLoopWasBlockedDuringConnect()
    {
        // The second handler runs after the call has begun to connect.
        asio::post(m_context, [&] { block(milliseconds(500)); });
        expectReply({ 7, 0 }, milliseconds(2'000));
    }

    // Guards against a time-out that discards a reply which has arrived.
    void replyThatArrivedWhileLoopWasBlockedBeyondCallLimitIsReturned()
    {
        asio::steady_timer timer(m_context, milliseconds(100));
        timer.async_wait([&](boost::system::error_code) { block(milliseconds(600)); });
        expectReply({ 7, 300 }, milliseconds(500));
    }

    // Guards against taking a sound host for silent after this host stood still.
    void connectionIsKeptAfterLoopWasBlockedBeyondInactivityTimeout()
    {
        asio::steady_timer timer(m_context, milliseconds(100));
        timer.async_wait([&](boost::system::error_code) { block(milliseconds(1'500)); });
        expectReply({ 7, 2'000 }, milliseconds(3'000));
    }

private:
    void block(milliseconds duration)
    {
        asio::post(m_context, [duration] { std::this_thread::sleep_for(duration); });
    }

    void expectReply(EchoRequest request, milliseconds limit)
    {
        std::optional<Result<EchoReply>> reply;
        const auto address = m_server->address();
        asio::co_spawn(
            m_context, [&]() -> asio::awaitable<void> { reply = co_await m_client.call(address, request, limit); }, asio::detached);
        const auto end = std::chrono::steady_clock::now() + limit + milliseconds(500);
        while (!reply && std::chrono::steady_clock::now() < end)
            m_context.run_for(milliseconds(10));
        CPPUNIT_ASSERT(reply);
        CPPUNIT_ASSERT_MESSAGE(*reply ? "" : reply->error().message, reply->has_value());
        CPPUNIT_ASSERT_EQUAL(request.number, (*reply)->number);
    }

    asio::io_context m_context { 1 };
    peer::PeerClient m_client { m_context };
    asio::io_context m_serverContext { 1 };
    std::unique_ptr<peer::PeerServer> m_server;
    std::thread m_thread;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerClientTest);

}
