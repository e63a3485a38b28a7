#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace {

using chiveshelf::http::Verb;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class OverloadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(urgentRequestsDuringBatchFloodAreFasterThanInArrivalOrder);
    CPPUNIT_TEST(smallOrganisationDuringHeavyFloodIsFasterThanInArrivalOrder);
    CPPUNIT_TEST(urgentRequestPreemptsBatchBeforeItsFirstToken);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        stopFlood();
        m_fleet.reset();
    }

    // Guards against batch requests that delay urgent ones, and against starvation of the batch requests. The baseline is a single
    // queue in order of arrival.
    void urgentRequestsDuringBatchFloodAreFasterThanInArrivalOrder()
    {
        const auto [fair, finished] = medianDuringFlood("fair-share", { "org-a", "batch" }, { "org-a", "urgent" });
        const auto [firstCome, unused] = medianDuringFlood("first-come", { "org-a", "batch" }, { "org-a", "urgent" });
        printMedians("urgent beside batch flood", fair, firstCome);
        CPPUNIT_ASSERT(fair * 3 < firstCome);
        CPPUNIT_ASSERT(finished > 0);
    }

    // Guards against an organisation whose load delays a small one of the same class. Both entry hosts serve both organisations.
    void smallOrganisationDuringHeavyFloodIsFasterThanInArrivalOrder()
    {
        const auto [fair, finished] = medianDuringFlood("fair-share", { "heavy", "standard" }, { "small", "standard" });
        const auto [firstCome, unused] = medianDuringFlood("first-come", { "heavy", "standard" }, { "small", "standard" });
        printMedians("small beside heavy organisation", fair, firstCome);
        CPPUNIT_ASSERT(fair * 3 < firstCome);
        CPPUNIT_ASSERT(finished > 0);
    }

    // Guards against urgent requests that wait for batch prompts of several seconds, and against losing preempted batch requests.
    void urgentRequestPreemptsBatchBeforeItsFirstToken()
    {
        startFleet("fair-share", { "--prefill-us-per-token", "1000" }, 1, seconds(1));
        const auto host = m_fleet->host("east-1");
        // Each prompt has 3,000 tokens and takes 3 s to compute. From the first two the scheduler estimates the runner's speed.
        for (const auto* prompt : { "a", "b" })
            CPPUNIT_ASSERT_EQUAL(200u, complete(host, { "org-a", "batch" }, prompt + std::string(12'000, 'x'), 5).status);
        std::atomic<int> done = 0;
        std::vector<std::thread> batch;
        for (const auto* prompt : { "c", "d" })
            batch.emplace_back([&, prompt] { done += complete(host, { "org-a", "batch" }, prompt + std::string(12'000, 'x'), 5).status == 200; });
        const bool isRunning = support::eventually([&] { return poolState(host)["running"].size() == 2; }, seconds(5));
        const auto start = std::chrono::steady_clock::now();
        const auto urgent = complete(host, { "org-a", "urgent" }, "hello", 1);
        const auto time = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
        for (auto& thread : batch)
            thread.join();
        std::cout << " urgent with preemption: " << time.count() << " ms" << std::flush;
        CPPUNIT_ASSERT(isRunning);
        CPPUNIT_ASSERT_EQUAL(200u, urgent.status);
        // The runner computes in steps of half a second, which cannot be interrupted.
        CPPUNIT_ASSERT(time < milliseconds(2'000));
        CPPUNIT_ASSERT_EQUAL(2, done.load());
        CPPUNIT_ASSERT(poolState(host)["classes"]["batch"]["preempted"].get<int>() >= 1);
    }

private:
    static constexpr int floodCallers = 40;

    struct Caller {
        std::string organisation;
        std::string priority;
    };

    void startFleet(const std::string& policy, const std::vector<std::string>& runnerFlags, int runners, seconds urgentTarget)
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        auto flags = runnerFlags;
        flags.insert(flags.end(), { "--slots", "2" });
        for (int i = 1; i <= runners; ++i)
            m_fleet->startRunner("runner-" + std::to_string(i), "east", flags);
        for (const auto* name : { "east-1", "east-2" })
            m_fleet->startHost(name, "east", { "--scheduling-policy", policy });
        m_fleet->writeHostList();
        auto tables = m_fleet->defaultTables();
        tables.pools[0].slotsPerRunner = 2;
        tables.pools[0].targets = { urgentTarget, seconds(60), seconds(60) };
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(tables));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, seconds(4)));
        CPPUNIT_ASSERT(m_fleet->waitForMembers(seconds(4)));
    }

    static support::ProbeResponse complete(const support::HostAddresses& host, const Caller& caller, const std::string& prompt, int tokens)
    {
        const json body { { "model", "desk-model" }, { "prompt", prompt }, { "max_tokens", tokens } };
        // The same long deadline for all classes, so that the baseline serves late requests instead of refusing them.
        return support::call(host.caller, Verb::post, "/v1/completions",
            { { "X-Organisation", caller.organisation }, { "X-Priority", caller.priority }, { "X-Deadline-Ms", "60000" } }, body.dump(), seconds(60));
    }

    // Returns the state of the pool from the host that schedules it.
    json poolState(const support::HostAddresses&) const
    {
        for (const auto& [name, host] : m_fleet->hosts()) {
            const auto state = json::parse(support::call(host.admin, Verb::get, "/state").body, nullptr, false);
            if (state.is_object() && state["pools"].contains("desk"))
                return state["pools"]["desk"];
        }
        return json::object();
    }

    // Starts callers that send requests continuously until stopFlood().
    void startFlood(const Caller& caller, int callers)
    {
        m_isFlooding = true;
        for (int i = 0; i < callers; ++i) {
            m_floodThreads.emplace_back([this, caller, i] {
                const auto& host = m_fleet->host(i % 2 == 0 ? "east-1" : "east-2");
                for (int n = 0; m_isFlooding; ++n)
                    m_finishedRequests += complete(host, caller, "flood " + std::to_string(i) + " " + std::to_string(n), 20).status == 200;
            });
        }
    }

    void stopFlood()
    {
        m_isFlooding = false;
        for (auto& thread : m_floodThreads)
            thread.join();
        m_floodThreads.clear();
    }

    // Returns the median time of short requests during a flood, and the number of flood requests that finished in that time.
    std::pair<milliseconds, int> medianDuringFlood(const std::string& policy, const Caller& flood, const Caller& probe)
    {
        startFleet(policy, {}, 2, seconds(60));
        startFlood(flood, floodCallers);
        CPPUNIT_ASSERT(support::eventually([&] { return poolState(m_fleet->host("east-1")).value("queued", 0) >= 30; }, seconds(10)));
        const int before = m_finishedRequests;
        std::vector<milliseconds> times;
        for (int i = 0; i < 9; ++i) {
            const auto start = std::chrono::steady_clock::now();
            const auto response = complete(m_fleet->host(i % 2 == 0 ? "east-1" : "east-2"), probe, "probe " + std::to_string(i), 1);
            times.push_back(std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200u, response.status);
        }
        const int finished = m_finishedRequests - before;
        stopFlood();
        m_fleet.reset();
        std::nth_element(times.begin(), times.begin() + 4, times.end());
        return { times[4], finished };
    }

    static void printMedians(const std::string& what, milliseconds fair, milliseconds firstCome)
    {
        std::cout << " " << what << ": median " << fair.count() << " ms, first come " << firstCome.count() << " ms" << std::flush;
    }

    std::unique_ptr<support::Fleet> m_fleet;
    std::vector<std::thread> m_floodThreads;
    std::atomic<bool> m_isFlooding = false;
    std::atomic<int> m_finishedRequests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}
