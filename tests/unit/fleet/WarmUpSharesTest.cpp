#include "chiveshelf/gateway/FleetLimits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <random>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(1'000);
const std::string runnerId = "r0";
constexpr double bound = 20;
constexpr milliseconds warmUpTime { 3'000 };
constexpr milliseconds length { 5'000 };

// A fleet that hears within 0.8 s of a runner that has just started. All its hosts have more requests for the runner than it may get.
struct Scenario {
    int hosts = 80;
    // Shares of the hosts that die without a word, that restart, that are cut off from the others and the store, and that stand still.
    double dead = 0;
    double restarted = 0;
    double cutOff = 0;
    double paused = 0;
    std::uint64_t seed = 1;
};

class Simulation {
public:
    explicit Simulation(const Scenario& scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        for (int i = 0; i < scenario.hosts; ++i)
            m_allHosts.insert(hashOf(i));
        for (int i = 0; i < scenario.hosts; ++i)
            addHost(i);
    }

    void run()
    {
        for (int i = 0; i < m_scenario.hosts; ++i)
            runHost(i);
        std::sort(m_sends.begin(), m_sends.end());
    }

    // Returns the largest number of requests in any second.
    std::size_t largestCount() const
    {
        std::size_t out = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < m_sends.size(); ++i) {
            while (m_sends[first] <= m_sends[i] - seconds(1))
                ++first;
            out = std::max(out, i - first + 1);
        }
        return out;
    }

    // Returns the requests per second while all hosts know that the runner warms up.
    double rate() const
    {
        const auto n = std::count_if(m_sends.begin(), m_sends.end(), [](auto at) { return at >= start + seconds(1) && at < start + warmUpTime; });
        return static_cast<double>(n) / 2;
    }

private:
    struct Host {
        BackendDirectory directory;
        std::unique_ptr<FleetLimits> limits;
        TimePoint listedAt;
        std::optional<TimePoint> diesAt;
        std::optional<TimePoint> restartsAt;
        // When the host learns which others have died, unless it is cut off.
        std::optional<TimePoint> dropsDeadAt;
        std::optional<std::pair<TimePoint, TimePoint>> pause;
    };

    static std::uint64_t hashOf(int host) { return 1'000 + static_cast<std::uint64_t>(host) * 7; }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    milliseconds upTo(milliseconds limit) { return milliseconds(static_cast<std::int64_t>(uniform() * static_cast<double>(limit.count()))); }

    void addHost(int i)
    {
        auto host = std::make_unique<Host>();
        host->listedAt = start + upTo(milliseconds(800));
        const auto kind = uniform();
        const auto& s = m_scenario;
        if (kind < s.dead) {
            host->diesAt = start - seconds(2) + upTo(length);
            m_deadHosts.insert(hashOf(i));
        } else if (kind < s.dead + s.restarted) {
            host->restartsAt = start - seconds(3) + upTo(length);
        }
        if (uniform() >= s.cutOff)
            host->dropsDeadAt = start + upTo(length);
        if (uniform() < s.paused) {
            const auto from = start + upTo(seconds(3));
            host->pause = { from, from + upTo(seconds(2)) };
        }
        startProcess(i, *host, true);
        m_hosts.push_back(std::move(host));
    }

    void startProcess(int i, Host& host, bool knowsHosts)
    {
        host.limits = std::make_unique<FleetLimits>(host.directory, hashOf(i), 1, [this] { return uniform(); });
        if (knowsHosts) {
            setHosts(i, host, m_allHosts);
            host.limits->recordAwake(start - seconds(60));
        }
    }

    static void setHosts(int i, Host& host, std::set<std::uint64_t> hosts)
    {
        hosts.erase(hashOf(i));
        host.limits->setHosts(std::move(hosts), milliseconds(600));
    }

    void list(Host& host, TimePoint now)
    {
        RunnerRecord record;
        record.id = runnerId;
        record.pool = "pool";
        record.coldLeft = warmUpTime;
        host.directory.update({ { runnerId, record } }, [](const std::string&) { return std::int64_t(0); });
        host.directory.find(runnerId)->setWarmUpBound(WarmUpBound { warmUpTime, bound }, now);
    }

    // Hosts exchange no messages about such a runner, so they can be simulated one after the other.
    void runHost(int i)
    {
        auto& host = *m_hosts[static_cast<std::size_t>(i)];
        bool isListed = false;
        std::set<std::uint64_t> known = m_allHosts;
        for (auto now = start - seconds(3); now < start + length; now += milliseconds(10)) {
            if (host.diesAt && now >= *host.diesAt)
                return;
            if (host.restartsAt && now >= *host.restartsAt) {
                host.restartsAt.reset();
                startProcess(i, host, false);
                known.clear();
                if (isListed)
                    list(host, now);
            }
            // A restarted host learns of the others in the next two seconds.
            if (known.size() < m_allHosts.size() && uniform() < 0.03) {
                const auto more = std::min(known.size() + m_allHosts.size() / 4, m_allHosts.size());
                known = { m_allHosts.begin(), std::next(m_allHosts.begin(), static_cast<std::ptrdiff_t>(more)) };
                setHosts(i, host, known);
            }
            if (host.dropsDeadAt && now >= *host.dropsDeadAt && known.size() == m_allHosts.size()) {
                host.dropsDeadAt.reset();
                auto living = m_allHosts;
                for (const auto dead : m_deadHosts)
                    living.erase(dead);
                setHosts(i, host, std::move(living));
            }
            if (host.pause && now >= host.pause->first && now < host.pause->second)
                continue;
            if (!isListed && now >= host.listedAt) {
                isListed = true;
                list(host, now);
            }
            if ((now - start) % RequestLimit::awakeInterval == milliseconds(0))
                host.limits->recordAwake(now);
            if (isListed)
                send(host, now);
        }
    }

    void send(Host& host, TimePoint now)
    {
        const auto runner = host.directory.find(runnerId);
        while (runner->isWarmingUp(now) && runner->mayReceive(now)) {
            runner->warmUpQuota().recordSend(now);
            m_sends.push_back(now);
        }
    }

    const Scenario m_scenario;
    std::mt19937_64 m_random;
    std::set<std::uint64_t> m_allHosts;
    std::set<std::uint64_t> m_deadHosts;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<TimePoint> m_sends;
};

class WarmUpSharesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WarmUpSharesTest);
    CPPUNIT_TEST(fleetWithoutFaultsKeepsAndUsesTheBound);
    CPPUNIT_TEST(fleetWithFaultsKeepsTheBound);
    CPPUNIT_TEST(singleHostUsesTheBound);
    CPPUNIT_TEST(runnerThatMayHaveRestartedGetsItsShareOnly);
    CPPUNIT_TEST(requestsInPreparationUseTheShare);
    CPPUNIT_TEST(evacuatedRunnerGetsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against hosts that each send to a runner that has just started, because it is idle.
    void fleetWithoutFaultsKeepsAndUsesTheBound()
    {
        for (const auto hosts : { 2, 6, 80, 300 }) {
            Scenario scenario;
            scenario.hosts = hosts;
            expectKept(scenario, 0.45);
        }
    }

    // Guards against a bound that is exceeded by hosts that don't hear of each other, have stood still or have lost their memory.
    void fleetWithFaultsKeepsTheBound()
    {
        for (const auto hosts : { 80, 300 }) {
            Scenario scenario;
            scenario.hosts = hosts;
            scenario.dead = 0.2;
            scenario.restarted = 0.1;
            scenario.cutOff = 0.2;
            scenario.paused = 0.1;
            expectKept(scenario, 0.25);
        }
    }

    void singleHostUsesTheBound()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), WarmUpQuota::shareOf(bound, 1, 7, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), WarmUpQuota::shareOf(1.5, 1, 7, {}));
    }

    // Guards against a runner that starts again under its id and gets the load of its former incarnation.
    void runnerThatMayHaveRestartedGetsItsShareOnly()
    {
        RunnerRecord record;
        record.id = runnerId;
        BackendState runner(record, 0);
        runner.setWarmUpBound(WarmUpBound { warmUpTime, bound }, start);
        CPPUNIT_ASSERT(runner.mayReceive(start));
        runner.suspectRestart(start);
        CPPUNIT_ASSERT(!runner.mayReceive(start));
        runner.warmUpQuota().setShare(1);
        CPPUNIT_ASSERT(runner.mayReceive(start));
        runner.warmUpQuota().recordSend(start);
        CPPUNIT_ASSERT(!runner.mayReceive(start + milliseconds(999)));
        CPPUNIT_ASSERT(runner.mayReceive(start + milliseconds(1'000)));
        runner.warmUpQuota().recordSend(start + milliseconds(2'500));
        CPPUNIT_ASSERT(!runner.mayReceive(start + milliseconds(2'999)));
        CPPUNIT_ASSERT(runner.mayReceive(start + warmUpTime));
    }

    // Guards against requests that all see the same room while their connections are established.
    void requestsInPreparationUseTheShare()
    {
        WarmUpQuota quota;
        quota.setShare(2);
        quota.reserve();
        CPPUNIT_ASSERT(quota.hasRoom(start));
        quota.reserve();
        CPPUNIT_ASSERT(!quota.hasRoom(start));
        quota.cancel();
        CPPUNIT_ASSERT(quota.hasRoom(start));
        quota.recordSend(start);
        CPPUNIT_ASSERT(!quota.hasRoom(start));
        CPPUNIT_ASSERT(quota.nextRoomAt(start) == start + seconds(1));
    }

    void evacuatedRunnerGetsNothing()
    {
        RunnerRecord record;
        record.id = runnerId;
        BackendState runner(record, 0);
        runner.setEvacuated(true);
        CPPUNIT_ASSERT(!runner.mayReceive(start));
        runner.setEvacuated(false);
        CPPUNIT_ASSERT(runner.mayReceive(start));
    }

private:
    // Expects for 50 seeds that the bound is kept, and on average that at least `share` of it is used.
    static void expectKept(Scenario scenario, double share)
    {
        constexpr int seeds = 50;
        std::size_t largest = 0;
        double used = 0;
        for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
            Simulation simulation(scenario);
            simulation.run();
            const auto text = std::to_string(scenario.hosts) + " hosts, seed " + std::to_string(scenario.seed) + ": " + std::to_string(simulation.largestCount());
            CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(simulation.largestCount()) <= bound);
            largest = std::max(largest, simulation.largestCount());
            used += simulation.rate() / bound / seeds;
        }
        const auto text = std::to_string(scenario.hosts) + " hosts: at most " + std::to_string(largest) + " in a second, used " + std::to_string(used);
        CPPUNIT_ASSERT_MESSAGE(text, used >= share);
        if (std::getenv("CHIVESHELF_TEST_FIGURES"))
            std::cout << text << "\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmUpSharesTest);

}
