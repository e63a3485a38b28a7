#include "chiveshelf/core/TimeLimit.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <thread>

namespace {

using chiveshelf::TimeLimit;
using std::chrono::milliseconds;
namespace asio = boost::asio;

class TimeLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TimeLimitTest);
    CPPUNIT_TEST(limitExpiresOnce);
    CPPUNIT_TEST(limitStoppedAfterItsTimeHasPassedDoesNotExpire);
    CPPUNIT_TEST(destroyedLimitDoesNotExpire);
    CPPUNIT_TEST(limitOfBlockedLoopIsExtendedByDelay);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_context = std::make_unique<asio::io_context>(1);
        m_expiries = 0;
        m_limit.emplace(m_context->get_executor(), milliseconds(50), [this] { ++m_expiries; });
    }

    void tearDown() override
    {
        m_limit.reset();
        m_context.reset();
    }

    void limitExpiresOnce()
    {
        m_context->run_for(milliseconds(40));
        CPPUNIT_ASSERT(!m_limit->hasExpired());
        m_context->run_for(milliseconds(150));
        CPPUNIT_ASSERT(m_limit->hasExpired());
        CPPUNIT_ASSERT_EQUAL(1, m_expiries);
    }

    // Guards against a handler that is already queued and gives up an operation that has ended.
    void limitStoppedAfterItsTimeHasPassedDoesNotExpire()
    {
        // A timer that ends earlier has its handler queued before that of the limit.
        asio::steady_timer timer(*m_context, milliseconds(10));
        timer.async_wait([this](boost::system::error_code) { m_limit->stop(); });
        block(milliseconds(100));
        m_context->run_for(milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(0, m_expiries);
    }

    void destroyedLimitDoesNotExpire()
    {
        asio::steady_timer timer(*m_context, milliseconds(10));
        timer.async_wait([this](boost::system::error_code) { m_limit.reset(); });
        block(milliseconds(100));
        m_context->run_for(milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(0, m_expiries);
    }

    // Guards against a time-out that measures this process instead of the other side.
    void limitOfBlockedLoopIsExtendedByDelay()
    {
        block(milliseconds(90));
        m_context->run_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(0, m_expiries);
        m_context->run_for(milliseconds(150));
        CPPUNIT_ASSERT_EQUAL(1, m_expiries);
    }

private:
    void block(milliseconds duration)
    {
        asio::post(*m_context, [duration] { std::this_thread::sleep_for(duration); });
    }

    std::unique_ptr<asio::io_context> m_context;
    std::optional<TimeLimit> m_limit;
    int m_expiries = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimeLimitTest);

}
