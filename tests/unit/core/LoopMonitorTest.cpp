#include "chiveshelf/core/LoopMonitor.h"

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace {

using chiveshelf::LoopDelays;
using chiveshelf::LoopMonitor;
using chiveshelf::withDelay;
using std::chrono::milliseconds;

class LoopMonitorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LoopMonitorTest);
    CPPUNIT_TEST(delaysAreCountedInTheirBuckets);
    CPPUNIT_TEST(blockedLoopIsMeasured);
    CPPUNIT_TEST_SUITE_END();

public:
    void delaysAreCountedInTheirBuckets()
    {
        LoopDelays delays;
        for (const auto ms : { 1.0, 5.0, 5.1, 600.0 })
            delays = withDelay(delays, ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), delays.counts.front());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), delays.counts[1]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), delays.counts.back());
        CPPUNIT_ASSERT_EQUAL(600.0, delays.longestMs);
    }

    // Guards against stalls that no metric shows.
    void blockedLoopIsMeasured()
    {
        boost::asio::io_context context(1);
        LoopMonitor monitor(context);
        monitor.start();
        boost::asio::post(context, [] { std::this_thread::sleep_for(milliseconds(400)); });
        context.run_for(milliseconds(600));
        CPPUNIT_ASSERT(monitor.delays().longestMs >= 250);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopMonitorTest);

}
