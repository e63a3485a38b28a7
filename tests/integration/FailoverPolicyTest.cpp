#include "LoadCallers.h"
#include "chiveshelf/membership/RendezvousHash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Effects of a short pause of a host under one policy, summed over all runs.
struct Outcome {
    std::string policy;
    milliseconds pauseDuration { 0 };
    std::uint64_t roleMoves = 0;
    // Number of hosts that, about 7 s after the longest pause, still reported another owner than the first host does.
    std::size_t differingViews = 0;
    std::size_t requests = 0;
    std::size_t failed = 0;
    std::size_t slow = 0;
    milliseconds longest { 0 };
};

// Restarts the host that ranks first for the role, or has the platform mark it as leaving, and then pauses it for a short time,
// with callers at the other two hosts.
class FailoverPolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FailoverPolicyTest);
    CPPUNIT_TEST(shortPauseOfRestartedHostMovesNoRoleWithBarReturnedPolicy);
    CPPUNIT_TEST(shortPauseOfLeavingHostMovesNoRole);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a host under maintenance that regains roles when it is paused shortly after its restart.
    void shortPauseOfRestartedHostMovesNoRoleWithBarReturnedPolicy()
    {
        const char* runs = std::getenv("CHIVESHELF_POLICY_RUNS");
        const std::vector<std::string> policies { "rendezvous", "keep-owner", "bar-returned" };
        std::map<std::string, Outcome> sums;
        for (const auto pauseDuration : { milliseconds(1'000), milliseconds(3'000) }) {
            std::vector<std::future<Outcome>> pending;
            for (std::size_t i = 0; i < policies.size(); ++i)
                pending.push_back(std::async(std::launch::async, [&, i, pauseDuration] { return measure(firstNetwork + static_cast<int>(i), policies[i], pauseDuration, runs ? std::atoi(runs) : 1, false); }));
            for (auto& future : pending) {
                const auto outcome = future.get();
                print(outcome);
                sums[outcome.policy].roleMoves += outcome.roleMoves;
                sums[outcome.policy].failed += outcome.failed;
                sums[outcome.policy].differingViews += outcome.differingViews;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, sums["bar-returned"].roleMoves);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, sums["bar-returned"].failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, sums["bar-returned"].differingViews);
        CPPUNIT_ASSERT(sums["rendezvous"].roleMoves > 0);
    }

    // Guards against a leaving host that regains roles when it is detected as live after a pause.
    void shortPauseOfLeavingHostMovesNoRole()
    {
        const auto outcome = measure(firstNetwork, "bar-returned", milliseconds(3'000), 1, true);
        print(outcome);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, outcome.roleMoves);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, outcome.failed);
    }

private:
    static constexpr int firstNetwork = 32;
    // Shorter than the time for which a returned host is barred, so that the one intended role move afterwards is not counted.
    static constexpr auto observationTime = milliseconds(4'500);
    // Longer than the time for which a host is barred after the longest pause.
    static constexpr auto agreementTime = seconds(10);
    static constexpr auto slowResponseTime = milliseconds(600);

    static void print(const Outcome& outcome)
    {
        std::printf("\n  %-12s loss %4lld ms: %llu role moves, %zu split views, %zu of %zu requests failed, %zu slower than 600 ms, longest %lld ms", outcome.policy.c_str(),
            static_cast<long long>(outcome.pauseDuration.count()), static_cast<unsigned long long>(outcome.roleMoves), outcome.differingViews, outcome.failed, outcome.requests,
            outcome.slow, static_cast<long long>(outcome.longest.count()));
    }

    static std::uint64_t roleMoves(const support::Fleet& fleet, const std::vector<std::string>& hosts)
    {
        std::uint64_t sum = 0;
        for (const auto& host : hosts)
            sum += fleet.state(host)["membership"].value("role_moves", std::uint64_t { 0 });
        return sum;
    }

    static Outcome measure(int network, const std::string& policy, milliseconds pauseDuration, int runs, bool isLeaving)
    {
        Outcome sum { policy, pauseDuration };
        for (int run = 0; run < runs; ++run) {
            support::Fleet fleet(network);
            fleet.startPlatform();
            fleet.startRunner("runner-1", "east");
            const std::vector<std::string> names { "east-1", "east-2", "east-3" };
            const std::vector<std::string> flags { "--ownership-policy", policy, "--drain-notice-ms", "500" };
            for (const auto& name : names)
                fleet.startHost(name, "east", flags);
            fleet.writeHostList();
            fleet.applyTables(fleet.defaultTables());
            fleet.waitForRevision(1, seconds(4));
            const auto ranked = chiveshelf::rankByRendezvous("scheduler/desk", names);
            const auto& preferred = ranked.front();
            const std::vector<std::string> others { ranked[1], ranked[2] };
            const auto isSeenByOthers = [&](const std::string& state) {
                return support::eventually([&] { return fleet.memberState(others[0], preferred) == state && fleet.memberState(others[1], preferred) == state; }, seconds(5));
            };
            CPPUNIT_ASSERT(isSeenByOthers("live"));
            support::LoadCallers callers(fleet, others, 4, 20);
            // The other hosts must run for longer than the time for which a returned host is barred.
            std::this_thread::sleep_for(seconds(7));
            if (isLeaving) {
                fleet.writeHostList({ preferred });
                CPPUNIT_ASSERT(isSeenByOthers("leaving"));
            } else {
                fleet.process(preferred).signal(SIGTERM);
                CPPUNIT_ASSERT_EQUAL(0, fleet.process(preferred).waitForExit(seconds(5)));
                std::this_thread::sleep_for(seconds(1));
            }
            // A host determines the owner when it handles a request. These requests make the hosts count the move to the new owner
            // before the measurement.
            for (const auto& name : others)
                support::streamCompletion(fleet.host(name), 5, "before");
            const auto before = roleMoves(fleet, others);
            if (!isLeaving) {
                fleet.startHost(preferred, "east", flags);
                CPPUNIT_ASSERT(isSeenByOthers("live"));
            }
            const auto returnedAt = std::chrono::steady_clock::now();
            std::this_thread::sleep_for(milliseconds(300));
            fleet.process(preferred).signal(SIGSTOP);
            std::this_thread::sleep_for(pauseDuration);
            fleet.process(preferred).signal(SIGCONT);
            std::this_thread::sleep_until(returnedAt + observationTime);
            sum.roleMoves += roleMoves(fleet, others) - before;
            std::this_thread::sleep_until(returnedAt + agreementTime);
            std::string firstView;
            for (const auto& name : names) {
                support::streamCompletion(fleet.host(name), 5, "view");
                const auto view = fleet.state(name)["roles"].value("scheduler/desk", "");
                firstView = firstView.empty() ? view : firstView;
                sum.differingViews += view == firstView ? 0 : 1;
            }
            for (const auto& record : callers.stop()) {
                ++sum.requests;
                sum.failed += record.isComplete ? 0 : 1;
                sum.slow += record.duration > slowResponseTime ? 1 : 0;
                sum.longest = std::max(sum.longest, record.duration);
            }
        }
        return sum;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverPolicyTest);

}
