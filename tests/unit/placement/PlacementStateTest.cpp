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

class PlacementStateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementStateTest);
    CPPUNIT_TEST(contactIsBrokenByAFailedCallAndByAStall);
    CPPUNIT_TEST(runnerAfterRepeatedConnectionFailuresIsExcludedForDoubledTime);
    CPPUNIT_TEST(silentRunnerWithUnansweredRequestsIsExcludedThenRetried);
    CPPUNIT_TEST(runnerSendingDataWithUnansweredRequestsIsUsable);
    CPPUNIT_TEST(failureShareWithoutRequestsDecays);
    CPPUNIT_TEST(changeReceivedAfterStallIsDatedToStallStart);
    CPPUNIT_TEST(changeReceivedAfterLostContactIsDatedToLastAnswer);
    CPPUNIT_TEST(changeReceivedWithoutGapIsDatedToNow);
    CPPUNIT_TEST(retriesOfSevenHostsStayWithinFleetBudget);
    CPPUNIT_TEST(exhaustedRetryBudgetIsAvailableAfterWindow);
    CPPUNIT_TEST(partCacheOverCapacityEvictsLeastRecentlyUsedPart);
    CPPUNIT_TEST(partAfterMissingPartIsNotCounted);
    CPPUNIT_TEST(partOfOneScopeIsNotCachedInOtherScopes);
    CPPUNIT_TEST(requestPriorityOrdersOrganisationsBeforeRoutes);
    CPPUNIT_TEST(rolloutOrdersOneFifthOfPoolConcurrently);
    CPPUNIT_TEST(rolloutOrdersRunnersWithFewestRequestsFirst);
    CPPUNIT_TEST(rolloutToNewerVersionDoesNotReorderLoadingRunners);
    CPPUNIT_TEST(linkSlowdownIsLearnedAndDecays);
    CPPUNIT_TEST_SUITE_END();

public:
    void runnerAfterRepeatedConnectionFailuresIsExcludedForDoubledTime()
    {
        BackendHealth health;
        health.onConnectionFailed(start);
        CPPUNIT_ASSERT(!health.isUsable(start + milliseconds(200)));
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(260)));
        health.onConnectionFailed(start + milliseconds(260));
        CPPUNIT_ASSERT(!health.isUsable(start + milliseconds(700)));
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(770)));
    }

    void silentRunnerWithUnansweredRequestsIsExcludedThenRetried()
    {
        BackendHealth health;
        health.onSent(milliseconds(100), start);
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(1'100)));
        CPPUNIT_ASSERT(!health.isUsable(start + milliseconds(1'300)));
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(3'300)));
    }

    void runnerSendingDataWithUnansweredRequestsIsUsable()
    {
        BackendHealth health;
        health.onSent(milliseconds(100), start);
        health.onDataReceived(start + seconds(2));
        CPPUNIT_ASSERT(health.isUsable(start + milliseconds(2'900)));
    }

    void failureShareWithoutRequestsDecays()
    {
        BackendHealth health;
        for (int i = 0; i < 20; ++i) {
            health.onSent(milliseconds(10), start);
            health.onEnded(true, start);
        }
        CPPUNIT_ASSERT(health.failureShare(start) > 0.9);
        CPPUNIT_ASSERT(health.failureShare(start + seconds(9)) < 0.15);
    }

    // Guards against a host that treats a version as new although it was announced while the host was frozen.
    void changeReceivedAfterStallIsDatedToStallStart()
    {
        ContactHistory contact;
        contact.onAnswer(seconds(10));
        contact.tick(seconds(11));
        contact.onAnswer(seconds(14));
        CPPUNIT_ASSERT(contact.earliestChangeTime(seconds(14)) == seconds(11));
        CPPUNIT_ASSERT(contact.earliestChangeTime(seconds(17)) == seconds(17));
    }

    void changeReceivedAfterLostContactIsDatedToLastAnswer()
    {
        ContactHistory contact;
        contact.onAnswer(seconds(10));
        for (int i = 100; i < 145; ++i)
            contact.tick(milliseconds(i * 100));
        contact.onFailure();
        contact.onAnswer(milliseconds(14'500));
        CPPUNIT_ASSERT(contact.earliestChangeTime(milliseconds(14'500)) == seconds(10));
    }

    void changeReceivedWithoutGapIsDatedToNow()
    {
        ContactHistory contact;
        for (int i = 100; i < 145; ++i)
            contact.tick(milliseconds(i * 100));
        contact.onAnswer(milliseconds(14'500));
        CPPUNIT_ASSERT(contact.earliestChangeTime(milliseconds(14'500)) == milliseconds(14'500));
    }

    // All hosts together may make 0.2 retries per request and 54 more in 10 s.
    // A host that can't vouch for the store must not make others take expired entries for removals.
    void contactIsBrokenByAFailedCallAndByAStall()
    {
        ContactHistory contact;
        CPPUNIT_ASSERT(!contact.unbrokenContact());
        contact.onAnswer(seconds(10));
        contact.onAnswer(milliseconds(10'500));
        CPPUNIT_ASSERT(contact.unbrokenContact()->start == seconds(10));
        CPPUNIT_ASSERT(contact.unbrokenContact()->lastAnswer == milliseconds(10'500));
        contact.onFailure();
        CPPUNIT_ASSERT(!contact.unbrokenContact());
        contact.onAnswer(seconds(11));
        CPPUNIT_ASSERT(contact.unbrokenContact()->start == seconds(11));
        contact.tick(seconds(13));
        CPPUNIT_ASSERT(!contact.unbrokenContact());
        contact.onAnswer(milliseconds(13'100));
        CPPUNIT_ASSERT(contact.unbrokenContact()->start == seconds(13));
    }

    void retriesOfSevenHostsStayWithinFleetBudget()
    {
        std::vector<FleetRetryBudget> hosts(7, FleetRetryBudget(0.2, 54, seconds(10)));
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < 1'000; ++i) {
            const auto now = start + milliseconds(i * 10);
            for (auto& host : hosts) {
                host.onRequest(now);
                ++requests;
                retries += host.take(7, now) ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(retries > 0);
        CPPUNIT_ASSERT(retries <= requests * 0.2 + 54);
    }

    void exhaustedRetryBudgetIsAvailableAfterWindow()
    {
        FleetRetryBudget budget(0, 10, seconds(10));
        int first = 0;
        while (budget.take(1, start))
            ++first;
        CPPUNIT_ASSERT(first > 0);
        CPPUNIT_ASSERT(!budget.take(1, start + seconds(9)));
        CPPUNIT_ASSERT(budget.take(1, start + seconds(12)));
    }

    void partCacheOverCapacityEvictsLeastRecentlyUsedPart()
    {
        PartCacheModel cache(100);
        cache.touch({ 1, 40 }, 0);
        cache.touch({ 2, 40 }, 0);
        cache.touch({ 1, 40 }, 0);
        cache.touch({ 3, 40 }, 0);
        CPPUNIT_ASSERT(cache.contains({ 1, 40 }, 0));
        CPPUNIT_ASSERT(!cache.contains({ 2, 40 }, 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(80), cache.tokens());
    }

    void partAfterMissingPartIsNotCounted()
    {
        PartCacheModel cache(100);
        cache.touch({ 1, 10 }, 0);
        cache.touch({ 3, 10 }, 0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), cache.cachedTokens({ { 1, 10 }, { 2, 10 }, { 3, 10 } }, 0));
    }

    void partOfOneScopeIsNotCachedInOtherScopes()
    {
        PartCacheModel cache(100);
        cache.touch({ 1, 10 }, 7);
        CPPUNIT_ASSERT(!cache.contains({ 1, 10 }, 0));
        CPPUNIT_ASSERT(!cache.contains({ 1, 10 }, 8));
    }

    void requestPriorityOrdersOrganisationsBeforeRoutes()
    {
        PathRoute shortRequest;
        shortRequest.priority = 0;
        PathRoute longRequest;
        longRequest.priority = 2;
        Organisation first;
        first.priority = 0;
        Organisation second;
        second.priority = 1;
        CPPUNIT_ASSERT(requestPriority(longRequest, &first) < requestPriority(shortRequest, &second));
        CPPUNIT_ASSERT(requestPriority(shortRequest, &second) < requestPriority(longRequest, &second));
        second.priority = 50;
        CPPUNIT_ASSERT_EQUAL(leastUrgentPriority, requestPriority(longRequest, &second));
    }

    void rolloutOrdersOneFifthOfPoolConcurrently()
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

    void rolloutOrdersRunnersWithFewestRequestsFirst()
    {
        RolloutSchedule schedule;
        const auto chosen = schedule.next({ { "busy", 1, 9 }, { "idle", 1, 0 }, { "new", 2, 0 }, { "some", 1, 3 } }, 2, start);
        CPPUNIT_ASSERT((chosen == std::vector<std::string> { "idle", "some" }));
    }

    void rolloutToNewerVersionDoesNotReorderLoadingRunners()
    {
        RolloutSchedule schedule;
        std::vector<RolloutRunner> runners { { "a", 1, 0 }, { "b", 1, 0 }, { "c", 1, 0 } };
        schedule.next(runners, 2, start);
        CPPUNIT_ASSERT(schedule.next(runners, 3, start + milliseconds(100)).empty());
        schedule.onFailed("a");
        CPPUNIT_ASSERT((schedule.next(runners, 3, start + milliseconds(200)) == std::vector<std::string> { "a" }));
    }

    void linkSlowdownIsLearnedAndDecays()
    {
        TransferSpeed speed;
        for (int i = 0; i < 10; ++i)
            speed.learn(8, start);
        CPPUNIT_ASSERT(speed.linkSlowdown(start) > 7);
        CPPUNIT_ASSERT(speed.linkSlowdown(start + seconds(10)) < 1.6);
        CPPUNIT_ASSERT(speed.linkSlowdown(start + seconds(60)) >= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementStateTest);

}
