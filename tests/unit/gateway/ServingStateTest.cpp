#include "chiveshelf/gateway/ServingState.h"
#include "chiveshelf/core/Hash.h"
#include "chiveshelf/gateway/EventCursor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ServingStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ServingStateTest);
    CPPUNIT_TEST(versionAgeAfterProcessStartIsTakenFromPeers);
    CPPUNIT_TEST(versionAgeAfterSuspensionIsTakenFromPeers);
    CPPUNIT_TEST(versionAgeWithStoreContactIsOnlyMovedEarlier);
    CPPUNIT_TEST(oldWeightsAreRejectedBeforeVersionLimit);
    CPPUNIT_TEST(tablesWithOlderOrEqualVersionAreIgnored);
    CPPUNIT_TEST(changedEngineLimitsApplyToKnownPool);
    CPPUNIT_TEST(requestWithLessTimeLeftIsLikelyRetry);
    CPPUNIT_TEST(incompleteEventIsHeldBackByEventCursor);
    CPPUNIT_TEST_SUITE_END();

public:
    // A restarted host must not use old weights beyond the time limit of a version that was announced during the restart.
    void versionAgeAfterProcessStartIsTakenFromPeers()
    {
        m_state.contactHistory().onAnswer(seconds(100));
        m_state.acceptVersion({ "m", 2 }, seconds(100));
        CPPUNIT_ASSERT(announcedVersion(2).isEstimate);
        // From 3 s after its start, a restarted host counts as serving and must not use weights of unknown age.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_state.requiredVersion("m", seconds(103)));
        m_state.acceptVersionAge(hash64("m"), 2, milliseconds(1'600), seconds(101));
        CPPUNIT_ASSERT(announcedVersion(2).since == milliseconds(99'400));
        CPPUNIT_ASSERT(!announcedVersion(2).isEstimate);
        m_state.acceptVersionAge(hash64("m"), 1, milliseconds(9'000), seconds(101));
        CPPUNIT_ASSERT(announcedVersion(1).since == seconds(92));
    }

    // A host that resumes after a suspension estimates too high an age for a new version, and must not send this estimate to
    // other hosts.
    void versionAgeAfterSuspensionIsTakenFromPeers()
    {
        m_state.contactHistory().onAnswer(seconds(96));
        m_state.contactHistory().onAnswer(milliseconds(96'500));
        m_state.contactHistory().onAnswer(seconds(100));
        m_state.acceptVersion({ "m", 2 }, seconds(100));
        CPPUNIT_ASSERT(announcedVersion(2).isEstimate);
        CPPUNIT_ASSERT(announcedVersion(2).since == milliseconds(96'500));
        m_state.acceptVersionAge(hash64("m"), 2, milliseconds(50), seconds(100));
        CPPUNIT_ASSERT(announcedVersion(2).since == milliseconds(99'950));
    }

    void versionAgeWithStoreContactIsOnlyMovedEarlier()
    {
        for (int i = 0; i < 20; ++i)
            m_state.contactHistory().onAnswer(seconds(99) + milliseconds(50) * i);
        m_state.acceptVersion({ "m", 2 }, seconds(100));
        CPPUNIT_ASSERT(!announcedVersion(2).isEstimate);
        m_state.acceptVersionAge(hash64("m"), 2, milliseconds(0), seconds(103));
        CPPUNIT_ASSERT(announcedVersion(2).since == seconds(100));
        m_state.acceptVersionAge(hash64("m"), 2, milliseconds(4'000), seconds(103));
        CPPUNIT_ASSERT(announcedVersion(2).since == seconds(99));
        m_state.acceptVersionAge(hash64("m"), 3, milliseconds(9'000), seconds(103));
        CPPUNIT_ASSERT(announcedVersion(2).since == seconds(99));
    }

    // Guards against a request that waits 1.6 s in its runner's queue and then starts on old weights after the version's time
    // limit of 6 s.
    void oldWeightsAreRejectedBeforeVersionLimit()
    {
        for (int i = 0; i < 20; ++i)
            m_state.contactHistory().onAnswer(seconds(99) + milliseconds(50) * i);
        m_state.acceptVersion({ "m", 2 }, seconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_state.requiredVersion("m", milliseconds(104'000)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_state.requiredVersion("m", milliseconds(104'400)));
    }

    void tablesWithOlderOrEqualVersionAreIgnored()
    {
        RoutingTables tables;
        tables.version = 5;
        CPPUNIT_ASSERT(m_state.acceptTables(tables, { "store" }));
        CPPUNIT_ASSERT(!m_state.acceptTables(tables, { "peer" }));
        tables.version = 4;
        CPPUNIT_ASSERT(!m_state.acceptTables(tables, { "store" }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), m_state.tablesVersion());
    }

    // Guards against prompts that are placed by the slots, memory and links of an older configuration until the process ends.
    void changedEngineLimitsApplyToKnownPool()
    {
        const EngineLimits former { 64, 100'000, 1'000, 10 };
        const EngineLimits changed { 16, 50'000, 1'000, 10 };
        acceptEngine(1, std::nullopt);
        CPPUNIT_ASSERT(!m_state.policies("models").engine);
        acceptEngine(2, former);
        CPPUNIT_ASSERT(m_state.policies("models").engine && m_state.policies("models").engine->limits() == former);
        acceptEngine(3, changed);
        CPPUNIT_ASSERT(m_state.policies("models").engine->limits() == changed);
        acceptEngine(4, std::nullopt);
        CPPUNIT_ASSERT(!m_state.policies("models").engine);
    }

    void requestWithLessTimeLeftIsLikelyRetry()
    {
        CPPUNIT_ASSERT(!m_state.isLikelyRetry("r", milliseconds(12'000), milliseconds(1'200)));
        CPPUNIT_ASSERT(!m_state.isLikelyRetry("r", milliseconds(11'500), milliseconds(1'200)));
        CPPUNIT_ASSERT(m_state.isLikelyRetry("r", milliseconds(9'000), milliseconds(1'200)));
        CPPUNIT_ASSERT(!m_state.isLikelyRetry("r", std::nullopt, milliseconds(1'200)));
    }

    void incompleteEventIsHeldBackByEventCursor()
    {
        EventCursor cursor;
        CPPUNIT_ASSERT_EQUAL(std::string(), cursor.take("id: 1\nda"));
        CPPUNIT_ASSERT_EQUAL(std::string(), cursor.lastId());
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), cursor.take("ta: a\n\nid: 2"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), cursor.lastId());
        cursor.discardPartial();
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\r\ndata: b\r\n\r\n"), cursor.take("id: 2\r\ndata: b\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), cursor.lastId());
    }

private:
    // Applies tables with one pool.
    void acceptEngine(std::uint64_t tablesVersion, std::optional<EngineLimits> limits)
    {
        RoutingTables tables;
        tables.version = tablesVersion;
        RegisteredPool pool;
        pool.name = "models";
        pool.engine = limits;
        tables.pools.push_back(pool);
        CPPUNIT_ASSERT(m_state.acceptTables(std::move(tables), { "store" }));
    }

    const AnnouncedVersion& announcedVersion(std::uint64_t version) const { return m_state.versions().at("m").versions().at(version); }

    GatewaySettings m_settings;
    ServingState m_state { m_settings };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingStateTest);

}
