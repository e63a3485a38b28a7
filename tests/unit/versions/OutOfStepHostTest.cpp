#include "StreamFleetFixture.h"

namespace {

using std::chrono::milliseconds;

// Some hosts stand still while runners of a second software version join, or when callers take up streams at others.
class OutOfStepHostTest : public fakeplatform::StreamFleetFixture {
    CPPUNIT_TEST_SUITE(OutOfStepHostTest);
    CPPUNIT_TEST(streamsOfHostThatFreezesBeforeSecondVersionJoinsGoOnElsewhere);
    CPPUNIT_TEST(streamsOfHostLostBeforeSecondVersionJoinsGoOnElsewhere);
    CPPUNIT_TEST(hostThatWakesAfterSecondVersionJoinedJoinsNoStreams);
    CPPUNIT_TEST(hostThatWakesBesideLostHostJoinsNoStreams);
    CPPUNIT_TEST(hostThatStoodStillForAMomentJoinsNoStreams);
    CPPUNIT_TEST(newsInOneBurstAfterAFreezeJoinNoStreams);
    CPPUNIT_TEST(streamIsRefusedIfOnlyAMinorityOfHostsAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against records that only the silent host has.
    void streamsOfHostThatFreezesBeforeSecondVersionJoinsGoOnElsewhere()
    {
        startFirstVersion();
        const auto begun = beginStreams(0);
        runFor(recordsSent);
        setFrozen(0, true);
        joinSecondVersion();
        takeUpAll(begun, { 1, 2 });
        expectHalfGoOn();
    }

    // Guards against records that are lost with their host because it knew of one version only.
    void streamsOfHostLostBeforeSecondVersionJoinsGoOnElsewhere()
    {
        startFirstVersion();
        const auto begun = beginStreams(0);
        runFor(recordsSent);
        killHost(0);
        joinSecondVersion();
        takeUpAll(begun, { 1, 2 });
        expectHalfGoOn();
    }

    // Guards against the view of the runners from before the freeze.
    void hostThatWakesAfterSecondVersionJoinedJoinsNoStreams()
    {
        startFirstVersion();
        setFrozen(0, true);
        joinSecondVersion();
        const auto begun = beginStreams(1);
        runFor(recordsSent);
        setFrozen(0, false);
        takeUpAll(begun, { 0 });
        expectHalfGoOn();
    }

    // Guards against the loss of the host that began the streams in the moment in which the other one wakes.
    void hostThatWakesBesideLostHostJoinsNoStreams()
    {
        startFirstVersion();
        setFrozen(0, true);
        joinSecondVersion();
        const auto begun = beginStreams(1);
        runFor(recordsSent);
        killHost(1);
        setFrozen(0, false);
        takeUpAll(begun, { 0, 2 });
        expectHalfGoOn();
    }

    // Guards against a stop that is too short to count as a gap.
    void hostThatStoodStillForAMomentJoinsNoStreams()
    {
        startFirstVersion();
        setFrozen(0, true);
        addStreamRunner("v2");
        addStreamRunner("v2");
        runFor(milliseconds(400));
        const auto begun = beginStreams(1);
        setFrozen(0, false);
        takeUpAll(begun, { 0 });
        expectHalfGoOn();
    }

    // Guards against a version that comes and goes while the host stands still, so that its news are all late.
    void newsInOneBurstAfterAFreezeJoinNoStreams()
    {
        startFirstVersion();
        setFrozen(0, true);
        joinSecondVersion();
        const auto begun = beginStreams(1);
        runFor(recordsSent);
        m_store->remove("servers/r2");
        m_store->remove("servers/r3");
        runFor(milliseconds(300));
        setFrozen(0, false);
        takeUpAll(begun, { 0 });
        CPPUNIT_ASSERT_EQUAL(0, m_joined);
    }

    // Guards against a group of hosts that share a cut and so know no more than the one that asks them.
    void streamIsRefusedIfOnlyAMinorityOfHostsAnswers()
    {
        for (int i = 0; i < 2; ++i)
            addStreamRunner("v1");
        startFleet(largerFleet);
        for (int host = 2; host < largerFleet; ++host)
            setFrozen(host, true);
        CPPUNIT_ASSERT_EQUAL(503U, fetchFrom(0, ask("b", "never-seen")).status);
        setFrozen(2, false);
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(0, ask("c", "never-seen")).status);
    }

private:
    // Longer than a host collects records before it sends them.
    static constexpr milliseconds recordsSent { 250 };
    static constexpr int largerFleet = 5;

    void startFirstVersion()
    {
        addStreamRunner("v1");
        addStreamRunner("v1");
        startFleet();
    }

    void joinSecondVersion()
    {
        addStreamRunner("v2");
        addStreamRunner("v2");
        runFor(milliseconds(1'500));
    }

    // Takes up streams at several hosts in turn, and counts those that go on and those that go on at the wrong version.
    void takeUpAll(const std::map<std::string, std::string>& begun, const std::vector<int>& hosts)
    {
        for (const auto& [id, version] : begun) {
            const auto host = hosts[static_cast<std::size_t>(m_takeUps++) % hosts.size()];
            const auto response = fetchFrom(host, ask("b" + id, id));
            if (response.status != 200)
                continue;
            ++m_resumed;
            m_joined += versionOf(response.body) == version ? 0 : 1;
        }
    }

    void expectHalfGoOn() const
    {
        CPPUNIT_ASSERT_EQUAL(0, m_joined);
        CPPUNIT_ASSERT(2 * m_resumed >= m_takeUps);
    }

    int m_takeUps = 0;
    int m_resumed = 0;
    int m_joined = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutOfStepHostTest);

}
