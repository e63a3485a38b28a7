#include "chiveshelf/placement/BackendHealth.h"
#include "chiveshelf/placement/ContactHistory.h"
#include "chiveshelf/placement/FleetRetryBudget.h"
#include "chiveshelf/placement/PartCacheModel.h"
#include "chiveshelf/placement/RequestPriority.h"
#include "chiveshelf/placement/RolloutSchedule.h"
#include "chiveshelf/placement/TransferSpeed.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(100);

class BeliefsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BeliefsTest);
    CPPUNIT_TEST(failedConnectionPausesTheRunnerForLongerEachTime);
    CPPUNIT_TEST(runnerThatIsSilentWithRequestsIsAvoidedAndTriedAgain);
    CPPUNIT_TEST(runnerThatIsHeardWithRequestsIsUsed);
    CPPUNIT_TEST(failureShareOfARunnerFadesWithoutRequests);
    CPPUNIT_TEST(hostThatStoodStillDatesNewsToTheStartOfTheStall);
    CPPUNIT_TEST(hostThatLostTheStoreDatesNewsToItsLastAnswer);
    CPPUNIT_TEST(hostInContactDatesNewsToNow);
    CPPUNIT_TEST(budgetOfTheFleetIsNotExceededBySevenHosts);
    CPPUNIT_TEST(budgetReturnsWithItsWindow);
    CPPUNIT_TEST(partMemoryOverCapacityDropsTheLeastRecentlyUsed);
    CPPUNIT_TEST(partBehindAMissingOneIsNotCached);
    CPPUNIT_TEST(scopesOfPartMemoryAreApart);
    CPPUNIT_TEST(rankOrdersOrganisationsBeforeRoutes);
    CPPUNIT_TEST(rolloutLoadsAFifthOfAPoolAtOnce);
    CPPUNIT_TEST(rolloutOrdersTheLeastBusyFirst);
    CPPUNIT_TEST(rolloutToANewerVersionLeavesLoadingRunnersAlone);
    CPPUNIT_TEST(slowTransfersAreLearnedAndForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void failedConnectionPausesTheRunnerForLongerEachTime()
    {
        BackendHealth health;
        health.onConnectionFailed(start);
        CPPUNIT_ASSERT(!health.isUsable(start + milliseconds(200)));
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(260)));
        health.onConnectionFailed(start + milliseconds(260));
        CPPUNIT_ASSERT(!health.isUsable(start + milliseconds(700)));
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(770)));
    }

    void runnerThatIsSilentWithRequestsIsAvoidedAndTriedAgain()
    {
        BackendHealth health;
        health.onSent(milliseconds(100), start);
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(1'100)));
        CPPUNIT_ASSERT(!health.isUsable(start + milliseconds(1'300)));
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(3'300)));
    }

    void runnerThatIsHeardWithRequestsIsUsed()
    {
        BackendHealth health;
        health.onSent(milliseconds(100), start);
        health.onDataReceived(start + seconds(2));
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(2'900)));
    }

    void failureShareOfARunnerFadesWithoutRequests()
    {
        BackendHealth health;
        for (int i = 0; i < 20; ++i) {
            health.onSent(milliseconds(10), start);
            health.onEnded(true, start);
        }
        CPPUNIT_ASSERT(health.failureShare(start) > 0.9);
        CPPUNIT_ASSERT(health.failureShare(start + seconds(9)) < 0.15);
    }

    // Guards against a version that counts as new on a host that was frozen when it was named.
    void hostThatStoodStillDatesNewsToTheStartOfTheStall()
    {
        ContactHistory contact;
        contact.onAnswer(seconds(10));
        contact.tick(seconds(11));
        contact.onAnswer(seconds(14));
        CPPUNIT_ASSERT(contact.earliestChangeTime(seconds(14)) == seconds(11));
        CPPUNIT_ASSERT(contact.earliestChangeTime(seconds(17)) == seconds(17));
    }

    void hostThatLostTheStoreDatesNewsToItsLastAnswer()
    {
        ContactHistory contact;
        contact.onAnswer(seconds(10));
        for (int i = 100; i < 145; ++i)
            contact.tick(milliseconds(i * 100));
        contact.onFailure();
        contact.onAnswer(milliseconds(14'500));
        CPPUNIT_ASSERT(contact.earliestChangeTime(milliseconds(14'500)) == seconds(10));
    }

    void hostInContactDatesNewsToNow()
    {
        ContactHistory contact;
        for (int i = 100; i < 145; ++i)
            contact.tick(milliseconds(i * 100));
        contact.onAnswer(milliseconds(14'500));
        CPPUNIT_ASSERT(contact.earliestChangeTime(milliseconds(14'500)) == milliseconds(14'500));
    }

    // 0.2 repeats a request and 54 more in 10 s are allowed to all hosts together.
    void budgetOfTheFleetIsNotExceededBySevenHosts()
    {
        std::vector<FleetRetryBudget> hosts(7, FleetRetryBudget(0.2, 54, seconds(10)));
        int requests = 0;
        int repeats = 0;
        for (int i = 0; i < 1'000; ++i) {
            const auto now = start + milliseconds(i * 10);
            for (auto& host : hosts) {
                host.onRequest(now);
                ++requests;
                repeats += host.take(7, now) ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(repeats > 0);
        CPPUNIT_ASSERT(repeats <= requests * 0.2 + 54);
    }

    void budgetReturnsWithItsWindow()
    {
        FleetRetryBudget budget(0, 10, seconds(10));
        int first = 0;
        while (budget.take(1, start))
            ++first;
        CPPUNIT_ASSERT(first > 0);
        CPPUNIT_ASSERT(!budget.take(1, start + seconds(9)));
        CPPUNIT_ASSERT(budget.take(1, start + seconds(12)));
    }

    void partMemoryOverCapacityDropsTheLeastRecentlyUsed()
    {
        PartCacheModel memory(100);
        memory.touch({ 1, 40 }, 0);
        memory.touch({ 2, 40 }, 0);
        memory.touch({ 1, 40 }, 0);
        memory.touch({ 3, 40 }, 0);
        CPPUNIT_ASSERT(memory.contains({ 1, 40 }, 0));
        CPPUNIT_ASSERT(!memory.contains({ 2, 40 }, 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(80), memory.tokens());
    }

    void partBehindAMissingOneIsNotCached()
    {
        PartCacheModel memory(100);
        memory.touch({ 1, 10 }, 0);
        memory.touch({ 3, 10 }, 0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), memory.cachedTokens({ { 1, 10 }, { 2, 10 }, { 3, 10 } }, 0));
    }

    void scopesOfPartMemoryAreApart()
    {
        PartCacheModel memory(100);
        memory.touch({ 1, 10 }, 7);
        CPPUNIT_ASSERT(!memory.contains({ 1, 10 }, 0));
        CPPUNIT_ASSERT(!memory.contains({ 1, 10 }, 8));
    }

    void rankOrdersOrganisationsBeforeRoutes()
    {
        PathRoute question;
        question.priority = 0;
        PathRoute draft;
        draft.priority = 2;
        Organisation first;
        first.priority = 0;
        Organisation second;
        second.priority = 1;
        CPPUNIT_ASSERT(requestPriority(draft, &first) < requestPriority(question, &second));
        CPPUNIT_ASSERT(requestPriority(question, &second) < requestPriority(draft, &second));
        second.priority = 50;
        CPPUNIT_ASSERT_EQUAL(leastUrgentPriority, requestPriority(draft, &second));
    }

    void rolloutLoadsAFifthOfAPoolAtOnce()
    {
        RolloutSchedule schedule;
        std::vector<RolloutRunner> runners;
        for (int i = 0; i < 112; ++i)
            runners.push_back({ "r" + std::to_string(i), 1, 0 });
        CPPUNIT_ASSERT_EQUAL(std::size_t(22), schedule.next(runners, 2, start).size());
        CPPUNIT_ASSERT(schedule.next(runners, 2, start + seconds(1)).empty());
        runners.resize(9);
        RolloutSchedule small;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), small.next(runners, 2, start).size());
    }

    void rolloutOrdersTheLeastBusyFirst()
    {
        RolloutSchedule schedule;
        const auto chosen = schedule.next({ { "busy", 1, 9 }, { "idle", 1, 0 }, { "new", 2, 0 }, { "some", 1, 3 } }, 2, start);
        CPPUNIT_ASSERT((chosen == std::vector<std::string> { "idle", "some" }));
    }

    void rolloutToANewerVersionLeavesLoadingRunnersAlone()
    {
        RolloutSchedule schedule;
        std::vector<RolloutRunner> runners { { "a", 1, 0 }, { "b", 1, 0 }, { "c", 1, 0 } };
        schedule.next(runners, 2, start);
        CPPUNIT_ASSERT(schedule.next(runners, 3, start + milliseconds(100)).empty());
        schedule.onFailed("a");
        CPPUNIT_ASSERT((schedule.next(runners, 3, start + milliseconds(200)) == std::vector<std::string> { "a" }));
    }

    void slowTransfersAreLearnedAndForgotten()
    {
        TransferSpeed speed;
        for (int i = 0; i < 10; ++i)
            speed.learn(8, start);
        CPPUNIT_ASSERT(speed.slowness(start) > 7);
        CPPUNIT_ASSERT(speed.slowness(start + seconds(10)) < 1.6);
        CPPUNIT_ASSERT(speed.slowness(start + seconds(60)) >= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BeliefsTest);

}
