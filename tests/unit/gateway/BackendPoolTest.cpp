#include "chiveshelf/gateway/BackendPool.h"

#include "chiveshelf/http/Message.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace {

using namespace chiveshelf;
namespace asio = boost::asio;

// Idle connections of one host to one server.
class BackendPoolTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BackendPoolTest);
    CPPUNIT_TEST(idleConnectionsOfAllHostsTakeAtMostHalfOfServersConnections);
    CPPUNIT_TEST(connectionsBeyondMaximumAreClosedOldestFirst);
    CPPUNIT_TEST(connectionEstablishedWhileLoopWasBlockedStaysOpen);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against idle connections of many hosts at which a server resets those of requests.
    void idleConnectionsOfAllHostsTakeAtMostHalfOfServersConnections()
    {
        for (const unsigned maxConnections : { 96U, 310U, 360U }) {
            for (const std::size_t hosts : { 1U, 6U, 9U, 40U })
                CPPUNIT_ASSERT(BackendPool::maxIdle(maxConnections, hosts) * hosts <= maxConnections / 2);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), BackendPool::maxIdle(96, 6));
        // One connection is kept even if there are more hosts than connections.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), BackendPool::maxIdle(96, 295));
        CPPUNIT_ASSERT(BackendPool::maxIdle(0, 295) > 1);
    }

    void connectionsBeyondMaximumAreClosedOldestFirst()
    {
        asio::io_context context(1);
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.70.250.1"), 8'000 });
        BackendPool pool(context);
        RunnerRecord runner;
        runner.id = "r0";
        const auto now = std::chrono::steady_clock::now();
        std::vector<std::shared_ptr<BackendConnection>> connections;
        for (int i = 0; i < 3; ++i) {
            auto connection = std::make_shared<BackendConnection>(context);
            connection->socket.connect(acceptor.local_endpoint());
            connections.push_back(connection);
            pool.putBack(runner, connection, 2, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pool.idleCount());
        CPPUNIT_ASSERT(!connections[0]->socket.is_open());
        CPPUNIT_ASSERT(connections[2]->socket.is_open());
        pool.putBack(runner, std::make_shared<BackendConnection>(context), 1, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.idleCount());
    }

    // Guards against a connect limit that closes a connection which already carries a request.
    void connectionEstablishedWhileLoopWasBlockedStaysOpen()
    {
        asio::io_context context(1);
        const Address address { "127.70.250.2", 8'000 };
        asio::ip::tcp::acceptor acceptor(context, http::toEndpoint(address));
        BackendPool pool(context);
        std::shared_ptr<BackendConnection> connection;
        std::optional<Result<void>> result;
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { result = co_await pool.connect(address, connection); }, asio::detached);
        asio::post(context, [] { std::this_thread::sleep_for(BackendPool::connectLimit * 3 / 2); });
        context.run_for(BackendPool::connectLimit * 2);
        CPPUNIT_ASSERT(result && *result);
        CPPUNIT_ASSERT(connection && connection->socket.is_open());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendPoolTest);

}
