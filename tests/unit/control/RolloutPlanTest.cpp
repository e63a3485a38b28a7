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
    CPPUNIT_TEST(silentRunnerCountsAsLoadingUntilTheLongestCommandHasPassed);
    CPPUNIT_TEST(planWithWrongAdapterOnlyIsNotDone);
    CPPUNIT_TEST(leaseAfterUncleanHolderIsWaitedOut);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against more loads at once than the weight store serves.
    void planWithManyOutdatedRunnersLoadsTwo()
    {
        auto runners = outdated(6);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, planRollout(runners, pool(), m_now).load.size());
        runners[3].status->isLoading = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(runners, pool(), m_now).load.size());
        runners[4].commandedAt = m_now;
        CPPUNIT_ASSERT(planRollout(runners, pool(), m_now).load.empty());
    }

    // Guards against a rollout that leaves no runner to serve, and against one that never ends with a single runner.
    void planWithTwoRunnersKeepsOneServing()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(outdated(2), pool(), m_now).load.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(outdated(1), pool(), m_now).load.size());
    }

    // Guards against a third load while a commanded runner can not be read.
    void silentRunnerCountsAsLoadingUntilTheLongestCommandHasPassed()
    {
        auto runners = outdated(4);
        for (const std::size_t i : { 0U, 1U }) {
            runners[i].status.reset();
            runners[i].commandedAt = m_now;
        }
        CPPUNIT_ASSERT(planRollout(runners, pool(), m_now + longestCommand / 2).load.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(runners, pool(), m_now + longestCommand).load.size());
    }

    // Guards against an adapter edit that no runner gets.
    void planWithWrongAdapterOnlyIsNotDone()
    {
        std::vector<ControlledRunner> runners { { "r", RunnerStatus { "v2", "", false }, std::nullopt } };
        CPPUNIT_ASSERT(planRollout(runners, pool(), m_now).isDone());
        auto withAdapter = pool();
        withAdapter.adapter = "a";
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, planRollout(runners, withAdapter, m_now).load.size());
    }

    // Guards against commands that overlap with those of a holder that has died.
    void leaseAfterUncleanHolderIsWaitedOut()
    {
        RolloutStateMachine machine;
        machine.workFound();
        machine.leaseAcquired(true);
        CPPUNIT_ASSERT(machine.state() == RolloutState::WaitingOut);
        machine.workDone();
        CPPUNIT_ASSERT(machine.state() == RolloutState::WaitingOut);
        machine.waitedOut();
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
