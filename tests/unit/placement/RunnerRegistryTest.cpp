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
    CPPUNIT_TEST(removalInContactTakesEffectImmediately);
    CPPUNIT_TEST(entryMissingAfterOutageIsKeptUntilGraceEnds);
    CPPUNIT_TEST(entryRegisteredAgainWithinGraceIsKept);
    CPPUNIT_TEST(leavingRunnerRemovedAfterOutageIsRemovedImmediately);
    CPPUNIT_TEST(removalAfterShortOutageTakesEffectImmediately);
    CPPUNIT_TEST_SUITE_END();

public:
    void removalInContactTakesEffectImmediately()
    {
        m_registry.put(makeRecord("a"));
        m_registry.remove("a", m_now);
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

    void entryMissingAfterOutageIsKeptUntilGraceEnds()
    {
        simulateOutage(seconds(5));
        m_registry.replaceAll({}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
        CPPUNIT_ASSERT(!m_registry.expire(m_now + RunnerRegistry::reregistrationGrace - milliseconds(1)));
        CPPUNIT_ASSERT(m_registry.expire(m_now + RunnerRegistry::reregistrationGrace));
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

    void entryRegisteredAgainWithinGraceIsKept()
    {
        simulateOutage(seconds(5));
        m_registry.replaceAll({}, m_now);
        m_registry.put(makeRecord("a"));
        CPPUNIT_ASSERT(!m_registry.expire(m_now + seconds(10)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
    }

    void leavingRunnerRemovedAfterOutageIsRemovedImmediately()
    {
        simulateOutage(seconds(5));
        auto record = makeRecord("a");
        record.isLeaving = true;
        m_registry.put(record);
        m_registry.remove("a", m_now);
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

    void removalAfterShortOutageTakesEffectImmediately()
    {
        simulateOutage(milliseconds(300));
        m_registry.remove("a", m_now);
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

private:
    void simulateOutage(milliseconds duration)
    {
        m_registry.put(makeRecord("a"));
        m_registry.onContactLost(m_now);
        m_now += duration;
        m_registry.onContactRegained(m_now);
    }

    TimePoint m_now = TimePoint() + seconds(100);
    RunnerRegistry m_registry;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerRegistryTest);

}
