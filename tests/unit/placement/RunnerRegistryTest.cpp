#include "chiveshelf/placement/RunnerRegistry.h"
#include "chiveshelf/core/Hash.h"

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
    record.dataCentre = "z";
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
    CPPUNIT_TEST(entryMissingAfterOutageOfThisHostAloneIsRemovedImmediately);
    CPPUNIT_TEST(entryOfOtherDataCentreThanTheHostInContactIsKept);
    CPPUNIT_TEST(entryIsKeptIfTheOtherHostLostContactToo);
    CPPUNIT_TEST(entryIsKeptIfTheOtherHostHasHadNoAnswerSinceTheOutageBegan);
    CPPUNIT_TEST(deferredRemovalTakesEffectWhenAnotherHostTellsOfItsContact);
    CPPUNIT_TEST(entryMissingBesideOneRenewedInALongOutageIsRemovedImmediately);
    CPPUNIT_TEST(entryMissingBesideOneThatOutlastedAShortOutageIsKept);
    CPPUNIT_TEST(entryMissingBesideOneRenewedInOtherDataCentreIsKept);
    CPPUNIT_TEST(lastOfTheRenewedEntriesIsKept);
    CPPUNIT_TEST(entryMissingInRestoredListingIsKeptBesideHostInContact);
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

    // A host that was cut from the store alone sent requests to runners that had left.
    void entryMissingAfterOutageOfThisHostAloneIsRemovedImmediately()
    {
        simulateOutage(seconds(5));
        noteContact("z", seconds(20), milliseconds(0));
        m_registry.replaceAll({}, m_now);
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

    void entryOfOtherDataCentreThanTheHostInContactIsKept()
    {
        simulateOutage(seconds(5));
        noteContact("y", seconds(20), milliseconds(0));
        m_registry.replaceAll({}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
    }

    void entryIsKeptIfTheOtherHostLostContactToo()
    {
        simulateOutage(seconds(5));
        noteContact("z", seconds(20), milliseconds(0));
        m_registry.hostContacts().note(otherHost, hash64("z"), std::nullopt);
        m_registry.replaceAll({}, m_now);
        noteContact("z", seconds(4), milliseconds(0));
        CPPUNIT_ASSERT(!m_registry.expire(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
    }

    void entryIsKeptIfTheOtherHostHasHadNoAnswerSinceTheOutageBegan()
    {
        simulateOutage(seconds(5));
        noteContact("z", seconds(20), milliseconds(5'001));
        m_registry.replaceAll({}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
    }

    void deferredRemovalTakesEffectWhenAnotherHostTellsOfItsContact()
    {
        simulateOutage(seconds(5));
        m_registry.replaceAll({}, m_now);
        CPPUNIT_ASSERT(!m_registry.expire(m_now));
        noteContact("z", seconds(20), milliseconds(0));
        CPPUNIT_ASSERT(m_registry.expire(m_now));
        CPPUNIT_ASSERT(m_registry.records().empty());
    }

    // A host without neighbours sent requests to runners that had left.
    void entryMissingBesideOneRenewedInALongOutageIsRemovedImmediately()
    {
        simulateOutage(seconds(5), seconds(4), { "b" });
        m_registry.replaceAll({ makeRecord("b") }, m_now, { "b" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
        CPPUNIT_ASSERT(m_registry.records().contains("b"));
    }

    // No entry need have been renewed in an outage that is shorter than their lifetime.
    void entryMissingBesideOneThatOutlastedAShortOutageIsKept()
    {
        simulateOutage(seconds(5), seconds(3), { "b" });
        m_registry.replaceAll({ makeRecord("b") }, m_now, { "b" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_registry.records().size());
    }

    // The entries of a data centre that was cut off expire, those of the others are renewed.
    void entryMissingBesideOneRenewedInOtherDataCentreIsKept()
    {
        simulateOutage(seconds(5), seconds(4), { "b" });
        auto record = makeRecord("b");
        record.dataCentre = "y";
        m_registry.replaceAll({ record }, m_now, { "b" });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_registry.records().size());
    }

    // Entries that the store removes one after the other once it is back leave no evidence of a renewal.
    void lastOfTheRenewedEntriesIsKept()
    {
        simulateOutage(seconds(5), seconds(4), { "b" });
        m_registry.replaceAll({ makeRecord("a"), makeRecord("b") }, m_now, { "a", "b" });
        m_registry.remove("a", m_now);
        m_registry.remove("b", m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
        CPPUNIT_ASSERT(m_registry.records().contains("b"));
    }

    void entryMissingInRestoredListingIsKeptBesideHostInContact()
    {
        simulateOutage(seconds(5));
        m_registry.onRestored(m_now);
        noteContact("z", seconds(20), milliseconds(0));
        m_registry.replaceAll({}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.records().size());
    }

private:
    static constexpr std::uint64_t otherHost = 7;

    // Reports another host's contact with the store that began `age` ago, with the latest answer `answerAge` ago.
    void noteContact(std::string_view dataCentre, milliseconds age, milliseconds answerAge)
    {
        m_registry.hostContacts().note(otherHost, hash64(dataCentre), ContactSpan<TimePoint> { m_now - age, m_now - answerAge });
    }

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

    // The last call that failed was sent `lastFailure` after the first one had failed. These runners are known beside "a".
    void simulateOutage(milliseconds duration, milliseconds lastFailure, const std::vector<std::string>& moreRunners)
    {
        for (const auto& id : moreRunners)
            m_registry.put(makeRecord(id));
        m_registry.put(makeRecord("a"));
        m_registry.onContactLost(m_now);
        m_registry.onCallFailed(m_now + lastFailure, m_now + duration);
        m_now += duration;
        m_registry.onContactRegained(m_now);
    }

    TimePoint m_now = TimePoint() + seconds(100);
    RunnerRegistry m_registry;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerRegistryTest);

}
