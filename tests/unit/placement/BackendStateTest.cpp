#include "chiveshelf/placement/BackendState.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string model = "m";
const TimePoint orderedAt = TimePoint() + seconds(100);

class BackendStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BackendStateTest);
    CPPUNIT_TEST(runnerWhoseNewWeightsTheRegistryTellsIsNotLoadingAnyMore);
    CPPUNIT_TEST(runnerWhoseNewWeightsAnAnswerShowsIsNotLoadingAnyMore);
    CPPUNIT_TEST(runnerWithOldWeightsLoadsUntilTheLimit);
    CPPUNIT_TEST(noticeOfWeightsThatAreInPlaceLeavesTheRunnerInUse);
    CPPUNIT_TEST(slowMomentCountsWhileItIsRecent);
    CPPUNIT_TEST(olderFigureOfAnotherHostDoesNotReplaceANewerOne);
    CPPUNIT_TEST(figuresOfHostsThatAreGoneAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void runnerWhoseNewWeightsTheRegistryTellsIsNotLoadingAnyMore()
    {
        m_runner.setLoading(model, 2, orderedAt + seconds(2));
        m_runner.update(record(2));
        // The notice of the host that gave the order comes after the registry's.
        m_runner.setVersion(model, 2);
        CPPUNIT_ASSERT(!m_runner.isLoading(orderedAt + milliseconds(400)));
    }

    void runnerWhoseNewWeightsAnAnswerShowsIsNotLoadingAnyMore()
    {
        m_runner.setLoading(model, 2, orderedAt + seconds(2));
        m_runner.setVersion(model, 2);
        CPPUNIT_ASSERT(!m_runner.isLoading(orderedAt + milliseconds(400)));
    }

    void runnerWithOldWeightsLoadsUntilTheLimit()
    {
        m_runner.setLoading(model, 2, orderedAt + seconds(2));
        m_runner.update(record(1));
        m_runner.setVersion(model, 1);
        CPPUNIT_ASSERT(m_runner.isLoading(orderedAt + milliseconds(1'999)));
        CPPUNIT_ASSERT(!m_runner.isLoading(orderedAt + milliseconds(2'000)));
    }

    void noticeOfWeightsThatAreInPlaceLeavesTheRunnerInUse()
    {
        m_runner.update(record(3));
        m_runner.setLoading(model, 2, orderedAt + seconds(2));
        CPPUNIT_ASSERT(!m_runner.isLoading(orderedAt));
    }

    // Guards against sending work to a runner whose machine is busy at this moment, and against shunning it later for that.
    void slowMomentCountsWhileItIsRecent()
    {
        m_runner.setReport({ 1, 0, 8, 250 }, orderedAt);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, m_runner.slowdown(orderedAt), 0.01);
        CPPUNIT_ASSERT(m_runner.slowdown(orderedAt + milliseconds(300)) < 2.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_runner.slowdown(orderedAt + BackendState::workTimeLifetime), 0.001);
    }

    void olderFigureOfAnotherHostDoesNotReplaceANewerOne()
    {
        m_runner.setReport({ 1, 0, 8, 250 }, orderedAt);
        m_runner.setWorkTime(100, orderedAt - milliseconds(50));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, m_runner.slowdown(orderedAt), 0.01);
        m_runner.setWorkTime(100, orderedAt + milliseconds(50));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_runner.slowdown(orderedAt + milliseconds(50)), 0.01);
    }

    // Guards against figures that grow with every host that was ever in the fleet.
    void figuresOfHostsThatAreGoneAreForgotten()
    {
        OutstandingWork work;
        work.requests = 1;
        for (std::uint64_t host = 0; host < 500; ++host)
            m_runner.setPeerWork(host, work, orderedAt);
        CPPUNIT_ASSERT_EQUAL(500, m_runner.totalWork(orderedAt).requests);
        m_runner.setPeerWork(1'000, work, orderedAt + seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_runner.peerCount());
    }

private:
    static RunnerRecord record(std::uint64_t version)
    {
        RunnerRecord record;
        record.id = "r1";
        record.modelVersions[model] = version;
        return record;
    }

    BackendState m_runner { record(1), 100'000 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendStateTest);

}
