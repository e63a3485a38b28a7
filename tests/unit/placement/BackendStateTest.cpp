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
    CPPUNIT_TEST(runnerWithNewWeightsInRegistryIsNotLoading);
    CPPUNIT_TEST(runnerWithNewWeightsInAnswerIsNotLoading);
    CPPUNIT_TEST(runnerWithOldWeightsIsLoadingUntilTimeLimit);
    CPPUNIT_TEST(loadNoticeForInstalledVersionDoesNotMarkRunnerAsLoading);
    CPPUNIT_TEST(slowdownAfterReportDecaysOverWorkTimeLifetime);
    CPPUNIT_TEST(olderWorkTimeDoesNotReplaceNewerOne);
    CPPUNIT_TEST(expiredPeerWorkIsRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    void runnerWithNewWeightsInRegistryIsNotLoading()
    {
        m_runner.setLoading(model, 2, orderedAt + seconds(2));
        m_runner.update(record(2));
        // The notice of the host that ordered the load arrives after the registry update.
        m_runner.setVersion(model, 2);
        CPPUNIT_ASSERT(!m_runner.isLoading(orderedAt + milliseconds(400)));
    }

    void runnerWithNewWeightsInAnswerIsNotLoading()
    {
        m_runner.setLoading(model, 2, orderedAt + seconds(2));
        m_runner.setVersion(model, 2);
        CPPUNIT_ASSERT(!m_runner.isLoading(orderedAt + milliseconds(400)));
    }

    void runnerWithOldWeightsIsLoadingUntilTimeLimit()
    {
        m_runner.setLoading(model, 2, orderedAt + seconds(2));
        m_runner.update(record(1));
        m_runner.setVersion(model, 1);
        CPPUNIT_ASSERT(m_runner.isLoading(orderedAt + milliseconds(1'999)));
        CPPUNIT_ASSERT(!m_runner.isLoading(orderedAt + milliseconds(2'000)));
    }

    void loadNoticeForInstalledVersionDoesNotMarkRunnerAsLoading()
    {
        m_runner.update(record(3));
        m_runner.setLoading(model, 2, orderedAt + seconds(2));
        CPPUNIT_ASSERT(!m_runner.isLoading(orderedAt));
    }

    // Guards against sending work to a runner whose machine is slow at the moment, and against avoiding the runner after that.
    void slowdownAfterReportDecaysOverWorkTimeLifetime()
    {
        m_runner.setLoadReport({ 1, 0, 8, 250 }, orderedAt);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, m_runner.slowdown(orderedAt), 0.01);
        CPPUNIT_ASSERT(m_runner.slowdown(orderedAt + milliseconds(300)) < 2.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_runner.slowdown(orderedAt + BackendState::workTimeLifetime), 0.001);
    }

    void olderWorkTimeDoesNotReplaceNewerOne()
    {
        m_runner.setLoadReport({ 1, 0, 8, 250 }, orderedAt);
        m_runner.setWorkTime(100, orderedAt - milliseconds(50));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, m_runner.slowdown(orderedAt), 0.01);
        m_runner.setWorkTime(100, orderedAt + milliseconds(50));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_runner.slowdown(orderedAt + milliseconds(50)), 0.01);
    }

    // Guards against stored work that grows with every host that was ever in the fleet.
    void expiredPeerWorkIsRemoved()
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
