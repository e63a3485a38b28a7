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
    CPPUNIT_TEST(otherClassesKeepTheirShareDuringUrgentFlood);
    CPPUNIT_TEST(urgentRequestIsServedBeforeQueuedBatchRequests);
    CPPUNIT_TEST(smallOrganisationBesideHeavyOnesWaitsAtMostThreeTimesAsLong);
    CPPUNIT_TEST(burstOnEqualRunnersIsSpreadEvenly);
    CPPUNIT_TEST(requestEstimatedPastDeadlineIsRefusedWithJitteredRetryAfter);
    CPPUNIT_TEST(queuedRequestsAreRefusedAfterLossOfRunners);
    CPPUNIT_TEST(returningPromptWaitsForRunnerWithCachedPrefix);
    CPPUNIT_TEST(urgentRequestAtRiskPreemptsBatchRequestAboveItsShare);
    CPPUNIT_TEST(lastImportOfLinkIsReservedForUrgentRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starvation of the other classes by a flood of urgent requests.
    void otherClassesKeepTheirShareDuringUrgentFlood()
    {
        PoolModel model(makePolicy(), 4, 5);
        std::map<Priority, int> grantsByClass;
        for (int i = 0; i < 600; ++i) {
            for (const auto priority : allPriorities)
                model.submit(std::string(priorityName(priority)) + std::to_string(i), "org", priority, 100, 20);
        }
        model.advance(seconds(2));
        for (const auto& [id, outcome] : model.outcomes)
            grantsByClass[outcome.priority] += outcome.grants;
        const auto total = grantsByClass[Priority::Urgent] + grantsByClass[Priority::Standard] + grantsByClass[Priority::Batch];
        CPPUNIT_ASSERT(grantsByClass[Priority::Standard] >= total * 27 / 100);
        CPPUNIT_ASSERT(grantsByClass[Priority::Batch] >= total * 9 / 100);
        CPPUNIT_ASSERT(grantsByClass[Priority::Urgent] >= total * 55 / 100);
    }

    // Guards against a queue that serves classes in order of arrival.
    void urgentRequestIsServedBeforeQueuedBatchRequests()
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

    // Guards against starvation of small organisations by heavy ones. While two organisations have hundreds of requests waiting, the
    // mean time to first token of the small ones is at most 3 times that with one request from each of the two.
    void smallOrganisationBesideHeavyOnesWaitsAtMostThreeTimesAsLong()
    {
        const auto meanWithoutLoad = meanTimeToFirstTokenOfSmallOrganisations(makePolicy(), 1);
        const auto meanWithLoad = meanTimeToFirstTokenOfSmallOrganisations(makePolicy(), 300);
        const auto firstComeMeanWithLoad = meanTimeToFirstTokenOfSmallOrganisations(FirstComePolicy(), 300);
        CPPUNIT_ASSERT(meanWithLoad <= meanWithoutLoad * 3.0);
        CPPUNIT_ASSERT(firstComeMeanWithLoad > meanWithLoad * 5.0);
    }

    // Guards against herding: all requests that arrive at the same moment are assigned to the runner that looked best.
    void burstOnEqualRunnersIsSpreadEvenly()
    {
        PoolModel model(makePolicy(), 10, 8);
        for (int i = 0; i < 40; ++i)
            model.submit("r" + std::to_string(i), "org", Priority::Standard, 1'000, 20);
        for (const auto& runner : model.snapshot().runners)
            CPPUNIT_ASSERT_EQUAL(4, runner.running);
    }

    // Guards against queueing requests that cannot be served in time, and against refused callers that all retry at the same
    // moment.
    void requestEstimatedPastDeadlineIsRefusedWithJitteredRetryAfter()
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

    // Guards against holding queued requests until their deadline when a loss of runners has already made it impossible to meet.
    void queuedRequestsAreRefusedAfterLossOfRunners()
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

    // Guards against recomputing a long prompt on a free runner when the runner that caches it becomes free shortly after.
    void returningPromptWaitsForRunnerWithCachedPrefix()
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

    // Guards against urgent requests that miss their target behind lower-class requests without a first token yet.
    void urgentRequestAtRiskPreemptsBatchRequestAboveItsShare()
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

    // Guards against imports of lower classes that use up a link when an urgent request needs an import.
    void lastImportOfLinkIsReservedForUrgentRequest()
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
    static EstimatedTime meanTimeToFirstTokenOfSmallOrganisations(Policy policy, int heavyRequests)
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
