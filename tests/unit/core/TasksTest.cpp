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
    CPPUNIT_TEST(taskThatThrowsEndsAlone);
    CPPUNIT_TEST(loopThatThrowsStartsAgain);
    CPPUNIT_TEST(handlerThatThrowsDoesNotEndTheContext);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one unexpected error that takes the process down.
    void taskThatThrowsEndsAlone()
    {
        asio::io_context context(1);
        int n = 0;
        spawnTask(context, "test", throwOnce(n));
        spawnTask(context, "test", throwOnce(n));
        context.run();
        CPPUNIT_ASSERT_EQUAL(2, n);
    }

    // Guards against a process that goes on without one of its tasks.
    void loopThatThrowsStartsAgain()
    {
        asio::io_context context(1);
        int n = 0;
        spawnLoop(context, "test", [&n] { return throwOnce(n); });
        context.run();
        CPPUNIT_ASSERT_EQUAL(2, n);
    }

    void handlerThatThrowsDoesNotEndTheContext()
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
