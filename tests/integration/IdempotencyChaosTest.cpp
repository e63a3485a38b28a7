#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <future>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace {

using chiveshelf::http::Verb;
using Milliseconds = std::chrono::milliseconds;
using Random = std::mt19937;

constexpr unsigned seeds[] = { 11, 23, 37, 41 };
constexpr int keysPerSeed = 800;
constexpr int callerThreads = 24;
constexpr int maximumAttempts = 5;

int randomInt(Random& random, int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(random);
}

// Responses to the calls with one key.
struct KeyHistory {
    int answers = 0;
    int successes = 0;
    int notRun = 0;
    std::set<std::string> bodies;
};

class IdempotencyChaosTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(IdempotencyChaosTest);
    CPPUNIT_TEST(keyedCallsUnderFaultsRunAtMostOnceAndReportNotRunCorrectly);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        for (const auto* dataCentre : { "east", "west" }) {
            m_fleet->useProxy(std::string("service-") + dataCentre);
            m_fleet->startService(std::string("service-") + dataCentre, dataCentre);
            for (const auto* suffix : { "-1", "-2" })
                startHost(std::string(dataCentre) + suffix);
        }
        m_fleet->writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_fleet->defaultTables()));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, std::chrono::seconds(6)));
        for (const auto& [name, host] : m_fleet->hosts())
            m_hosts.push_back(host);
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against a keyed call that runs twice, and against the response "not run" for a call that ran.
    void keyedCallsUnderFaultsRunAtMostOnceAndReportNotRunCorrectly()
    {
        for (const auto seed : seeds)
            runSeed(seed);
    }

private:
    void startHost(const std::string& name)
    {
        // Few shards make large groups and conflicts between the writers of both data centres.
        m_fleet->startHost(name, name.substr(0, 4), { "--idempotency-shards", "8" });
    }

    void runSeed(unsigned seed)
    {
        m_histories.clear();
        m_nextKey = 0;
        std::atomic<bool> isStopping = false;
        std::thread faults([&] { injectFaults(seed, isStopping); });
        std::vector<std::thread> callers;
        for (int i = 0; i < callerThreads; ++i)
            callers.emplace_back([this, seed, i] { callKeys(seed, Random(seed * 1'000 + static_cast<unsigned>(i))); });
        for (auto& caller : callers)
            caller.join();
        isStopping = true;
        faults.join();
        checkHistories(seed);
    }

    void callKeys(unsigned seed, Random random)
    {
        for (int n = m_nextKey++; n < keysPerSeed; n = m_nextKey++) {
            const auto key = "s" + std::to_string(seed) + "-" + std::to_string(n);
            const bool isDuplicated = randomInt(random, 0, 9) == 0;
            std::future<bool> duplicate;
            if (isDuplicated)
                duplicate = std::async(std::launch::async, [this, key, host = randomHost(random)] { return callOnce(key, host, 0); });
            for (int attempt = 0; attempt < maximumAttempts; ++attempt) {
                const bool hasSucceeded = callOnce(key, randomHost(random), randomInt(random, 0, 60));
                if (hasSucceeded && randomInt(random, 0, 4) != 0)
                    break;
                // Without a delay, all attempts of a key would fall into the same outage.
                if (!hasSucceeded)
                    std::this_thread::sleep_for(Milliseconds(randomInt(random, 50, 400)));
            }
            if (duplicate.valid())
                duplicate.wait();
        }
    }

    const support::HostAddresses& randomHost(Random& random) const
    {
        return m_hosts[static_cast<std::size_t>(randomInt(random, 0, static_cast<int>(m_hosts.size()) - 1))];
    }

    bool callOnce(const std::string& key, const support::HostAddresses& host, int delayMs)
    {
        const auto response = support::call(host.caller, Verb::post, "/bookings",
            { { "X-Organisation", "org-a" }, { "Idempotency-Key", key }, { "X-Operation", key }, { "X-Delay-Ms", std::to_string(delayMs) } }, "book " + key,
            Milliseconds(2'000));
        const std::lock_guard lock(m_mutex);
        auto& history = m_histories[key];
        ++history.answers;
        if (response.status == 200) {
            ++history.successes;
            history.bodies.insert(response.body);
        }
        if (response.body.find(R"("ran":"no")") != std::string::npos)
            ++history.notRun;
        return response.status == 200;
    }

    void injectFaults(unsigned seed, const std::atomic<bool>& isStopping)
    {
        Random random(seed);
        const nlohmann::json platformFaults[] = { { { "mode", "close" } }, { { "mode", "unavailable" } }, { { "mode", "silent" } },
            { { "delay_ms", 450 } }, { { "lose_replies", 40 } } };
        const nlohmann::json serviceFaults[] = { { { "connections", "refuse" } }, { { "connections", "reset" } }, { { "cut", "to_caller" } }, { { "silent", true } } };
        while (!isStopping) {
            const auto duration = Milliseconds(randomInt(random, 100, 900));
            const auto& host = randomHost(random).name;
            const std::string service = randomInt(random, 0, 1) ? "service-east" : "service-west";
            const auto kind = randomInt(random, 0, 4);
            if (kind == 0)
                m_fleet->process(host).kill();
            if (kind == 1)
                m_fleet->process(host).signal(SIGSTOP);
            if (kind == 2 || kind == 3)
                m_fleet->setPlatformFaults(platformFaults[randomInt(random, 0, 4)]);
            if (kind == 4)
                m_fleet->setFault(service, serviceFaults[randomInt(random, 0, 3)]);
            std::this_thread::sleep_for(duration);
            m_fleet->setPlatformFaults(nlohmann::json::object());
            m_fleet->setFault(service, { { "connections", "accept" }, { "cut", "" } });
            if (kind == 0)
                startHost(host);
            if (kind == 1)
                m_fleet->process(host).signal(SIGCONT);
            std::this_thread::sleep_for(Milliseconds(randomInt(random, 50, 250)));
        }
    }

    void checkHistories(unsigned seed)
    {
        const auto runs = m_fleet->operationRuns();
        int ran = 0;
        int attempts = 0;
        int succeeded = 0;
        int allNotRun = 0;
        std::vector<std::string> violations;
        for (const auto& [key, history] : m_histories) {
            const auto it = runs.find(key);
            const int count = it == runs.end() ? 0 : it->second;
            ran += count > 0;
            attempts += history.answers;
            succeeded += history.successes > 0;
            allNotRun += history.notRun == history.answers;
            if (count > 1)
                violations.push_back(key + " ran " + std::to_string(count) + " times");
            if (count != 0 && history.notRun == history.answers)
                violations.push_back(key + " ran although every response reported that it did not run");
            if (history.successes > 0 && (count != 1 || history.bodies.size() != 1))
                violations.push_back(key + " succeeded with " + std::to_string(count) + " runs and " + std::to_string(history.bodies.size()) + " outcomes");
        }
        std::cerr << "seed=" << seed << " keys=" << m_histories.size() << " attempts=" << attempts << " ran=" << ran << " succeeded=" << succeeded
                  << " all_not_run=" << allNotRun << " violations=" << violations.size() << "\n";
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), violations.empty() ? "" : violations.front());
        CPPUNIT_ASSERT_EQUAL(keysPerSeed, static_cast<int>(m_histories.size()));
        // If most calls failed, the checks above would cover few runs.
        CPPUNIT_ASSERT(succeeded > keysPerSeed / 2);
    }

    std::unique_ptr<support::Fleet> m_fleet;
    std::vector<support::HostAddresses> m_hosts;
    std::atomic<int> m_nextKey = 0;
    std::mutex m_mutex;
    std::map<std::string, KeyHistory> m_histories;
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdempotencyChaosTest);

}
