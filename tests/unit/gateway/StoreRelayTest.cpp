#include "GatewayFixture.h"
#include "chiveshelf/core/Hash.h"
#include "chiveshelf/gateway/StoreNotices.h"
#include "chiveshelf/gateway/WatcherElection.h"

#include <random>

namespace {

using namespace chiveshelf;
using fakeplatform::Script;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(100);

ItemChange change(Revision revision, std::size_t bytes = 10)
{
    return { StoredItem { "servers/r" + std::to_string(revision), std::string(bytes, 'x'), revision }, false };
}

// Hosts of one data centre that elect those which watch the store, without I/O: notices are heard at once, but for lost ones.
class WatcherElectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WatcherElectionTest);
    CPPUNIT_TEST(fewOfHundredsOfHostsWatch);
    CPPUNIT_TEST(lossOfOneThatWatchesIsMadeUpWithoutASilence);
    CPPUNIT_TEST(lossOfAllThatWatchIsMadeUpWithinTheBound);
    CPPUNIT_TEST(lostNoticesMakeFewOthersWatch);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int i = 0; i < hostCount; ++i) {
            m_numbers.push_back(hash64("host-" + std::to_string(i)));
            m_hosts.emplace_back(m_numbers.back());
        }
        m_isUp.assign(hostCount, true);
        m_noticeAt.assign(hostCount, start);
        m_heardAt.assign(hostCount, start);
        play(seconds(5));
    }

    // Guards against calls to the store that grow with the fleet.
    void fewOfHundredsOfHostsWatch()
    {
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, watchers());
    }

    void lossOfOneThatWatchesIsMadeUpWithoutASilence()
    {
        kill(1);
        m_longestSilence = milliseconds(0);
        play(seconds(4));
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, watchers());
        CPPUNIT_ASSERT(m_longestSilence <= WatcherElection::noticeInterval + milliseconds(2 * stepMs));
    }

    void lossOfAllThatWatchIsMadeUpWithinTheBound()
    {
        kill(WatcherElection::watcherCount);
        m_longestSilence = milliseconds(0);
        play(seconds(4));
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, watchers());
        // A leaving runner is out of use within 2 s, also where this happens just before.
        CPPUNIT_ASSERT(m_longestSilence < milliseconds(1'900));
    }

    void lostNoticesMakeFewOthersWatch()
    {
        m_lossShare = 0.05;
        std::size_t most = 0;
        for (int i = 0; i < 40; ++i) {
            play(milliseconds(500));
            most = std::max(most, watchers());
        }
        CPPUNIT_ASSERT(most <= std::size_t(hostCount / 10));
    }

private:
    static constexpr int hostCount = 300;
    static constexpr int stepMs = 10;

    // Stops the hosts that watch, as many as asked for.
    void kill(std::size_t n)
    {
        for (int i = 0; i < hostCount && n > 0; ++i) {
            if (m_isUp[i] && m_hosts[i].mustWatch(m_now)) {
                m_isUp[i] = false;
                --n;
            }
        }
    }

    void play(milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += milliseconds(stepMs)) {
            for (int i = 0; i < hostCount; ++i) {
                if (m_isUp[i] && m_hosts[i].mustWatch(m_now) && m_now >= m_noticeAt[i])
                    tell(i);
            }
            for (int i = 0; i < hostCount; ++i) {
                if (m_isUp[i] && !m_hosts[i].mustWatch(m_now))
                    m_longestSilence = std::max(m_longestSilence, std::chrono::duration_cast<milliseconds>(m_now - m_heardAt[i]));
            }
        }
    }

    void tell(int teller)
    {
        m_noticeAt[teller] = m_now + WatcherElection::noticeInterval;
        for (int i = 0; i < hostCount; ++i) {
            if (i != teller && std::uniform_real_distribution<double>(0, 1)(m_random) < m_lossShare)
                continue;
            m_hosts[i].onHeard(m_numbers[teller], m_now);
            m_heardAt[i] = m_now;
        }
    }

    std::size_t watchers() const
    {
        std::size_t n = 0;
        for (int i = 0; i < hostCount; ++i)
            n += m_isUp[i] && m_hosts[i].mustWatch(m_now) ? 1 : 0;
        return n;
    }

    TimePoint m_now = start;
    std::vector<std::uint64_t> m_numbers;
    std::vector<WatcherElection> m_hosts;
    std::vector<bool> m_isUp;
    std::vector<TimePoint> m_noticeAt;
    std::vector<TimePoint> m_heardAt;
    milliseconds m_longestSilence { 0 };
    double m_lossShare = 0;
    std::mt19937_64 m_random { 7 };
};

class ChangeLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ChangeLogTest);
    CPPUNIT_TEST(changesAfterARevisionAreThoseThatWereMissed);
    CPPUNIT_TEST(changesBeforeTheOldestAreNotClaimedToBeComplete);
    CPPUNIT_TEST(gapDropsWhatIsBeforeIt);
    CPPUNIT_TEST(changesBeyondTheRoomAreDropped);
    CPPUNIT_TEST(noticesOfOneAnswerGoOnFromEachOther);
    CPPUNIT_TEST(longChangesAreMentionedOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void changesAfterARevisionAreThoseThatWereMissed()
    {
        ChangeLog log;
        log.add(10, 12, { change(11), change(12) });
        log.add(12, 15, { change(15) });
        const auto batch = log.since(11);
        CPPUNIT_ASSERT(batch);
        CPPUNIT_ASSERT_EQUAL(Revision(15), batch->revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), batch->changes.size());
        CPPUNIT_ASSERT_EQUAL(Revision(12), batch->changes.front().item.revision);
    }

    // Guards against a host that believes to know all although something was never told to it.
    void changesBeforeTheOldestAreNotClaimedToBeComplete()
    {
        ChangeLog log;
        CPPUNIT_ASSERT(!log.since(0));
        log.add(10, 12, { change(11) });
        CPPUNIT_ASSERT(!log.since(9));
        CPPUNIT_ASSERT(!log.since(13));
        CPPUNIT_ASSERT(log.since(10));
        CPPUNIT_ASSERT(log.since(12));
    }

    void gapDropsWhatIsBeforeIt()
    {
        ChangeLog log;
        log.add(10, 12, { change(11) });
        log.add(14, 15, { change(15) });
        CPPUNIT_ASSERT(!log.since(11));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.since(14)->changes.size());
    }

    void changesBeyondTheRoomAreDropped()
    {
        ChangeLog log;
        for (Revision it = 1; it <= 10; ++it)
            log.add(it - 1, it, { change(it, ChangeLog::mostBytes / 4) });
        CPPUNIT_ASSERT(!log.since(0));
        CPPUNIT_ASSERT(log.since(8));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), log.since(8)->changes.size());
    }

    void noticesOfOneAnswerGoOnFromEachOther()
    {
        ChangeBatch batch;
        for (Revision it = 11; it <= 30; ++it)
            batch.changes.push_back(change(it, 250));
        batch.revision = 32;
        const auto notices = makeStoreNotices(7, 10, batch);
        CPPUNIT_ASSERT(notices.size() > 1);
        Revision at = 10;
        std::size_t n = 0;
        for (const auto& notice : notices) {
            CPPUNIT_ASSERT_EQUAL(at, notice.fromRevision);
            CPPUNIT_ASSERT(notice.hasChanges);
            CPPUNIT_ASSERT(peer::encode(notice).size() < 1'400);
            at = notice.toRevision;
            n += notice.changes.size();
        }
        CPPUNIT_ASSERT_EQUAL(Revision(32), at);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), n);
    }

    void longChangesAreMentionedOnly()
    {
        const auto notices = makeStoreNotices(7, 10, { { change(11), change(12, 5'000) }, 12 });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices.size());
        CPPUNIT_ASSERT(!notices.front().hasChanges);
        CPPUNIT_ASSERT_EQUAL(Revision(12), notices.front().toRevision);
    }
};

// Several gateways of one data centre beside one store, in this process.
class StoreRelayTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(StoreRelayTest);
    CPPUNIT_TEST(changesReachAllHostsWhileFewWatch);
    CPPUNIT_TEST(hostsGoOnAfterLostHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_hosts.clear();
        GatewayFixture::tearDown();
    }

    void changesReachAllHostsWhileFewWatch()
    {
        startHosts();
        const auto before = m_store->watchCount();
        constexpr int changeCount = 10;
        for (int i = 0; i < changeCount; ++i) {
            m_store->put("servers/other", "{}");
            runFor(milliseconds(300));
        }
        // Two hosts watch, each of which asks again after a change and each 0.6 s. If all did, there would be a hundred calls.
        CPPUNIT_ASSERT(m_store->watchCount() - before <= 2 * (changeCount + 6));
        expectTablesEverywhere(9);
        m_store->remove("servers/r0");
        runFor(milliseconds(300));
        for (int i = 0; i < hostCount; ++i)
            CPPUNIT_ASSERT_EQUAL(503U, fetchFrom(i, post("/sell/1")).status);
    }

    void hostsGoOnAfterLostHistory()
    {
        startHosts();
        m_store->abortWatches();
        runFor(milliseconds(1'500));
        expectTablesEverywhere(9);
    }

private:
    static constexpr int hostCount = 10;

    // Changes the tables and expects them in force on each host within a second.
    void expectTablesEverywhere(int version)
    {
        auto newer = std::string(fakeplatform::tables);
        newer.replace(newer.find("/book/"), 6, "/sell/").replace(newer.find(":3"), 2, ":" + std::to_string(version));
        m_store->put("op/config", newer);
        runFor(milliseconds(1'000));
        for (int i = 0; i < hostCount; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(i, post("/sell/1")).status);
    }

    void startHosts()
    {
        addRunner([](const auto& request) { return Script { fakeplatform::sealedResponse(request, 200, "x") }; });
        for (int i = 0; i < hostCount; ++i) {
            GatewaySettings settings;
            settings.hostName = "host-" + std::to_string(i);
            settings.dataCentre = "z";
            const auto ip = m_network + "." + std::to_string(10 + i);
            settings.callerAddress = { ip, 7'001 };
            settings.adminAddress = { ip, 7'002 };
            settings.peerAddress = { ip, 7'003 };
            settings.storeAddress = { m_network + ".1", 7'000 };
            m_hosts.push_back(std::make_unique<Gateway>(*m_context, settings));
            CPPUNIT_ASSERT(m_hosts.back()->start());
        }
        // All know each other, and the first watches have ended.
        runFor(seconds(6));
    }

    fakeplatform::ReceivedResponse fetchFrom(int host, const std::string& bytes)
    {
        return fetch(bytes, 7'001, m_network + "." + std::to_string(10 + host));
    }

    std::vector<std::unique_ptr<Gateway>> m_hosts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatcherElectionTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ChangeLogTest);
CPPUNIT_TEST_SUITE_REGISTRATION(StoreRelayTest);

}
