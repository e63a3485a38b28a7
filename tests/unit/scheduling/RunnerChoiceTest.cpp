#include "chiveshelf/scheduling/RunnerChoice.h"
#include "chiveshelf/scheduling/PrefixCacheView.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;

class RunnerChoiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunnerChoiceTest);
    CPPUNIT_TEST(importDuringPrefillWaitTakesOnlyBlocksThatFitTheWait);
    CPPUNIT_TEST(fastLinkImportsAllBlocks);
    CPPUNIT_TEST(slowLinkOnIdleRunnerImportsNothing);
    CPPUNIT_TEST(cacheViewAtCapacityEvictsLeastRecentlyUsedBlocks);
    CPPUNIT_TEST(cacheViewDiscountsOldBlocksAndCacheMisses);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against all-or-nothing imports. Importing 1 block takes 500 ms and computing it 400 ms; the runner is busy for
    // 1,100 ms, during which 2 blocks can be imported without delaying the first token.
    void importDuringPrefillWaitTakesOnlyBlocksThatFitTheWait()
    {
        const auto estimate = estimateOn(runner(1'100), request(), 0, { { "link", 5, 2, EstimatedTime(0) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, estimate.import.blocks);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1'100 + 3 * 400, estimate.firstToken.count(), 1);
    }

    // Guards against recomputing blocks that a fast link can import sooner.
    void fastLinkImportsAllBlocks()
    {
        const auto estimate = estimateOn(runner(0), request(), 1, { { "link", 5, 100, EstimatedTime(0) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, estimate.import.blocks);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, estimate.import.firstBlock);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, estimate.computedTokens);
    }

    // Guards against importing over a link that is slower than computing the blocks.
    void slowLinkOnIdleRunnerImportsNothing()
    {
        const auto estimate = estimateOn(runner(0), request(), 0, { { "link", 5, 1, EstimatedTime(0) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, estimate.import.blocks);
    }

    // Guards against expecting blocks that no longer fit into a runner's cache.
    void cacheViewAtCapacityEvictsLeastRecentlyUsedBlocks()
    {
        PrefixCacheView view(3, std::chrono::hours(1));
        const TimePoint now(std::chrono::hours(1));
        view.promptSent("a", { "k1", "k2" }, now);
        view.promptSent("a", { "m1", "m2" }, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, view.blockCount("a"));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, view.lookup({ "k1", "k2" }, now)["a"], 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, view.lookup({ "m1", "m2" }, now)["a"], 0.001);
    }

    // Guards against estimates that never decay or adapt, although cache events arrive late and with gaps.
    void cacheViewDiscountsOldBlocksAndCacheMisses()
    {
        PrefixCacheView view(3, std::chrono::minutes(1));
        const TimePoint now(std::chrono::hours(1));
        view.promptSent("a", { "k1" }, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, view.lookup({ "k1" }, now + std::chrono::minutes(1))["a"], 0.001);
        view.usageReported("a", 1, 0);
        CPPUNIT_ASSERT(view.lookup({ "k1" }, now)["a"] < 0.9);
    }

private:
    static RunnerSnapshot runner(double prefillWaitMs)
    {
        RunnerSnapshot out;
        out.name = "a";
        out.slots = 4;
        out.prefillWait.fill(EstimatedTime(prefillWaitMs));
        return out;
    }

    static QueuedRequest request()
    {
        QueuedRequest out;
        out.promptTokens = 20'000;
        out.blocks = { "k1", "k2", "k3", "k4", "k5" };
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerChoiceTest);

}
