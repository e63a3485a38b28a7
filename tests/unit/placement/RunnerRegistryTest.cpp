#include "chiveshelf/placement/RunnerRegistry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

RunnerRecord makeRecord(std::string id)
{
    RunnerRecord record;
    record.id = std::move(id);
    record.pool = "pool";
    return record;
}

class RunnerRegistryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunnerRegistryTest);
    CPPUNIT_TEST(removalWhileTheStoreAnswersTakesEffectAtOnce);
    CPPUNIT_TEST(entryThatLapsedInAnOutageStaysUntilTheGraceEnds);
    CPPUNIT_TEST(entryThatComesBackWithinTheGraceIsKept);
    CPPUNIT_TEST(leavingRunnerIsGoneAtOnceAlsoAfterAnOutage);
    CPPUNIT_TEST(shortGapInContactGivesNoGrace);
    CPPUNIT_TEST_SUITE_END();

public:
    void removalWhileTheStoreAnswersTakesEffectAtOnce()
    {
        m_registry.put(makeRecord("a"));
        m_registry.remove("a", m_now);
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

    void entryThatLapsedInAnOutageStaysUntilTheGraceEnds()
    {
        loseAndRegain(seconds(5));
        m_registry.replaceAll({}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
        CPPUNIT_ASSERT(!m_registry.expire(m_now + RunnerRegistry::reregistrationGrace - milliseconds(1)));
        CPPUNIT_ASSERT(m_registry.expire(m_now + RunnerRegistry::reregistrationGrace));
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

    void entryThatComesBackWithinTheGraceIsKept()
    {
        loseAndRegain(seconds(5));
        m_registry.replaceAll({}, m_now);
        m_registry.put(makeRecord("a"));
        CPPUNIT_ASSERT(!m_registry.expire(m_now + seconds(10)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
    }

    void leavingRunnerIsGoneAtOnceAlsoAfterAnOutage()
    {
        loseAndRegain(seconds(5));
        auto record = makeRecord("a");
        record.isLeaving = true;
        m_registry.put(record);
        m_registry.remove("a", m_now);
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

    void shortGapInContactGivesNoGrace()
    {
        loseAndRegain(milliseconds(300));
        m_registry.remove("a", m_now);
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

private:
    void loseAndRegain(milliseconds gap)
    {
        m_registry.put(makeRecord("a"));
        m_registry.onContactLost(m_now);
        m_now += gap;
        m_registry.onContactRegained(m_now);
    }

    TimePoint m_now = TimePoint() + seconds(100);
    RunnerRegistry m_registry;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerRegistryTest);

}
