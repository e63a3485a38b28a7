#include "chiveshelf/placement/VersionHistory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

class VersionHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(VersionHistoryTest);
    CPPUNIT_TEST(weightsBeforeMissedVersionExpireWithItWhenNewestIsDatedLater);
    CPPUNIT_TEST(weightsRightBeforeKnownVersionExpireWithThatVersion);
    CPPUNIT_TEST(versionLearnedFromHostKeepsTheGapBeforeIt);
    CPPUNIT_TEST(weightsBeforeDroppedVersionExpireWithIt);
    CPPUNIT_TEST(learnedTimeIsReportedOnlyIfItWasUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a host that starts, learns the age of the newest version only, and uses weights that an earlier one replaced.
    void weightsBeforeMissedVersionExpireWithItWhenNewestIsDatedLater()
    {
        m_history.add(3, { seconds(50), true, seconds(50) });
        m_history.mergeAnnouncementTime(3, seconds(53));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_history.required(milliseconds(54'900), grace));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_history.required(milliseconds(55'100), grace));
        CPPUNIT_ASSERT(m_history.expiryOf(1, grace) == seconds(55));
    }

    // Guards against hosts that refuse the weights before the newest version as if they could have been replaced twice.
    void weightsRightBeforeKnownVersionExpireWithThatVersion()
    {
        m_history.add(3, { seconds(50), true, seconds(50) });
        m_history.mergeAnnouncementTime(3, seconds(53));
        CPPUNIT_ASSERT(m_history.expiryOf(2, grace) == seconds(58));
        m_history.mergeAnnouncementTime(2, seconds(52));
        CPPUNIT_ASSERT(m_history.expiryOf(1, grace) == seconds(57));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_history.required(milliseconds(56'900), grace));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_history.required(milliseconds(57'100), grace));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_history.required(milliseconds(58'100), grace));
    }

    // Guards against a bounded or incomplete list of versions that is taken for all that were announced.
    void versionLearnedFromHostKeepsTheGapBeforeIt()
    {
        m_history.add(5, { seconds(50), true, seconds(50) });
        m_history.mergeAnnouncementTime(4, seconds(53));
        m_history.mergeAnnouncementTime(5, seconds(54));
        CPPUNIT_ASSERT(m_history.expiryOf(2, grace) == seconds(55));
        CPPUNIT_ASSERT(m_history.expiryOf(3, grace) == seconds(58));
        CPPUNIT_ASSERT(m_history.expiryOf(4, grace) == seconds(59));
    }

    // Guards against weights that stay in use longer because the version that replaced them is no longer stored.
    void weightsBeforeDroppedVersionExpireWithIt()
    {
        for (int i = 2; i <= 11; ++i)
            m_history.add(static_cast<std::uint64_t>(i), { seconds(50) + milliseconds(100) * i, false });
        CPPUNIT_ASSERT(m_history.versions().size() < 10);
        CPPUNIT_ASSERT(m_history.expiryOf(1, grace) == milliseconds(55'200));
        CPPUNIT_ASSERT(m_history.expiryOf(10, grace) == milliseconds(56'100));
    }

    // Guards against a log line for each notice of another host.
    void learnedTimeIsReportedOnlyIfItWasUnknown()
    {
        m_history.add(3, { seconds(50), true, seconds(50) });
        CPPUNIT_ASSERT(m_history.mergeAnnouncementTime(3, seconds(53)));
        CPPUNIT_ASSERT(!m_history.mergeAnnouncementTime(3, milliseconds(52'900)));
        CPPUNIT_ASSERT(m_history.versions().at(3).since == milliseconds(52'900));
        CPPUNIT_ASSERT(m_history.mergeAnnouncementTime(2, seconds(51)));
        CPPUNIT_ASSERT(!m_history.mergeAnnouncementTime(4, seconds(51)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_history.newest());
    }

private:
    static constexpr milliseconds grace { 5'000 };

    VersionHistory m_history;
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionHistoryTest);

}
