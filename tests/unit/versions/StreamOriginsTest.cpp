#include "chiveshelf/placement/StreamOrigins.h"
#include "chiveshelf/gateway/SoftwareLedger.h"
#include "chiveshelf/placement/SoftwareHistory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <random>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(1'000);
constexpr milliseconds lifetime { 10'000 };

class StreamOriginsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamOriginsTest);
    CPPUNIT_TEST(originIsForgottenAfterItsLifetimeUnlessRenewed);
    CPPUNIT_TEST(secondSoftwareOfTheSameStreamDisputesItsOrigin);
    CPPUNIT_TEST(disputedOriginStaysDisputedWhileItLives);
    CPPUNIT_TEST(recordsBeyondTheLimitAreDropped);
    CPPUNIT_TEST(softwareDiffersByPoolAndVersion);
    CPPUNIT_TEST(softwareRecordIsReadAsWrittenAndMalformedOnesAreNot);
    CPPUNIT_TEST_SUITE_END();

public:
    void originIsForgottenAfterItsLifetimeUnlessRenewed()
    {
        m_origins.record({ 1, 5 }, start);
        m_origins.record({ 2, 5 }, start);
        m_origins.record({ 2, 5 }, start + seconds(8));
        CPPUNIT_ASSERT(m_origins.recordOf(1, start + lifetime));
        CPPUNIT_ASSERT(!m_origins.recordOf(1, start + lifetime + milliseconds(1)));
        CPPUNIT_ASSERT(m_origins.recordOf(2, start + seconds(17)));
        m_origins.expire(start + seconds(12));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_origins.size());
    }

    // Ids are the callers' own, and two callers may use the same one.
    void secondSoftwareOfTheSameStreamDisputesItsOrigin()
    {
        m_origins.record({ 1, 5 }, start);
        const auto now = m_origins.record({ 1, 7 }, start + seconds(1));
        CPPUNIT_ASSERT(now);
        CPPUNIT_ASSERT_EQUAL(StreamOrigins::disputed, now->software);
    }

    void disputedOriginStaysDisputedWhileItLives()
    {
        m_origins.record({ 1, 5 }, start);
        m_origins.record({ 1, 7 }, start);
        m_origins.record({ 1, 7 }, start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(StreamOrigins::disputed, m_origins.recordOf(1, start + seconds(2))->software);
        m_origins.record({ 1, 7 }, start + seconds(30));
        CPPUNIT_ASSERT_EQUAL(SoftwareId(7), m_origins.recordOf(1, start + seconds(30))->software);
    }

    void recordsBeyondTheLimitAreDropped()
    {
        for (std::uint64_t stream = 1; stream <= StreamOrigins::maxStreams + 10; ++stream)
            m_origins.record({ stream, 5 }, start + milliseconds(stream / 10));
        CPPUNIT_ASSERT(m_origins.size() <= StreamOrigins::maxStreams);
        CPPUNIT_ASSERT(m_origins.recordOf(StreamOrigins::maxStreams + 10, start + seconds(6)));
    }

    void softwareDiffersByPoolAndVersion()
    {
        RunnerRecord runner;
        runner.pool = "a";
        runner.softwareVersion = "v1";
        const auto first = softwareOf(runner);
        runner.softwareVersion = "v2";
        CPPUNIT_ASSERT(first != softwareOf(runner));
        runner.softwareVersion = "v1";
        runner.pool = "b";
        CPPUNIT_ASSERT(first != softwareOf(runner));
        CPPUNIT_ASSERT(first != StreamOrigins::disputed);
    }

    void softwareRecordIsReadAsWrittenAndMalformedOnesAreNot()
    {
        const SoftwareRecord record { 3, { "v1", "v1.2" } };
        CPPUNIT_ASSERT(decodeSoftwareRecord(encodeSoftwareRecord(record)) == record);
        for (const auto* text : { "", "{", "[]", "{}", R"({"era":-1,"versions":[]})", R"({"era":1,"versions":[2]})", R"({"era":1})" })
            CPPUNIT_ASSERT(!decodeSoftwareRecord(text));
    }

private:
    StreamOrigins m_origins { lifetime };
};

class SoftwareHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SoftwareHistoryTest);
    CPPUNIT_TEST(hostThatHasJustStartedKnowsNothingOfThePast);
    CPPUNIT_TEST(hostKnowsThePastOnceItHasObservedForALifetime);
    CPPUNIT_TEST(firstStartOfTheSystemHasNoPast);
    CPPUNIT_TEST(recordOfThisEraTellsThePast);
    CPPUNIT_TEST(recordOfAnEarlierEraProvesNothing);
    CPPUNIT_TEST(versionThatHasLeftCountsForALifetime);
    CPPUNIT_TEST(gapInTheObservationStartsItAnew);
    CPPUNIT_TEST(recordIsWrittenOnChangesAndConfirmedInANewEra);
    CPPUNIT_TEST(hostsOfAnyOrderOfEventsConcludeTheRightVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_history = SoftwareHistory(lifetime); }

    void hostThatHasJustStartedKnowsNothingOfThePast()
    {
        m_history.start(start, false);
        observe({ "v1" }, start);
        CPPUNIT_ASSERT(!m_history.onlyVersion("pool", 1, start + seconds(1)));
    }

    void hostKnowsThePastOnceItHasObservedForALifetime()
    {
        m_history.start(start, false);
        observe({ "v1" }, start);
        observe({ "v1" }, start + lifetime);
        CPPUNIT_ASSERT(m_history.onlyVersion("pool", 1, start + lifetime) == "v1");
    }

    void firstStartOfTheSystemHasNoPast()
    {
        m_history.start(start, true);
        observe({ "v1" }, start);
        CPPUNIT_ASSERT(m_history.onlyVersion("pool", 1, start) == "v1");
    }

    void recordOfThisEraTellsThePast()
    {
        m_history.start(start, false);
        observe({ "v1" }, start);
        m_history.setRecord("pool", SoftwareRecord { 1, { "v1" } }, start);
        CPPUNIT_ASSERT(m_history.onlyVersion("pool", 1, start) == "v1");
        m_history.setRecord("pool", SoftwareRecord { 1, { "v1", "v2" } }, start);
        CPPUNIT_ASSERT(!m_history.onlyVersion("pool", 1, start));
    }

    // The restored store may have lost versions that served since its copy.
    void recordOfAnEarlierEraProvesNothing()
    {
        m_history.start(start, false);
        observe({ "v1" }, start);
        m_history.setRecord("pool", SoftwareRecord { 1, { "v1" } }, start);
        CPPUNIT_ASSERT(!m_history.onlyVersion("pool", 2, start));
    }

    void versionThatHasLeftCountsForALifetime()
    {
        m_history.start(start, true);
        observe({ "v1", "v2" }, start);
        observe({ "v2" }, start + seconds(5));
        CPPUNIT_ASSERT(!m_history.onlyVersion("pool", 1, start + lifetime));
        observe({ "v2" }, start + lifetime + milliseconds(1));
        CPPUNIT_ASSERT(m_history.onlyVersion("pool", 1, start + lifetime + milliseconds(1)) == "v2");
    }

    void gapInTheObservationStartsItAnew()
    {
        m_history.start(start, true);
        observe({ "v1" }, start);
        m_history.onGap(start + seconds(20));
        observe({ "v1" }, start + seconds(20));
        CPPUNIT_ASSERT(!m_history.onlyVersion("pool", 1, start + seconds(21)));
        observe({ "v1" }, start + seconds(31));
        CPPUNIT_ASSERT(m_history.onlyVersion("pool", 1, start + seconds(31)) == "v1");
    }

    void recordIsWrittenOnChangesAndConfirmedInANewEra()
    {
        m_history.start(start, true);
        observe({ "v1" }, start);
        CPPUNIT_ASSERT((m_history.missingRecords(1, start).at("pool") == SoftwareRecord { 1, { "v1" } }));
        m_history.setRecord("pool", SoftwareRecord { 1, { "v1" } }, start);
        CPPUNIT_ASSERT(m_history.missingRecords(1, start).empty());
        CPPUNIT_ASSERT((m_history.missingRecords(2, start).at("pool") == SoftwareRecord { 2, { "v1" } }));
    }

    // Releases, losses of hosts and restores of the store in any order. A conclusion must never be wrong, and must be possible while
    // hosts remember.
    void hostsOfAnyOrderOfEventsConcludeTheRightVersion()
    {
        const char* more = std::getenv("CHIVESHELF_TEST_SEEDS");
        const unsigned seeds = more ? static_cast<unsigned>(std::atoi(more)) : 100;
        Counts counts;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            const auto wrong = counts.wrong;
            Simulation(seed, counts).run();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), wrong, counts.wrong);
        }
        CPPUNIT_ASSERT(counts.concluded > 0);
        CPPUNIT_ASSERT(2 * counts.concludedInCalm > counts.askedInCalm);
    }

private:
    struct Counts {
        int wrong = 0;
        int concluded = 0;
        // Questions while no host was lost for a stream's lifetime.
        int askedInCalm = 0;
        int concludedInCalm = 0;
    };

    // Steps of 50 ms. Each host sees the entries of the store a while late. Streams begin at versions that their host sees.
    class Simulation {
    public:
        Simulation(unsigned seed, Counts& counts)
            : m_random(seed)
            , m_counts(counts)
        {
        }

        void run()
        {
            m_store.versions = { 1 };
            for (auto& host : m_hosts)
                startHost(host, true);
            for (; m_now < seconds(90); m_now += step) {
                release();
                loseHosts();
                restoreStore();
                for (auto& host : m_hosts)
                    update(host);
                writeRecord();
                beginStream();
                resumeStream();
            }
        }

    private:
        static constexpr milliseconds step { 50 };

        struct Store {
            std::set<int> versions;
            std::optional<SoftwareRecord> record;
        };

        struct Host {
            SoftwareHistory history { lifetime };
            StreamOrigins origins { lifetime };
            std::optional<milliseconds> downUntil;
            Store view;
            std::uint64_t era = 0;
            milliseconds seesAt { 0 };
        };

        struct Stream {
            std::uint64_t id = 0;
            int version = 0;
            milliseconds begunAt { 0 };
        };

        int within(int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_random); }
        bool happens(double perSecond) { return std::uniform_real_distribution<double>(0, 1)(m_random) < perSecond * 0.05; }
        TimePoint time() const { return start + m_now; }
        static SoftwareId softwareOfVersion(int version) { return static_cast<SoftwareId>(version); }

        void startHost(Host& host, bool isFirstStart)
        {
            host = Host();
            host.history.start(time(), isFirstStart);
            look(host);
        }

        void look(Host& host)
        {
            host.view = m_store;
            host.era = m_era;
            std::map<std::string, RunnerRecord> runners;
            for (const auto version : m_store.versions) {
                auto& runner = runners["r" + std::to_string(version)];
                runner.pool = "pool";
                runner.softwareVersion = std::to_string(version);
            }
            host.history.observe(runners, time());
            host.history.setRecord("pool", m_store.record, time());
        }

        void share(Host& from, const StreamOrigin& origin)
        {
            for (auto& host : m_hosts) {
                if (&host != &from && !host.downUntil && within(0, 19) != 0)
                    host.origins.record(origin, time());
            }
        }

        void update(Host& host)
        {
            if (host.downUntil && m_now >= *host.downUntil)
                startHost(host, false);
            if (host.downUntil || m_now < host.seesAt)
                return;
            look(host);
            host.seesAt = m_now + milliseconds(within(0, 9) == 0 ? within(0, 600) : 50);
        }

        void release()
        {
            if (m_store.versions.size() < 2 && happens(0.08))
                m_store.versions.insert(++m_newest);
            else if (m_store.versions.size() > 1 && happens(0.2))
                m_store.versions.erase(m_store.versions.begin());
            m_serving = m_store.versions;
        }

        void loseHosts()
        {
            const bool isAll = happens(0.05);
            for (auto& host : m_hosts) {
                if (!isAll && !happens(0.01))
                    continue;
                host.downUntil = m_now + milliseconds(within(300, 2'000));
                m_lastLossAt = m_now;
                m_leaderFrom = m_now + milliseconds(2'500);
            }
        }

        // The copy lacks what was written in the last seconds. Runners register again at once; the record is gone until it is written.
        void restoreStore()
        {
            if (happens(0.3))
                m_copy = m_store;
            if (!happens(0.03))
                return;
            m_store.record = m_copy.record;
            ++m_era;
            m_leaderFrom = m_now + milliseconds(2'500);
        }

        void writeRecord()
        {
            if (m_now < m_leaderFrom)
                return;
            for (auto& host : m_hosts) {
                if (host.downUntil)
                    continue;
                if (host.era == m_era && host.view.record == m_store.record) {
                    for (auto& [pool, record] : host.history.missingRecords(m_era, time()))
                        m_store.record = record;
                }
                return;
            }
        }

        Host* runningHost()
        {
            auto& host = m_hosts[static_cast<std::size_t>(within(0, static_cast<int>(m_hosts.size()) - 1))];
            return host.downUntil ? nullptr : &host;
        }

        void beginStream()
        {
            auto* host = runningHost();
            if (!host || host->view.versions.empty())
                return;
            auto version = host->view.versions.begin();
            std::advance(version, within(0, static_cast<int>(host->view.versions.size()) - 1));
            if (!m_serving.contains(*version))
                return;
            m_streams.push_back({ ++m_lastStream, *version, m_now });
            const StreamOrigin origin { m_lastStream, softwareOfVersion(*version) };
            host->origins.record(origin, time());
            share(*host, origin);
        }

        void resumeStream()
        {
            auto* host = runningHost();
            if (!host || m_streams.empty())
                return;
            const auto& stream = m_streams[static_cast<std::size_t>(within(0, static_cast<int>(m_streams.size()) - 1))];
            if (m_now - stream.begunAt > milliseconds(8'000))
                return;
            const auto version = conclude(*host, stream.id);
            const bool isCalm = m_now - m_lastLossAt > lifetime;
            m_counts.askedInCalm += isCalm ? 1 : 0;
            if (!version)
                return;
            ++m_counts.concluded;
            m_counts.concludedInCalm += isCalm ? 1 : 0;
            m_counts.wrong += *version == softwareOfVersion(stream.version) ? 0 : 1;
        }

        std::optional<SoftwareId> conclude(Host& host, std::uint64_t stream)
        {
            bool isMixed = false;
            std::size_t answers = 0;
            for (auto& other : m_hosts) {
                if (other.downUntil || (&other != &host && within(0, 19) == 0))
                    continue;
                ++answers;
                if (const auto record = other.origins.recordOf(stream, time()))
                    return record->software == StreamOrigins::disputed ? std::nullopt : std::optional(record->software);
                isMixed = isMixed || other.history.versions("pool", time()).size() > 1;
            }
            const auto only = host.history.onlyVersion("pool", host.era, time());
            if (!only || isMixed || answers < 2)
                return std::nullopt;
            return softwareOfVersion(std::stoi(*only));
        }

        std::mt19937 m_random;
        Counts& m_counts;
        milliseconds m_now { 0 };
        std::array<Host, 6> m_hosts;
        Store m_store;
        Store m_copy;
        std::uint64_t m_era = 1;
        int m_newest = 1;
        std::set<int> m_serving;
        milliseconds m_lastLossAt { -60'000 };
        milliseconds m_leaderFrom { 0 };
        std::uint64_t m_lastStream = 0;
        std::vector<Stream> m_streams;
    };

    void observe(const std::set<std::string>& versions, TimePoint now)
    {
        std::map<std::string, RunnerRecord> runners;
        for (const auto& version : versions) {
            auto& runner = runners[version];
            runner.pool = "pool";
            runner.softwareVersion = version;
        }
        m_history.observe(runners, now);
    }

    SoftwareHistory m_history { lifetime };
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(SoftwareHistoryTest);

}
