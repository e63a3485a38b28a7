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

StorePosition at(Revision revision, StoreEra era = 1)
{
    return { era, revision };
}

ItemChange change(Revision revision, std::size_t bytes = 10)
{
    return { StoredItem { "servers/r" + std::to_string(revision), std::string(bytes, 'x'), revision }, false };
}

// Simulates the election in one data centre without I/O. Notices arrive at once or are lost.
class WatcherElectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WatcherElectionTest);
    CPPUNIT_TEST(electionOf300HostsHasTwoWatchers);
    CPPUNIT_TEST(lossOfOneWatcherCausesNoGapInNotices);
    CPPUNIT_TEST(lossOfAllWatchersIsRepairedWithin1900Ms);
    CPPUNIT_TEST(lossOf5PercentOfNoticesAddsFewWatchers);
    CPPUNIT_TEST(hostsWithFastLinksAndProcessorsWatch);
    CPPUNIT_TEST(slowHostsWatchWhileNoFastHostDoes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        setUpHosts(0);
    }

    // The number of calls to the store must not grow with the fleet.
    void electionOf300HostsHasTwoWatchers()
    {
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, countWatchers());
    }

    // Guards against hosts with a slow link that get each text from the store and send it to the others.
    void hostsWithFastLinksAndProcessorsWatch()
    {
        setUpHosts(2);
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, countWatchers());
        CPPUNIT_ASSERT(m_hosts[0].mustWatch(m_now));
        CPPUNIT_ASSERT(m_hosts[1].mustWatch(m_now));
        // A fast link doesn't make up for a slow processor.
        CPPUNIT_ASSERT(WatcherElection::rank(1, 10, 0.12) < WatcherElection::rank(0, 200, 0.5));
        CPPUNIT_ASSERT(WatcherElection::rank(1'000, 10, 0.12) > WatcherElection::rank(0, 200, 0.12));
    }

    void slowHostsWatchWhileNoFastHostDoes()
    {
        setUpHosts(2);
        stopWatchers(2);
        m_longestNoticeGap = milliseconds(0);
        simulate(seconds(4));
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, countWatchers());
        CPPUNIT_ASSERT(m_longestNoticeGap < milliseconds(1'900));
        m_isRunning[1] = true;
        simulate(seconds(2));
        CPPUNIT_ASSERT(m_hosts[1].mustWatch(m_now));
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, countWatchers());
    }

    void lossOfOneWatcherCausesNoGapInNotices()
    {
        stopWatchers(1);
        m_longestNoticeGap = milliseconds(0);
        simulate(seconds(4));
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, countWatchers());
        CPPUNIT_ASSERT(m_longestNoticeGap <= WatcherElection::noticeInterval + milliseconds(2 * stepMs));
    }

    void lossOfAllWatchersIsRepairedWithin1900Ms()
    {
        stopWatchers(WatcherElection::watcherCount);
        m_longestNoticeGap = milliseconds(0);
        simulate(seconds(4));
        CPPUNIT_ASSERT_EQUAL(WatcherElection::watcherCount, countWatchers());
        // A runner that shuts down must be out of use within 2 s, also right after the loss of the watching hosts.
        CPPUNIT_ASSERT(m_longestNoticeGap < milliseconds(1'900));
    }

    void lossOf5PercentOfNoticesAddsFewWatchers()
    {
        m_noticeLossShare = 0.05;
        std::size_t maxWatchers = 0;
        for (int i = 0; i < 40; ++i) {
            simulate(milliseconds(500));
            maxWatchers = std::max(maxWatchers, countWatchers());
        }
        CPPUNIT_ASSERT(maxWatchers <= std::size_t(hostCount / 10));
    }

private:
    static constexpr int hostCount = 300;
    static constexpr int stepMs = 10;

    // Makes a fleet whose first hosts have a fast link and processor, and simulates its start.
    void setUpHosts(int fastHosts)
    {
        m_now = start;
        m_hostHashes.clear();
        m_hosts.clear();
        for (int i = 0; i < hostCount; ++i) {
            const bool isFast = i < fastHosts;
            m_hostHashes.push_back(WatcherElection::rank(hash64("host-" + std::to_string(i)), isFast ? 200 : 10, isFast ? 0.5 : 0.12));
            m_hosts.emplace_back(m_hostHashes.back());
        }
        m_isRunning.assign(hostCount, true);
        m_nextNoticeAt.assign(hostCount, start);
        m_lastNoticeAt.assign(hostCount, start);
        simulate(seconds(5));
    }

    // Stops `n` of the hosts that watch.
    void stopWatchers(std::size_t n)
    {
        for (int i = 0; i < hostCount && n > 0; ++i) {
            if (m_isRunning[i] && m_hosts[i].mustWatch(m_now)) {
                m_isRunning[i] = false;
                --n;
            }
        }
    }

    void simulate(milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += milliseconds(stepMs)) {
            for (int i = 0; i < hostCount; ++i) {
                if (m_isRunning[i] && m_hosts[i].mustWatch(m_now) && m_now >= m_nextNoticeAt[i])
                    sendNotice(i);
            }
            for (int i = 0; i < hostCount; ++i) {
                if (m_isRunning[i] && !m_hosts[i].mustWatch(m_now))
                    m_longestNoticeGap = std::max(m_longestNoticeGap, std::chrono::duration_cast<milliseconds>(m_now - m_lastNoticeAt[i]));
            }
        }
    }

    void sendNotice(int sender)
    {
        m_nextNoticeAt[sender] = m_now + WatcherElection::noticeInterval;
        for (int i = 0; i < hostCount; ++i) {
            if (i != sender && std::uniform_real_distribution<double>(0, 1)(m_random) < m_noticeLossShare)
                continue;
            m_hosts[i].onNotice(m_hostHashes[sender], m_now);
            m_lastNoticeAt[i] = m_now;
        }
    }

    std::size_t countWatchers() const
    {
        std::size_t n = 0;
        for (int i = 0; i < hostCount; ++i)
            n += m_isRunning[i] && m_hosts[i].mustWatch(m_now) ? 1 : 0;
        return n;
    }

    TimePoint m_now = start;
    std::vector<std::uint64_t> m_hostHashes;
    std::vector<WatcherElection> m_hosts;
    std::vector<bool> m_isRunning;
    std::vector<TimePoint> m_nextNoticeAt;
    std::vector<TimePoint> m_lastNoticeAt;
    milliseconds m_longestNoticeGap { 0 };
    double m_noticeLossShare = 0;
    std::mt19937_64 m_random { 7 };
};

class ChangeLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ChangeLogTest);
    CPPUNIT_TEST(changesSinceRevisionAreReturnedInOrder);
    CPPUNIT_TEST(changesSinceUnknownRevisionAreNotReturned);
    CPPUNIT_TEST(gapInRevisionsDropsOlderChanges);
    CPPUNIT_TEST(changesOfEarlierEraAreDropped);
    CPPUNIT_TEST(changesBeyondByteLimitAreDropped);
    CPPUNIT_TEST(noticesOfLargeBatchHaveContiguousRevisions);
    CPPUNIT_TEST(changeOverNoticeSizeIsAnnouncedWithoutContent);
    CPPUNIT_TEST(longTextIsRelayedWithoutItsValue);
    CPPUNIT_TEST(onlyLastChangeOfKeyIsNotSuperseded);
    CPPUNIT_TEST_SUITE_END();

public:
    void changesSinceRevisionAreReturnedInOrder()
    {
        ChangeLog log;
        log.add(at(10), at(12), { change(11), change(12) });
        log.add(at(12), at(15), { change(15) });
        const auto batch = log.since(at(11));
        CPPUNIT_ASSERT(batch);
        CPPUNIT_ASSERT(at(15) == batch->position);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), batch->changes.size());
        CPPUNIT_ASSERT_EQUAL(Revision(12), batch->changes.front().item.revision);
    }

    // A host that missed changes before the start of the log must not get an incomplete list as if it were complete.
    void changesSinceUnknownRevisionAreNotReturned()
    {
        ChangeLog log;
        CPPUNIT_ASSERT(!log.since(at(0)));
        log.add(at(10), at(12), { change(11) });
        CPPUNIT_ASSERT(!log.since(at(9)));
        CPPUNIT_ASSERT(!log.since(at(13)));
        CPPUNIT_ASSERT(log.since(at(10)));
        CPPUNIT_ASSERT(log.since(at(12)));
    }

    void gapInRevisionsDropsOlderChanges()
    {
        ChangeLog log;
        log.add(at(10), at(12), { change(11) });
        log.add(at(14), at(15), { change(15) });
        CPPUNIT_ASSERT(!log.since(at(11)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.since(at(14))->changes.size());
    }

    // The store gives out the same revisions again after it was restored.
    void changesOfEarlierEraAreDropped()
    {
        ChangeLog log;
        log.add(at(10), at(12), { change(11) });
        log.add(at(10, 2), at(11, 2), { change(11) });
        CPPUNIT_ASSERT(!log.since(at(10)));
        CPPUNIT_ASSERT(!log.since(at(11)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.since(at(10, 2))->changes.size());
    }

    void changesBeyondByteLimitAreDropped()
    {
        ChangeLog log;
        for (Revision it = 1; it <= 10; ++it)
            log.add(at(it - 1), at(it), { change(it, ChangeLog::maxBytes / 4) });
        CPPUNIT_ASSERT(!log.since(at(0)));
        CPPUNIT_ASSERT(log.since(at(8)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), log.since(at(8))->changes.size());
    }

    void noticesOfLargeBatchHaveContiguousRevisions()
    {
        ChangeBatch batch;
        for (Revision it = 11; it <= 30; ++it)
            batch.changes.push_back(change(it, 250));
        batch.position = at(32);
        const auto notices = makeStoreNotices(7, at(10), batch);
        CPPUNIT_ASSERT(notices.size() > 1);
        Revision expectedRevision = 10;
        std::size_t n = 0;
        for (const auto& notice : notices) {
            CPPUNIT_ASSERT(at(expectedRevision) == notice.from);
            CPPUNIT_ASSERT(notice.hasChanges);
            CPPUNIT_ASSERT(peer::encode(notice).size() < 1'400);
            expectedRevision = notice.to.revision;
            n += notice.changes.size();
        }
        CPPUNIT_ASSERT_EQUAL(Revision(32), expectedRevision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), n);
    }

    void changeOverNoticeSizeIsAnnouncedWithoutContent()
    {
        const auto notices = makeStoreNotices(7, at(10), { { change(11), change(12, 5'000) }, at(12) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices.size());
        CPPUNIT_ASSERT(!notices.front().hasChanges);
        CPPUNIT_ASSERT(at(12) == notices.front().to);
    }

    // Guards against hosts that read the whole store because one item is longer than a notice or the log.
    void longTextIsRelayedWithoutItsValue()
    {
        const std::vector<ItemChange> changes { change(11), { StoredItem { "tables", std::string(2 * ChangeLog::maxBytes, 'x'), 12 }, false }, change(13) };
        const auto relayed = withoutValues(changes, "tables");
        const auto notices = makeStoreNotices(7, at(10), { relayed, at(13) });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices.size());
        CPPUNIT_ASSERT(notices.front().hasChanges);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), notices.front().changes.size());
        CPPUNIT_ASSERT_EQUAL(Revision(12), notices.front().changes[1].revision);
        CPPUNIT_ASSERT(notices.front().changes[1].value.empty());
        ChangeLog log;
        log.add(at(10), at(13), relayed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), log.since(at(10))->changes.size());
    }

    // Guards against the decoding of texts that are out of date when they arrive.
    void onlyLastChangeOfKeyIsNotSuperseded()
    {
        const std::vector<ItemChange> changes { { StoredItem { "tables", "a", 11 }, false }, { StoredItem { "tables", "b", 13 }, false }, change(14) };
        CPPUNIT_ASSERT(isSuperseded(changes, changes[0]));
        CPPUNIT_ASSERT(!isSuperseded(changes, changes[1]));
        CPPUNIT_ASSERT(!isSuperseded(changes, changes[2]));
    }
};

// Runs several gateways of one data centre and one store in this process.
class StoreRelayTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(StoreRelayTest);
    CPPUNIT_TEST(changesReachAllHostsWithTwoWatchers);
    CPPUNIT_TEST(tablesReachAllHostsAfterLostHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    void changesReachAllHostsWithTwoWatchers()
    {
        startFleet();
        const auto before = m_store->watchCount();
        constexpr int changeCount = 10;
        for (int i = 0; i < changeCount; ++i) {
            m_store->put("servers/other", "{}");
            runFor(milliseconds(300));
        }
        // Two hosts watch and call the store after each change and every 0.6 s. If all hosts did, there would be a hundred calls.
        CPPUNIT_ASSERT(m_store->watchCount() - before <= 2 * (changeCount + 6));
        expectTablesEverywhere(9);
        m_store->remove("servers/r0");
        runFor(milliseconds(300));
        for (int i = 0; i < hostCount; ++i)
            CPPUNIT_ASSERT_EQUAL(503U, fetchFrom(i, post("/sell/1")).status);
    }

    void tablesReachAllHostsAfterLostHistory()
    {
        startFleet();
        m_store->abortWatches();
        runFor(milliseconds(1'500));
        expectTablesEverywhere(9);
    }

private:
    static constexpr int hostCount = 10;

    // Changes the tables and expects each host to apply them within a second.
    void expectTablesEverywhere(int version)
    {
        m_store->put("op/config", fakeplatform::sellTables(version));
        runFor(milliseconds(1'000));
        for (int i = 0; i < hostCount; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(i, post("/sell/1")).status);
    }

    void startFleet()
    {
        addRunner([](const auto& request) { return Script { fakeplatform::sealedResponse(request, 200, "x") }; });
        startHosts(hostCount);
        // By then all hosts know each other, and the first watches have ended.
        runFor(seconds(6));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatcherElectionTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ChangeLogTest);
CPPUNIT_TEST_SUITE_REGISTRATION(StoreRelayTest);

}
