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
