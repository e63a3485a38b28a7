#include "chiveshelf/control/RolloutPlan.h"
#include "chiveshelf/control/RolloutStateMachine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using Clock = std::chrono::steady_clock;

class RolloutPlanTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RolloutPlanTest);
    CPPUNIT_TEST(planWithManyOutdatedRunnersLoadsTwo);
    CPPUNIT_TEST(planWithTwoRunnersKeepsOneServing);
    CPPUNIT_TEST(unresponsiveRunnerCountsAsLoadingForMaxCommandDuration);
    CPPUNIT_TEST(planWithWrongAdapterOnlyIsNotDone);
    CPPUNIT_TEST(controllerAfterUncleanHolderWaitsBeforeRolling);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more concurrent loads than the weight store can serve.
    void planWithManyOutdatedRunnersLoadsTwo()
    {
        auto runners = outdated(6);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, planRollout(runners, pool(), m_now).runnersToLoad.size());
        runners[3].status->isLoading = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(runners, pool(), m_now).runnersToLoad.size());
        runners[4].commandedAt = m_now;
        CPPUNIT_ASSERT(planRollout(runners, pool(), m_now).runnersToLoad.empty());
    }

    // Guards against a rollout that leaves no runner in service, and against one that never ends in a pool of one runner.
    void planWithTwoRunnersKeepsOneServing()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(outdated(2), pool(), m_now).runnersToLoad.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(outdated(1), pool(), m_now).runnersToLoad.size());
    }

    // Guards against a third concurrent load while two commanded runners do not answer status reads.
    void unresponsiveRunnerCountsAsLoadingForMaxCommandDuration()
    {
        auto runners = outdated(4);
        for (const std::size_t i : { 0U, 1U }) {
            runners[i].status.reset();
            runners[i].commandedAt = m_now;
        }
        CPPUNIT_ASSERT(planRollout(runners, pool(), m_now + maxCommandDuration / 2).runnersToLoad.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(runners, pool(), m_now + maxCommandDuration).runnersToLoad.size());
    }

    // Guards against an edit that changes only the adapter and is never sent to a runner.
    void planWithWrongAdapterOnlyIsNotDone()
    {
        std::vector<ControlledRunner> runners { { "r", RunnerStatus { "v2", "", false }, std::nullopt } };
        CPPUNIT_ASSERT(planRollout(runners, pool(), m_now).isDone());
        auto withAdapter = pool();
        withAdapter.adapter = "a";
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(runners, withAdapter, m_now).runnersToLoad.size());
    }

    // Guards against commands that overlap with those of a previous holder that ended without releasing the lease.
    void controllerAfterUncleanHolderWaitsBeforeRolling()
    {
        RolloutStateMachine machine;
        machine.rolloutNeeded();
        machine.leaseAcquired(true);
        CPPUNIT_ASSERT(machine.state() == RolloutState::WaitingOut);
        machine.rolloutDone();
        CPPUNIT_ASSERT(machine.state() == RolloutState::WaitingOut);
        machine.waitElapsed();
        CPPUNIT_ASSERT(machine.state() == RolloutState::Rolling);
        machine.leaseLost();
        CPPUNIT_ASSERT(machine.state() == RolloutState::Idle);
    }

private:
    static Pool pool()
    {
        Pool out;
        out.version = "v2";
        return out;
    }

    static std::vector<ControlledRunner> outdated(int count)
    {
        std::vector<ControlledRunner> out;
        for (int i = 0; i < count; ++i)
            out.push_back({ "r" + std::to_string(i), RunnerStatus { "v1", "", false }, std::nullopt });
        return out;
    }

    Clock::time_point m_now = Clock::now();
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutPlanTest);

}
