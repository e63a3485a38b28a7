#include "chiveshelf/gateway/HostExchange.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;

// Two hosts of one data centre and one of another on loopback addresses, each with its own state of the same runners.
class HostExchangeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostExchangeTest);
    CPPUNIT_TEST(loadOf45RunnersReachesPeersInSeveralNotices);
    CPPUNIT_TEST(fullLoadNoticeFitsIntoADatagram);
    CPPUNIT_TEST(placementInSmallFleetReachesAllHostsAtOnce);
    CPPUNIT_TEST(shortPromptInLargeFleetIsAnnouncedWithinDataCentreOnly);
    CPPUNIT_TEST(longPromptInLargeFleetIsAnnouncedToAllHosts);
    CPPUNIT_TEST(announcedPlacementInLoadNoticeIsCountedOnce);
    CPPUNIT_TEST(measuredStoreSlownessIsReportedOnce);
    CPPUNIT_TEST(measuredCapacityIsReportedOnce);
    CPPUNIT_TEST(workInLargeFleetReachesOwnDataCentreFirst);
    CPPUNIT_TEST(hostThatLostItsRegistrationCountsWhileItsNoticesArrive);
    CPPUNIT_TEST(failedConnectionIsSuspicionInOwnDataCentreUntilAnyHostGetsData);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        connect(m_first, m_second);
        connect(m_second, m_first);
        connect(m_remote, m_first);
    }

    void tearDown() override
    {
        for (auto* host : { &m_first, &m_second, &m_remote })
            host->exchange.stop();
        runFor(milliseconds(50));
    }

    // A load notice must not clear the work at runners that another notice of the same host lists.
    void loadOf45RunnersReachesPeersInSeveralNotices()
    {
        constexpr int n = 45;
        addRunners(n);
        OutstandingWork work;
        work.requests = 1;
        for (const auto& [id, runner] : m_first.state.backendDirectory().all())
            runner->addWork(work);
        runFor(milliseconds(500));
        int knownRequests = 0;
        for (const auto& [id, runner] : m_second.state.backendDirectory().all())
            knownRequests += runner->totalWork(std::chrono::steady_clock::now()).requests;
        CPPUNIT_ASSERT_EQUAL(n, knownRequests);
    }

    // Guards against notices that are dropped because they are too long, so that other hosts don't see this host's work.
    void fullLoadNoticeFitsIntoADatagram()
    {
        LoadNotice notice;
        notice.loads.resize(LoadNotice::maxLoads);
        notice.parts.resize(LoadNotice::maxParts);
        notice.versions.resize(LoadNotice::maxVersions);
        notice.storeSpeeds.resize(LoadNotice::maxStoreSpeeds);
        CPPUNIT_ASSERT(peer::encode(notice).size() <= peer::DatagramChannel::maxMessageBytes);
        for (std::size_t loads = 0; loads <= LoadNotice::maxLoads; ++loads) {
            notice.loads.resize(loads);
            CapacityNotice extended { notice, {} };
            extended.capacities.resize(extended.maxCapacities());
            if (!extended.capacities.empty())
                CPPUNIT_ASSERT(peer::encode(extended).size() <= peer::DatagramChannel::maxMessageBytes);
        }
    }

    // Guards against samples that never leave a host with work at many runners, and against samples that are reported again.
    void measuredCapacityIsReportedOnce()
    {
        constexpr int n = 45;
        addRunners(n);
        OutstandingWork work;
        work.requests = 1;
        const auto now = std::chrono::steady_clock::now();
        for (const auto& [id, runner] : m_first.state.backendDirectory().all()) {
            runner->addWork(work);
            runner->capacity().addOwnSample(1, 4, 80, now);
        }
        m_first.settings.learnsCapacity = true;
        m_second.settings.learnsCapacity = true;
        runFor(milliseconds(500));
        for (const auto& [id, runner] : m_second.state.backendDirectory().all()) {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(80, runner->capacity().meanMs(), 0.01);
            CPPUNIT_ASSERT(runner->capacity().takeOwnSamples().empty());
        }
        const auto learnedAt = runner(m_second)->capacity().lastSampleAt();
        runFor(milliseconds(400));
        CPPUNIT_ASSERT(runner(m_second)->capacity().lastSampleAt() == learnedAt);
    }

    void placementInSmallFleetReachesAllHostsAtOnce()
    {
        addRunners(1);
        place(m_first);
        runFor(milliseconds(20));
        CPPUNIT_ASSERT(peerPrefillMs(m_second) > 10);
        CPPUNIT_ASSERT(runner(m_second)->cachedParts().contains({ 7, 5'000 }, 0));
    }

    void shortPromptInLargeFleetIsAnnouncedWithinDataCentreOnly()
    {
        addRunners(1);
        enlargeFleet();
        // The first load notice contains the sender's data centre.
        runFor(milliseconds(400));
        place(m_first);
        runFor(milliseconds(20));
        CPPUNIT_ASSERT(peerPrefillMs(m_second) > 10);
        CPPUNIT_ASSERT_EQUAL(0.0, peerPrefillMs(m_remote));
        runFor(milliseconds(400));
        CPPUNIT_ASSERT(runner(m_remote)->cachedParts().contains({ 7, 5'000 }, 0));
    }

    // Without the notice, hosts of different data centres would send long prompts to the same runner.
    void longPromptInLargeFleetIsAnnouncedToAllHosts()
    {
        addRunners(1);
        enlargeFleet();
        place(m_first, milliseconds(200));
        runFor(milliseconds(20));
        CPPUNIT_ASSERT(peerPrefillMs(m_remote) > 100);
        CPPUNIT_ASSERT(runner(m_remote)->cachedParts().contains({ 7, 5'000 }, 0));
    }

    void announcedPlacementInLoadNoticeIsCountedOnce()
    {
        addRunners(1);
        const auto placement = place(m_first);
        runner(m_first)->addWork(placement.work);
        runFor(milliseconds(400));
        const auto work = runner(m_second)->totalWork(std::chrono::steady_clock::now());
        CPPUNIT_ASSERT_EQUAL(1, work.requests);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), work.prefillTokens[3]);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6'000), work.memoryTokens[3]);
        CPPUNIT_ASSERT_EQUAL(1, work.prompts[3]);
    }

    // In a large fleet each host measures only few of a store's transfers, so the hosts need each other's measurements to detect
    // a slow link. A host must not report the measurements of others as its own.
    void measuredStoreSlownessIsReportedOnce()
    {
        addRunners(1);
        for (int i = 0; i < 5; ++i)
            store(m_first).speed().addMeasurement(8, std::chrono::steady_clock::now());
        runFor(milliseconds(400));
        const auto now = std::chrono::steady_clock::now();
        const auto reportedSlowness = store(m_second).speed().linkSlowdown(now);
        CPPUNIT_ASSERT(reportedSlowness > 2);
        CPPUNIT_ASSERT(!store(m_second).speed().takeMeanMeasurement());
        runFor(milliseconds(400));
        CPPUNIT_ASSERT(store(m_second).speed().linkSlowdown(std::chrono::steady_clock::now()) < reportedSlowness);
    }

    // When many hosts of a data centre place streams on the same engines, load figures older than some 200 ms cause poor placements.
    void workInLargeFleetReachesOwnDataCentreFirst()
    {
        addRunners(1);
        enlargeFleet(70);
        runFor(milliseconds(1'300));
        OutstandingWork work;
        work.requests = 3;
        runner(m_first)->addWork(work);
        runFor(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(3, runner(m_second)->totalWork(std::chrono::steady_clock::now()).requests);
        runFor(milliseconds(1'200));
        CPPUNIT_ASSERT_EQUAL(3, runner(m_remote)->totalWork(std::chrono::steady_clock::now()).requests);
    }

    // Guards against hosts that each take the whole of a bound for the fleet after the store has lost all registrations.
    void hostThatLostItsRegistrationCountsWhileItsNoticesArrive()
    {
        runFor(milliseconds(400));
        m_first.exchange.setHosts({});
        runFor(milliseconds(3'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_first.exchange.hostCount());
        m_second.exchange.stop();
        runFor(milliseconds(2'500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_first.exchange.hostCount());
    }

    // Guards against notices that are not sent or not handled, and against data that ends the suspicion at one host only.
    void failedConnectionIsSuspicionInOwnDataCentreUntilAnyHostGetsData()
    {
        addRunners(1);
        enlargeFleet(0);
        const auto suspected = [](Host& host) { return host.exchange.suspicions().suspectedCount(std::chrono::steady_clock::now()); };
        const auto number = runner(m_first)->number();
        const auto now = std::chrono::steady_clock::now();
        m_first.exchange.suspicions().onConnectionFailed(number, now, now);
        runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, suspected(m_first));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, suspected(m_second));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, suspected(m_remote));
        m_second.exchange.suspicions().onRunnerData(number, std::chrono::steady_clock::now());
        runFor(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, suspected(m_first) + suspected(m_second) + suspected(m_remote));
    }

private:
    struct Host {
        Host(boost::asio::io_context& context, std::string name, std::string dataCentre, std::string ip)
            : settings(makeSettings(std::move(name), std::move(dataCentre), std::move(ip)))
            , state(settings)
            , exchange(context, settings, state)
        {
        }

        static GatewaySettings makeSettings(std::string name, std::string dataCentre, std::string ip)
        {
            GatewaySettings out;
            out.hostName = std::move(name);
            out.dataCentre = std::move(dataCentre);
            out.peerAddress = { std::move(ip), 17'700 };
            out.isFailureSharing = true;
            return out;
        }

        GatewaySettings settings;
        ServingState state;
        HostExchange exchange;
    };

    static void connect(Host& host, const Host& other)
    {
        host.exchange.setItemHandlers([] { return std::vector<std::pair<std::string, std::string>>(); }, [](const auto&) {});
        CPPUNIT_ASSERT(host.exchange.start());
        host.exchange.setHosts({ { other.settings.hostName, other.settings.peerAddress } });
    }

    static std::shared_ptr<BackendState> runner(Host& host) { return host.state.backendDirectory().find("r0"); }

    static CacheContents& store(Host& host) { return *host.state.cacheStores().at(0); }

    static double peerPrefillMs(Host& host)
    {
        return runner(host)->peerQueue().totalPrefillMs(std::chrono::steady_clock::now());
    }

    // Announces a prompt of priority 3, by default with a short prefill.
    static Placement place(Host& host, milliseconds prefill = milliseconds(50))
    {
        Placement placement;
        placement.runner = runner(host);
        placement.prefill = prefill;
        placement.work.requests = 1;
        placement.work.prefillTokens[3] = 6'000;
        placement.work.prompts[3] = 1;
        placement.work.memoryTokens[3] = 6'000;
        host.exchange.announcePlacement(placement, 3, { { 7, 5'000 }, { 8, 1'000 } }, 0);
        return placement;
    }

    // Makes the fleet too large for placement notices to all hosts. Nothing listens at the addresses of the additional hosts.
    void enlargeFleet(int unreachableHosts = 20)
    {
        std::map<std::string, Address> hosts { { "first", m_first.settings.peerAddress }, { "second", m_second.settings.peerAddress },
            { "far", m_remote.settings.peerAddress } };
        for (int i = 0; i < unreachableHosts; ++i)
            hosts.emplace("silent" + std::to_string(i), Address { "127.70.9.100", 17'700 });
        for (auto* host : { &m_first, &m_second, &m_remote })
            host->exchange.setHosts(hosts);
    }

    void addRunners(int n)
    {
        RegisteredPool pool;
        pool.name = "pool";
        pool.engine.emplace();
        pool.engine->memoryTokens = 100'000;
        RoutingTables tables;
        tables.version = 1;
        RegisteredPool storePool;
        storePool.name = "store";
        storePool.store = CacheStore { { "127.70.9.90", 80 }, "east", 100'000 };
        tables.pools = { pool, storePool };
        for (auto* host : { &m_first, &m_second, &m_remote }) {
            host->state.acceptTables(tables, { "test" });
            for (int i = 0; i < n; ++i) {
                RunnerRecord record;
                record.id = "r" + std::to_string(i);
                record.pool = "pool";
                host->state.registry().put(std::move(record));
            }
            host->state.refreshRunners();
        }
    }

    void runFor(milliseconds duration)
    {
        m_context.restart();
        m_context.run_for(duration);
    }

    boost::asio::io_context m_context { 1 };
    Host m_first { m_context, "first", "east", "127.70.9.1" };
    Host m_second { m_context, "second", "east", "127.70.9.2" };
    Host m_remote { m_context, "far", "west", "127.70.9.3" };
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostExchangeTest);

}
