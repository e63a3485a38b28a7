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
    CPPUNIT_TEST(entryOfEarlierReportIsIgnored);
    CPPUNIT_TEST(entryOfEarlierStartIsIgnored);
    CPPUNIT_TEST(entryOfLaterStartReplacesHigherCountOfReports);
    CPPUNIT_TEST(lastEntryOfRemovedRunnerIsIgnoredAndLaterReportAccepted);
    CPPUNIT_TEST(entriesWithoutTimeOfStartAreAcceptedInAnyOrder);
    CPPUNIT_TEST(listingFromBeforeDepartureReturnsTheRunnersThatLeft);
    CPPUNIT_TEST(entryMissingInRestoredListingIsKeptUntilGraceEnds);
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

    // A store that was restored from an older copy lists former states.
    void entryOfEarlierReportIsIgnored()
    {
        auto leaving = makeReport("a", 100, 8);
        leaving.isLeaving = true;
        m_registry.put(leaving);
        CPPUNIT_ASSERT(!m_registry.put(makeReport("a", 100, 7)));
        CPPUNIT_ASSERT(m_registry.records().at("a").isLeaving);
    }

    void entryOfEarlierStartIsIgnored()
    {
        m_registry.put(makeReport("a", 100, 1));
        CPPUNIT_ASSERT(!m_registry.put(makeReport("a", 99, 50)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100), m_registry.records().at("a").bornMs);
    }

    void entryOfLaterStartReplacesHigherCountOfReports()
    {
        m_registry.put(makeReport("a", 100, 50));
        CPPUNIT_ASSERT(m_registry.put(makeReport("a", 101, 1)));
    }

    void lastEntryOfRemovedRunnerIsIgnoredAndLaterReportAccepted()
    {
        m_registry.put(makeReport("a", 100, 8));
        m_registry.remove("a", m_now);
        CPPUNIT_ASSERT(!m_registry.put(makeReport("a", 100, 7)));
        CPPUNIT_ASSERT(!m_registry.put(makeReport("a", 100, 8)));
        CPPUNIT_ASSERT(m_registry.records().empty());
        CPPUNIT_ASSERT(m_registry.put(makeReport("a", 100, 9)));
    }

    void entriesWithoutTimeOfStartAreAcceptedInAnyOrder()
    {
        m_registry.put(makeReport("a", 0, 8));
        CPPUNIT_ASSERT(m_registry.put(makeReport("a", 0, 1)));
        m_registry.remove("a", m_now);
        CPPUNIT_ASSERT(m_registry.put(makeReport("a", 0, 1)));
    }

    void listingFromBeforeDepartureReturnsTheRunnersThatLeft()
    {
        m_registry.put(makeReport("a", 100, 8));
        m_registry.remove("a", m_now);
        m_registry.put(makeReport("b", 100, 4));
        const auto left = m_registry.replaceAll({ makeReport("a", 100, 8), makeReport("b", 100, 3) }, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), left.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), left.front().id);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), m_registry.records().at("b").sequence);
    }

    void entryMissingInRestoredListingIsKeptUntilGraceEnds()
    {
        m_registry.put(makeReport("a", 100, 1));
        m_registry.onRestored(m_now);
        m_registry.replaceAll({}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
        CPPUNIT_ASSERT(m_registry.expire(m_now + RunnerRegistry::reregistrationGrace));
    }

private:
    static RunnerRecord makeReport(std::string id, std::int64_t bornMs, std::int64_t sequence)
    {
        auto record = makeRecord(std::move(id));
        record.bornMs = bornMs;
        record.sequence = sequence;
        return record;
    }

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
