#include "PoolModel.h"
#include "chiveshelf/scheduling/FirstComePolicy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

FairSharePolicy makePolicy()
{
    return FairSharePolicy({});
}

class FairSharePolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FairSharePolicyTest);
    CPPUNIT_TEST(floodOfUrgentWorkLeavesOtherClassesTheirShare);
    CPPUNIT_TEST(urgentRequestGoesBeforeWaitingBatch);
    CPPUNIT_TEST(heavyOrganisationDelaysSmallOneByAtMostThree);
    CPPUNIT_TEST(burstOverEqualRunnersSpreadsEvenly);
    CPPUNIT_TEST(estimateBeyondDeadlineIsRefusedAtOnceWithSpreadRetryAfter);
    CPPUNIT_TEST(waitingRequestIsRefusedWhenRunnersAreLost);
    CPPUNIT_TEST(returningPromptWaitsForRunnerThatCachesIt);
    CPPUNIT_TEST(urgentAtRiskPreemptsNewestBatchAboveItsShare);
    CPPUNIT_TEST(importsOverOneLinkKeepLastPlaceForUrgent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a flood of urgent work that starves the other classes.
    void floodOfUrgentWorkLeavesOtherClassesTheirShare()
    {
        PoolModel model(makePolicy(), 4, 5);
        std::map<Priority, int> grantedAfterWarmUp;
        for (int i = 0; i < 600; ++i) {
            for (const auto priority : allPriorities)
                model.submit(std::string(priorityName(priority)) + std::to_string(i), "org", priority, 100, 20);
        }
        model.advance(seconds(2));
        for (const auto& [id, outcome] : model.outcomes)
            grantedAfterWarmUp[outcome.priority] += outcome.grants;
        const auto total = grantedAfterWarmUp[Priority::Urgent] + grantedAfterWarmUp[Priority::Standard] + grantedAfterWarmUp[Priority::Batch];
        CPPUNIT_ASSERT(grantedAfterWarmUp[Priority::Standard] >= total * 27 / 100);
        CPPUNIT_ASSERT(grantedAfterWarmUp[Priority::Batch] >= total * 9 / 100);
        CPPUNIT_ASSERT(grantedAfterWarmUp[Priority::Urgent] >= total * 55 / 100);
    }

    // Guards against a queue that serves classes in order of arrival.
    void urgentRequestGoesBeforeWaitingBatch()
    {
        PoolModel model(makePolicy(), 1, 4);
        for (int i = 0; i < 40; ++i)
            model.submit("batch" + std::to_string(i), "org", Priority::Batch, 100, 20);
        model.submit("urgent", "org", Priority::Urgent, 100, 20);
        model.advance(seconds(2));
        int batchBefore = 0;
        for (const auto& [id, outcome] : model.outcomes)
            batchBefore += outcome.priority == Priority::Batch && outcome.grantedAt < model.outcomes["urgent"].grantedAt;
        CPPUNIT_ASSERT_EQUAL(4, batchBefore);
    }

    // Guards against heavy organisations that crowd out small ones. Stated bound: with two organisations that keep hundreds of
    // requests waiting, a small one's time to first token is at most 3 times that with both as small.
    void heavyOrganisationDelaysSmallOneByAtMostThree()
    {
        const auto alone = smallOrganisationsMean(makePolicy(), 1);
        const auto beside = smallOrganisationsMean(makePolicy(), 300);
        const auto firstCome = smallOrganisationsMean(FirstComePolicy(), 300);
        CPPUNIT_ASSERT(beside <= alone * 3.0);
        CPPUNIT_ASSERT(firstCome > beside * 5.0);
    }

    // Guards against herding: all requests of one moment go to the runner that looked best.
    void burstOverEqualRunnersSpreadsEvenly()
    {
        PoolModel model(makePolicy(), 10, 8);
        for (int i = 0; i < 40; ++i)
            model.submit("r" + std::to_string(i), "org", Priority::Standard, 1'000, 20);
        for (const auto& runner : model.snapshot().runners)
            CPPUNIT_ASSERT_EQUAL(4, runner.running);
    }

    // Guards against requests that are held although they can not be served in time, and against refused callers that come
    // back together.
    void estimateBeyondDeadlineIsRefusedAtOnceWithSpreadRetryAfter()
    {
        PoolModel model(makePolicy(), 1, 4);
        for (int i = 0; i < 8; ++i)
            model.submit("first" + std::to_string(i), "org", Priority::Standard, 100, 100);
        model.advance(seconds(5));
        for (int i = 0; i < 40; ++i)
            model.submit("flood" + std::to_string(i), "org", Priority::Standard, 100, 100, seconds(2));
        std::set<std::int64_t> retryTimes;
        for (int i = 0; i < 10; ++i) {
            QueuedRequest request;
            request.id = "late" + std::to_string(i);
            request.organisation = "org";
            request.promptTokens = 100;
            request.deadline = model.now + seconds(1);
            auto pool = model.snapshot();
            const auto refusal = model.policy.enqueue(request, pool, model.now);
            CPPUNIT_ASSERT(refusal.has_value());
            CPPUNIT_ASSERT(Verdict::NotRun == refusal->error.verdict);
            CPPUNIT_ASSERT(ErrorCode::Overloaded == refusal->error.code);
            CPPUNIT_ASSERT(refusal->error.retryAfter >= milliseconds(1'000));
            retryTimes.insert(refusal->error.retryAfter->count());
        }
        CPPUNIT_ASSERT(retryTimes.size() >= 5);
        model.advance(seconds(10));
        for (const auto& [id, outcome] : model.outcomes)
            CPPUNIT_ASSERT(outcome.grants == 0 || outcome.timeToFirstToken() <= seconds(2) || id.starts_with("first"));
    }

    // Guards against a waiting request that is held until its deadline although it was lost long before.
    void waitingRequestIsRefusedWhenRunnersAreLost()
    {
        PoolModel model(makePolicy(), 4, 2);
        for (int i = 0; i < 16; ++i)
            model.submit("warm" + std::to_string(i), "org", Priority::Standard, 100, 100);
        model.advance(seconds(5));
        for (int i = 0; i < 24; ++i)
            model.submit("r" + std::to_string(i), "org", Priority::Standard, 100, 100, seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 16 }, model.policy.size());
        model.statistics.setRunners({ "runner-100" }, 2);
        model.advance(milliseconds(60));
        int refused = 0;
        for (const auto& [id, outcome] : model.outcomes)
            refused += outcome.refusals;
        CPPUNIT_ASSERT(refused >= 5);
    }

    // Guards against recomputing a long prompt on a free runner when the runner that caches it is free shortly after.
    void returningPromptWaitsForRunnerThatCachesIt()
    {
        auto policy = makePolicy();
        const auto now = TimePoint(std::chrono::hours(1));
        auto pool = twoRunners();
        pool.runners[1].running = 1;
        policy.enqueue(longPrompt("first", now), pool, now);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), policy.assign(pool, now).at(0).runner);
        pool = twoRunners();
        pool.runners[0].running = 1;
        pool.runners[0].slotWait = EstimatedTime(100);
        policy.enqueue(longPrompt("again", now), pool, now);
        CPPUNIT_ASSERT(policy.assign(pool, now).empty());
        pool.runners[0].running = 0;
        pool.runners[0].slotWait = EstimatedTime(0);
        const auto assigned = policy.assign(pool, now + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), assigned.at(0).runner);
        CPPUNIT_ASSERT(assigned.at(0).computedTokens < 2'000);
    }

    // Guards against urgent requests that miss their target behind cheap work that has shown nothing yet.
    void urgentAtRiskPreemptsNewestBatchAboveItsShare()
    {
        PoolModel model(makePolicy(), 1, 4);
        for (int i = 0; i < 4; ++i)
            model.submit("batch" + std::to_string(i), "org", Priority::Batch, 20'000, 100);
        model.submit("urgent", "org", Priority::Urgent, 100, 10, milliseconds(450));
        CPPUNIT_ASSERT_EQUAL(0, model.outcomes["urgent"].refusals);
        auto pool = model.snapshot();
        const auto preempted = model.policy.preempt(pool, model.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, preempted.size());
        model.cancelRunning(preempted[0].requestId);
        CPPUNIT_ASSERT_EQUAL(1, model.outcomes["urgent"].grants);
    }

    // Guards against links that are filled by cheap imports when an urgent one comes.
    void importsOverOneLinkKeepLastPlaceForUrgent()
    {
        auto policy = makePolicy();
        const auto now = TimePoint(std::chrono::hours(1));
        auto pool = twoRunners();
        pool.runners[0].slots = pool.runners[1].slots = 20;
        std::size_t imports = 0;
        for (int i = 0; i < 8; ++i) {
            auto request = longPrompt("batch" + std::to_string(i), now);
            request.stored = { 5, 5'000, 100'000 };
            request.blocks = { "x" + std::to_string(i), "y", "z", "v", "w" };
            policy.enqueue(request, pool, now);
            imports += policy.assign(pool, now).at(0).import.blocks > 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, imports);
        auto urgent = longPrompt("urgent", now);
        urgent.priority = Priority::Urgent;
        urgent.stored = { 5, 5'000, 100'000 };
        urgent.blocks = { "u", "y", "z", "v", "w" };
        policy.enqueue(urgent, pool, now);
        CPPUNIT_ASSERT(policy.assign(pool, now).at(0).import.blocks > 0);
    }

private:
    template <typename Policy>
    static EstimatedTime smallOrganisationsMean(Policy policy, int heavyRequests)
    {
        PoolModel model(std::move(policy), 4, 2);
        int heavy = 0;
        for (int i = 0; i < heavyRequests; ++i) {
            for (const auto* organisation : { "heavy-1", "heavy-2" })
                model.submit("heavy" + std::to_string(heavy++), organisation, Priority::Standard, 1'000, 40);
        }
        for (int i = 0; i < 10; ++i) {
            for (int small = 0; small < 4; ++small)
                model.submit("small" + std::to_string(i) + "-" + std::to_string(small), "small-" + std::to_string(small), Priority::Standard, 1'000, 40);
            model.advance(milliseconds(300));
        }
        model.advance(seconds(60));
        EstimatedTime sum(0);
        int n = 0;
        for (int small = 0; small < 4; ++small) {
            for (const auto& outcome : model.outcomesOf("small-" + std::to_string(small))) {
                CPPUNIT_ASSERT_EQUAL(1, outcome.grants);
                sum += outcome.timeToFirstToken();
                ++n;
            }
        }
        return sum / n;
    }

    static PoolSnapshot twoRunners()
    {
        PoolSnapshot pool;
        for (const auto* name : { "a", "b" }) {
            RunnerSnapshot runner;
            runner.name = name;
            runner.slots = 1;
            pool.runners.push_back(runner);
        }
        return pool;
    }

    static QueuedRequest longPrompt(const std::string& id, TimePoint now)
    {
        QueuedRequest request;
        request.id = id;
        request.organisation = "org";
        request.promptTokens = 20'500;
        request.maxTokens = 10;
        request.blocks = { "k1", "k2", "k3", "k4", "k5" };
        request.enqueuedAt = now;
        request.deadline = now + std::chrono::seconds(30);
        return request;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairSharePolicyTest);

}
