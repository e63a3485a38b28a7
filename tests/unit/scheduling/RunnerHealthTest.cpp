#include "PoolModel.h"
#include "chiveshelf/scheduling/CrashRegistry.h"
#include "chiveshelf/scheduling/RetryBudget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::seconds;

class RunnerHealthTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunnerHealthTest);
    CPPUNIT_TEST(runnerAfterFailuresIsEjectedThenProbedAndRecoversInSteps);
    CPPUNIT_TEST(slowRunnerGetsFewerRequestsAndIsUsedAgainLater);
    CPPUNIT_TEST(repeatedlySlowRunnerIsDegraded);
    CPPUNIT_TEST(ejectedRunnerIsProbedByOneRequestAfterPause);
    CPPUNIT_TEST(fingerprintIsQuarantinedAfterCrashesOfTwoRunners);
    CPPUNIT_TEST(retryBudgetLimitsRetriesToShareOfRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a failing runner that keeps all its slots or gets all of them back in one step.
    void runnerAfterFailuresIsEjectedThenProbedAndRecoversInSteps()
    {
        RunnerHealthStateMachine machine;
        CPPUNIT_ASSERT(RunnerHealth::Healthy == machine.health());
        machine.handle(HealthSignal::Failure);
        CPPUNIT_ASSERT(RunnerHealth::Degraded == machine.health());
        machine.handle(HealthSignal::Failure);
        CPPUNIT_ASSERT(RunnerHealth::Ejected == machine.health());
        CPPUNIT_ASSERT_EQUAL(0.0, machine.slotShare());
        machine.handle(HealthSignal::Success);
        CPPUNIT_ASSERT(RunnerHealth::Ejected == machine.health());
        machine.handle(HealthSignal::ProbeDue);
        CPPUNIT_ASSERT(RunnerHealth::Probing == machine.health());
        for (const auto share : { 0.25, 0.5, 0.75, 1.0 }) {
            machine.handle(HealthSignal::Success);
            CPPUNIT_ASSERT_EQUAL(share, machine.slotShare());
        }
        CPPUNIT_ASSERT(RunnerHealth::Healthy == machine.health());
    }

    // Guards against a slow runner that gets as many requests as the others, and against one that is never used again.
    void slowRunnerGetsFewerRequestsAndIsUsedAgainLater()
    {
        PoolModel model(FairSharePolicy({}), 4, 2);
        model.slowdown["runner-102"] = 10;
        for (int i = 0; i < 200; ++i) {
            model.submit("r" + std::to_string(i), "org", Priority::Standard, 1'000, 20);
            model.advance(std::chrono::milliseconds(30));
        }
        int onSlowRunner = 0;
        for (const auto& [id, outcome] : model.outcomes)
            onSlowRunner += outcome.runner == "runner-102";
        CPPUNIT_ASSERT(onSlowRunner <= 20);
        model.slowdown.clear();
        model.advance(std::chrono::minutes(3));
        int onRunnerAfterRecovery = 0;
        for (int i = 0; i < 40; ++i) {
            const auto id = "again" + std::to_string(i);
            model.submit(id, "org", Priority::Standard, 1'000, 20);
            model.advance(std::chrono::milliseconds(30));
            onRunnerAfterRecovery += model.outcomes[id].runner == "runner-102";
        }
        CPPUNIT_ASSERT(onRunnerAfterRecovery >= 3);
    }

    // Guards against a runner that keeps all its slots although its requests take far longer than those of other runners.
    void repeatedlySlowRunnerIsDegraded()
    {
        RunnerStatistics statistics;
        statistics.setRunners({ "a", "b", "c" }, 8);
        TimePoint now(std::chrono::hours(1));
        for (int i = 0; i < 5; ++i) {
            for (const auto* runner : { "a", "b", "c" }) {
                const bool isSlow = std::string(runner) == "c";
                Assignment assignment;
                assignment.requestId = runner + std::to_string(i);
                assignment.runner = runner;
                assignment.computedTokens = 1'000;
                statistics.started(assignment, now);
                now += seconds(1);
                statistics.finished({ assignment.requestId, runner, true, false, false, 1'000, 0, 0, 20, isSlow ? 900 : 100, isSlow ? 1'900 : 300 }, now);
            }
        }
        const auto states = statistics.states();
        CPPUNIT_ASSERT(RunnerHealth::Healthy == states[0].health);
        CPPUNIT_ASSERT(RunnerHealth::Degraded == states[2].health);
        CPPUNIT_ASSERT_EQUAL(4, statistics.snapshot(now).runners[2].slots);
    }

    // Guards against flooding an ejected runner with requests after the pause, and against never probing it.
    void ejectedRunnerIsProbedByOneRequestAfterPause()
    {
        RunnerStatistics statistics;
        statistics.setRunners({ "a" }, 8);
        const TimePoint now(std::chrono::hours(1));
        for (const auto* id : { "1", "2" }) {
            Assignment assignment;
            assignment.requestId = id;
            assignment.runner = "a";
            statistics.started(assignment, now);
            FinishedWork work;
            work.requestId = id;
            work.hasRunnerFailed = true;
            statistics.finished(work, now);
        }
        CPPUNIT_ASSERT_EQUAL(0, statistics.snapshot(now).freeSlots());
        CPPUNIT_ASSERT_EQUAL(1, statistics.snapshot(now + seconds(2)).freeSlots());
    }

    // Guards against a request that crashes one runner after another, and against a quarantine due to two reports of one crash.
    void fingerprintIsQuarantinedAfterCrashesOfTwoRunners()
    {
        CrashRegistry registry(seconds(60), 2);
        const TimePoint now(std::chrono::hours(1));
        CPPUNIT_ASSERT(registry.record("f", "a", now));
        CPPUNIT_ASSERT(!registry.record("f", "a", now));
        CPPUNIT_ASSERT(!registry.isQuarantined("f", now));
        registry.record("f", "b", now);
        CPPUNIT_ASSERT(registry.isQuarantined("f", now));
        CPPUNIT_ASSERT(!registry.isQuarantined("g", now));
        CPPUNIT_ASSERT(!registry.isQuarantined("f", now + seconds(61)));
        registry.record("g", "a", now + seconds(1));
        registry.record("h", "a", now + seconds(2));
        CPPUNIT_ASSERT(!registry.isQuarantined("f", now + seconds(3)));
    }

    // Guards against retries that multiply the load when every request fails.
    void retryBudgetLimitsRetriesToShareOfRequests()
    {
        RetryBudget budget(0.1, 5);
        int taken = 0;
        for (int i = 0; i < 1'000; ++i) {
            budget.onRequest();
            taken += budget.take() ? 1 : 0;
        }
        CPPUNIT_ASSERT(taken >= 100 && taken <= 106);
        CPPUNIT_ASSERT(budget.deniedCount() >= 890);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerHealthTest);

}
