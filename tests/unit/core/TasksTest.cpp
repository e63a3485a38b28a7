#include "chiveshelf/core/Tasks.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace {

using namespace chiveshelf;
namespace asio = boost::asio;

asio::awaitable<void> throwOnce(int& n)
{
    if (++n == 1)
        throw std::runtime_error("unexpected");
    co_return;
}

class TasksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TasksTest);
    CPPUNIT_TEST(exceptionInTaskDoesNotEndOtherTasks);
    CPPUNIT_TEST(loopAfterExceptionIsRestarted);
    CPPUNIT_TEST(contextAfterHandlerExceptionRunsOtherHandlers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an exception in one task that ends the process.
    void exceptionInTaskDoesNotEndOtherTasks()
    {
        asio::io_context context(1);
        int n = 0;
        spawnTask(context, "test", throwOnce(n));
        spawnTask(context, "test", throwOnce(n));
        context.run();
        CPPUNIT_ASSERT_EQUAL(2, n);
    }

    // Guards against a task that should run for the lifetime of the process, but is not restarted after an exception.
    void loopAfterExceptionIsRestarted()
    {
        asio::io_context context(1);
        int n = 0;
        spawnLoop(context, "test", [&n] { return throwOnce(n); });
        context.run();
        CPPUNIT_ASSERT_EQUAL(2, n);
    }

    void contextAfterHandlerExceptionRunsOtherHandlers()
    {
        asio::io_context context(1);
        int n = 0;
        asio::post(context, [] { throw std::runtime_error("unexpected"); });
        asio::post(context, [&n] { ++n; });
        runGuarded(context);
        CPPUNIT_ASSERT_EQUAL(1, n);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TasksTest);

}
