#include "LoadCallers.h"
#include "chiveshelf/membership/RendezvousHash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

namespace {

using chiveshelf::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Samples the number of runners that load weights at the same time, and keeps the maximum.
class LoadSampler {
public:
    LoadSampler(const support::Fleet& fleet, std::vector<std::string> runners)
        : m_thread([this, &fleet, runners = std::move(runners)] {
            while (!m_isStopping) {
                std::size_t loading = 0;
                for (const auto& runner : runners) {
                    const auto stats = nlohmann::json::parse(support::call(fleet.backend(runner), Verb::get, "/control/stats").body, nullptr, false);
                    loading += stats.is_object() && stats["now"].value("loading", false) ? 1 : 0;
                }
                m_highestCount = std::max(m_highestCount, loading);
                std::this_thread::sleep_for(milliseconds(10));
            }
        })
    {
    }

    ~LoadSampler() { stop(); }
    LoadSampler(const LoadSampler&) = delete;
    LoadSampler& operator=(const LoadSampler&) = delete;

    std::size_t stop()
    {
        m_isStopping = true;
        if (m_thread.joinable())
            m_thread.join();
        return m_highestCount;
    }

private:
    std::atomic<bool> m_isStopping { false };
    std::size_t m_highestCount = 0;
    std::thread m_thread;
};

class RolloutTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RolloutTest);
    CPPUNIT_TEST(versionChangeUnderLoadUpdatesTwoRunnersAtATime);
    CPPUNIT_TEST(controllerPausedPastItsLeaseIsReplaced);
    CPPUNIT_TEST(controllerPausedPastItsLeaseIsReplacedWithFencing);
    CPPUNIT_TEST(platformOutageStopsRolloutCommandsUntilItEnds);
    CPPUNIT_TEST(disconnectedHostsOwningSamePoolUpdateTwoRunnersAtATime);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_fleet = std::make_unique<support::Fleet>(); }
    void tearDown() override { m_fleet.reset(); }

    // Guards against a rollout that loads on more than two runners at once, or that fails requests although runners are available.
    void versionChangeUnderLoadUpdatesTwoRunnersAtATime()
    {
        startFleet("check", "300", false);
        support::LoadCallers callers(*m_fleet, m_hosts, 6, 20);
        LoadSampler sampler(*m_fleet, m_runners);
        const auto editedAt = std::chrono::steady_clock::now();
        changeVersion("v2");
        CPPUNIT_ASSERT(waitForVersion("v2", seconds(4)));
        std::printf(" [all 6 runners after %lld ms]",
            static_cast<long long>(std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - editedAt).count()));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, sampler.stop());
        const auto records = callers.stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures(records));
        CPPUNIT_ASSERT(records.size() > 20);
        CPPUNIT_ASSERT_EQUAL(6, acceptedCommands());
        // The lease is held only during a rollout.
        CPPUNIT_ASSERT(support::eventually([&] { return support::call(m_fleet->platform(), Verb::get, "/kv/chiveshelf/control/east/desk/lease").status == 404; }, seconds(2)));
    }

    // Guards against a lease holder that continues to send commands after its lease has expired.
    void controllerPausedPastItsLeaseIsReplaced() { checkPausedLeaseHolder("ignore"); }
    void controllerPausedPastItsLeaseIsReplacedWithFencing() { checkPausedLeaseHolder("check"); }

    // Guards against a controller that sends commands although it cannot renew its lease.
    void platformOutageStopsRolloutCommandsUntilItEnds()
    {
        startFleet("ignore", "2500", false);
        LoadSampler sampler(*m_fleet, m_runners);
        changeVersion("v2");
        CPPUNIT_ASSERT(support::eventually([&] { return acceptedCommands() >= 2; }, seconds(5)));
        m_fleet->setPlatformFaults({ { "mode", "silent" } });
        // The lease expires 5 s after its last renewal, and the holder stops 1 s before that.
        std::this_thread::sleep_for(seconds(5));
        const auto before = acceptedCommands();
        std::this_thread::sleep_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(before, acceptedCommands());
        CPPUNIT_ASSERT(before < 6);
        m_fleet->setPlatformFaults(nlohmann::json::object());
        CPPUNIT_ASSERT(waitForVersion("v2", seconds(30)));
        CPPUNIT_ASSERT(sampler.stop() <= 2);
        CPPUNIT_ASSERT_EQUAL(6, acceptedCommands());
    }

    // Guards against two hosts that cannot reach each other and both send commands to the pool's runners.
    void disconnectedHostsOwningSamePoolUpdateTwoRunnersAtATime()
    {
        startFleet("ignore", "600", true);
        for (const auto& host : m_hosts)
            m_fleet->setFault(host + "/peer", { { "cut", "both" }, { "connections", "refuse" } });
        CPPUNIT_ASSERT(support::eventually([&] { return m_fleet->memberState("east-1", "east-2") == "gone" && m_fleet->memberState("east-2", "east-1") == "gone"; }, seconds(8)));
        LoadSampler sampler(*m_fleet, m_runners);
        changeVersion("v2");
        CPPUNIT_ASSERT(waitForVersion("v2", seconds(20)));
        CPPUNIT_ASSERT(sampler.stop() <= 2);
        CPPUNIT_ASSERT_EQUAL(6, acceptedCommands());
    }

private:
    void startFleet(const std::string& fencing, const std::string& loadMs, bool hasProxy)
    {
        m_fleet->startPlatform();
        m_runners.clear();
        for (int i = 1; i <= 6; ++i) {
            m_runners.push_back("runner-" + std::to_string(i));
            m_fleet->startRunner(m_runners.back(), "east", { "--fencing", fencing, "--load-ms", loadMs });
        }
        m_hosts = { "east-1", "east-2" };
        for (const auto& host : m_hosts) {
            if (hasProxy)
                m_fleet->useProxy(host + "/peer");
            m_fleet->startHost(host, "east");
        }
        m_fleet->writeHostList();
        m_tables = m_fleet->defaultTables();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_tables));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, seconds(4)));
        CPPUNIT_ASSERT(support::eventually([&] { return m_fleet->memberState("east-1", "east-2") == "live" && m_fleet->memberState("east-2", "east-1") == "live"; }, seconds(5)));
    }

    // Pauses the lease holder during a rollout for longer than its lease, so that another host takes over.
    void checkPausedLeaseHolder(const std::string& fencing)
    {
        startFleet(fencing, "1500", false);
        LoadSampler sampler(*m_fleet, m_runners);
        changeVersion("v2");
        CPPUNIT_ASSERT(support::eventually([&] { return acceptedCommands() >= 2; }, seconds(5)));
        const auto holder = chiveshelf::rankByRendezvous("scheduler/desk", m_hosts).front();
        const auto other = holder == "east-1" ? "east-2" : "east-1";
        m_fleet->process(holder).signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds(6'500));
        // The lease has expired, and the next holder waits for commands of the previous one that may still be under way.
        m_fleet->process(holder).signal(SIGCONT);
        CPPUNIT_ASSERT(waitForVersion("v2", seconds(30)));
        CPPUNIT_ASSERT(sampler.stop() <= 2);
        CPPUNIT_ASSERT_EQUAL(6, acceptedCommands());
        CPPUNIT_ASSERT(m_fleet->state(other)["control"]["desk"].value("commands", 0) > 0);
    }

    void changeVersion(const std::string& version)
    {
        m_tables.pools.front().version = version;
        m_tables.revision = 1;
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_tables));
    }

    bool waitForVersion(const std::string& version, milliseconds limit) const
    {
        return support::eventually(
            [&] {
                for (const auto& runner : m_runners) {
                    const auto now = stats(runner)["now"];
                    if (now["version"] != version || now["loading"] != false)
                        return false;
                }
                return true;
            },
            limit);
    }

    nlohmann::json stats(const std::string& runner) const
    {
        return nlohmann::json::parse(support::call(m_fleet->backend(runner), Verb::get, "/control/stats").body);
    }

    // Commands that the runners accepted.
    int acceptedCommands() const
    {
        int sum = 0;
        for (const auto& runner : m_runners)
            sum += stats(runner).value("commands", 0);
        return sum;
    }

    std::unique_ptr<support::Fleet> m_fleet;
    std::vector<std::string> m_runners;
    std::vector<std::string> m_hosts;
    chiveshelf::Tables m_tables;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

}
