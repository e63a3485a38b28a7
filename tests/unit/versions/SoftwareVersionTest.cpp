#include "StreamFleetFixture.h"

namespace {

using namespace chiveshelf;
using fakeplatform::ReceivedResponse;
using std::chrono::milliseconds;

// Runners of two software versions serve one pool. What two versions write doesn't fit together, so that a stream may only go on at
// the version that began it.
class SoftwareVersionTest : public fakeplatform::StreamFleetFixture {
    CPPUNIT_TEST_SUITE(SoftwareVersionTest);
    CPPUNIT_TEST(streamBrokenOffGoesOnAtItsVersionWithinTheAnswer);
    CPPUNIT_TEST(streamBrokenOffEndsIfNoRunnerOfItsVersionIsLeft);
    CPPUNIT_TEST(takeUpAtAnotherHostGoesOnAtTheVersionThatBeganTheStream);
    CPPUNIT_TEST(takeUpOfTakeUpGoesOnAtTheVersionThatBeganTheStream);
    CPPUNIT_TEST(takeUpAfterLossOfItsHostGoesOnAtTheVersionThatBeganTheStream);
    CPPUNIT_TEST(takeUpAfterLossOfAllHostsIsRefusedWhileTwoVersionsServe);
    CPPUNIT_TEST(takeUpAfterLossOfAllHostsIsRefusedIfOtherVersionHasJustLeft);
    CPPUNIT_TEST(takeUpAfterLossOfAllHostsGoesOnIfOneVersionServedAllAlong);
    CPPUNIT_TEST(takeUpOfUnknownStreamIsRefusedAtOnceWhileTwoVersionsServe);
    CPPUNIT_TEST(takeUpIsRefusedIfRunnerRestartedUnderItsIdWithAnotherVersion);
    CPPUNIT_TEST(takeUpIsNotSentToRunnerThatRestartedSinceItsEntry);
    CPPUNIT_TEST(streamOfRunnerThatRestartedBeforeItBeganIsNotResumed);
    CPPUNIT_TEST(idUsedForStreamsOfTwoVersionsIsNoProofOfOrigin);
    CPPUNIT_TEST(idUsedAgainAtAnotherVersionIsNoProofAtOtherHostsAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void streamBrokenOffGoesOnAtItsVersionWithinTheAnswer()
    {
        addStreamRunner("v1", true);
        addStreamRunner("v2", true);
        addStreamRunner("v1");
        addStreamRunner("v2");
        startGateway();
        for (int i = 0; i < streamCount; ++i) {
            const auto response = fetch(ask("id" + std::to_string(i)));
            CPPUNIT_ASSERT_EQUAL(200U, response.status);
            CPPUNIT_ASSERT(!response.isBroken);
            expectOneVersion(response.body);
        }
    }

    void streamBrokenOffEndsIfNoRunnerOfItsVersionIsLeft()
    {
        addStreamRunner("v1", true);
        addStreamRunner("v2", true);
        startGateway();
        for (int i = 0; i < streamCount; ++i) {
            const auto response = fetch(ask("id" + std::to_string(i)));
            CPPUNIT_ASSERT(response.isBroken || response.status != 200);
            expectOneVersion(response.body);
        }
    }

    void takeUpAtAnotherHostGoesOnAtTheVersionThatBeganTheStream()
    {
        startMixedFleet();
        const auto begun = beginStreams(0);
        for (const auto& [id, version] : begun)
            expectTakenUp(1, "b" + id, id, version);
    }

    void takeUpOfTakeUpGoesOnAtTheVersionThatBeganTheStream()
    {
        startMixedFleet();
        const auto begun = beginStreams(0);
        for (const auto& [id, version] : begun) {
            expectTakenUp(1, "b" + id, id, version);
            expectTakenUp(2, "c" + id, id, version);
        }
    }

    void takeUpAfterLossOfItsHostGoesOnAtTheVersionThatBeganTheStream()
    {
        startMixedFleet();
        const auto begun = beginStreams(0);
        runFor(milliseconds(100));
        killHost(0);
        for (const auto& [id, version] : begun)
            expectTakenUp(1, "b" + id, id, version);
    }

    // No host remembers, and both versions may have begun the stream.
    void takeUpAfterLossOfAllHostsIsRefusedWhileTwoVersionsServe()
    {
        startMixedFleet();
        const auto begun = beginStreams(0);
        restartFleet();
        for (const auto& [id, version] : begun)
            expectRefusedOrOf(fetchFrom(1, ask("b" + id, id)), version);
    }

    // What serves now says nothing about what served when the stream began.
    void takeUpAfterLossOfAllHostsIsRefusedIfOtherVersionHasJustLeft()
    {
        startMixedFleet();
        const auto begun = beginStreams(0);
        m_store->remove("servers/r0");
        m_store->remove("servers/r1");
        restartFleet();
        for (const auto& [id, version] : begun)
            expectRefusedOrOf(fetchFrom(1, ask("b" + id, id)), version);
    }

    void takeUpAfterLossOfAllHostsGoesOnIfOneVersionServedAllAlong()
    {
        for (int i = 0; i < 4; ++i)
            addStreamRunner("v1");
        startFleet();
        const auto begun = beginStreams(0);
        restartFleet();
        for (const auto& [id, version] : begun)
            expectTakenUp(1, "b" + id, id, version);
    }

    void takeUpOfUnknownStreamIsRefusedAtOnceWhileTwoVersionsServe()
    {
        startMixedFleet();
        const auto start = std::chrono::steady_clock::now();
        const auto response = fetchFrom(1, ask("b", "never-begun"));
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < milliseconds(500));
    }

    // The version belongs to an incarnation of a runner and not to its id.
    void takeUpIsRefusedIfRunnerRestartedUnderItsIdWithAnotherVersion()
    {
        addStreamRunner("v1");
        startFleet();
        const auto begun = beginStreams(0);
        m_versions[0] = "v2";
        registerVersion(0, 7'000);
        runFor(milliseconds(300));
        for (const auto& [id, version] : begun) {
            CPPUNIT_ASSERT_EQUAL(503U, fetchFrom(0, ask("b" + id, id)).status);
            CPPUNIT_ASSERT_EQUAL(503U, fetchFrom(1, ask("c" + id, id)).status);
        }
    }

    // The entry of a runner may be older than its last start.
    void takeUpIsNotSentToRunnerThatRestartedSinceItsEntry()
    {
        addStreamRunner("v1");
        addStreamRunner("v1");
        m_store->put("op/config", engineTables());
        startFleet();
        const auto begun = beginStreams(0);
        m_versions[0] = "v2";
        m_reportedBornMs[0] = 7'000;
        for (const auto& [id, version] : begun)
            expectTakenUp(1, "b" + id, id, version);
    }

    // Data that arrives after the entry of a later start shows that the stream didn't begin at the earlier one.
    void streamOfRunnerThatRestartedBeforeItBeganIsNotResumed()
    {
        addStreamRunner("v1");
        startGateway();
        m_versions[0] = "v2";
        m_pause = milliseconds(400);
        const auto out = std::make_shared<std::optional<ReceivedResponse>>();
        boost::asio::co_spawn(*m_context, fetchInto(ask("a"), { m_network + ".1", 7'001 }, out), boost::asio::detached);
        runFor(milliseconds(200));
        registerVersion(0, 7'000);
        addStreamRunner("v1");
        runFor(milliseconds(400));
        m_runners[0]->crash();
        runUntil([&] { return out->has_value(); });
        CPPUNIT_ASSERT(out->has_value());
        CPPUNIT_ASSERT((*out)->isBroken);
        expectOneVersion((*out)->body);
    }

    // Ids are the callers' own. If two streams have the same id, neither's version is known by it.
    void idUsedForStreamsOfTwoVersionsIsNoProofOfOrigin()
    {
        startMixedFleet();
        std::set<std::string> versions;
        for (int i = 0; i < 200 && versions.size() < 2; ++i)
            versions.insert(versionOf(fetchFrom(0, ask("same")).body));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), versions.size());
        CPPUNIT_ASSERT_EQUAL(503U, fetchFrom(0, ask("b", "same")).status);
        CPPUNIT_ASSERT_EQUAL(503U, fetchFrom(1, ask("c", "same")).status);
    }

    // Guards against a host that trusts an origin while the news that it is disputed still waits to be sent.
    void idUsedAgainAtAnotherVersionIsNoProofAtOtherHostsAtOnce()
    {
        startMixedFleet();
        std::set<std::string> versions;
        for (int i = 0; i < 200 && versions.size() < 2; ++i) {
            // The records of the first version reach the other hosts.
            runFor(milliseconds(60));
            versions.insert(versionOf(fetchFrom(0, ask("same")).body));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), versions.size());
        CPPUNIT_ASSERT_EQUAL(503U, fetchFrom(1, ask("b", "same")).status);
        CPPUNIT_ASSERT_EQUAL(503U, fetchFrom(2, ask("c", "same")).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoftwareVersionTest);

}
