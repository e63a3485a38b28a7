#include "chiveshelf/peer/PeerClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <thread>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
namespace asio = boost::asio;

struct EchoReply {
    int number = 0;

    template <typename Archive>
    void serialize(Archive& archive) { archive(number); }
};

struct EchoRequest {
    static constexpr auto messageType = peer::MessageType::Probe;
    using Reply = EchoReply;

    int number = 0;

    template <typename Archive>
    void serialize(Archive& archive) { archive(number); }
};

// Calls between hosts beside a loop that is blocked for longer than a time limit.
class PeerClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerClientTest);
    CPPUNIT_TEST(callSucceedsAfterLoopWasBlockedDuringConnect);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        const char* group = std::getenv("CHIVESHELF_TEST_NETWORK");
        const Address address { "127." + std::string(group ? group : "83") + ".0.1", 7'003 };
        m_server = std::make_unique<peer::PeerServer>(m_serverContext);
        m_server->handle<EchoRequest>([](EchoRequest request) -> asio::awaitable<Result<EchoReply>> { co_return EchoReply { request.number }; });
        CPPUNIT_ASSERT(m_server->start(address));
        // The server has a loop of its own, which runs on while that of the client is blocked.
        m_thread = std::thread([this] { m_serverContext.run(); });
    }

    void tearDown() override
    {
        m_serverContext.stop();
        m_thread.join();
    }

    // Guards against a connect limit that closes an established connection.
    void callSucceedsAfterLoopWasBlockedDuringConnect()
    {
        asio::io_context context(1);
        peer::PeerClient client(context);
        std::optional<Result<EchoReply>> reply;
        const auto address = m_server->address();
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { reply = co_await client.call(address, EchoRequest { 7 }, milliseconds(2'000)); }, asio::detached);
        // The second handler runs after the call has begun to connect.
        asio::post(context, [&] { asio::post(context, [] { std::this_thread::sleep_for(milliseconds(500)); }); });
        context.run_for(milliseconds(900));
        CPPUNIT_ASSERT(reply);
        CPPUNIT_ASSERT_MESSAGE(*reply ? "" : reply->error().message, reply->has_value());
        CPPUNIT_ASSERT_EQUAL(7, (*reply)->number);
    }

private:
    asio::io_context m_serverContext { 1 };
    std::unique_ptr<peer::PeerServer> m_server;
    std::thread m_thread;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerClientTest);

}
