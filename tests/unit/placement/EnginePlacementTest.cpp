#include "chiveshelf/placement/EnginePlacement.h"
#include "chiveshelf/placement/ServicePlacement.h"
#include "chiveshelf/placement/VersionHistory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(100);
const EngineLimits limits { 64, 138'000, 327'680, 310'000 };

class EnginePlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EnginePlacementTest);
    CPPUNIT_TEST(returningPromptIsPlacedOnRunnerWithItsParts);
    CPPUNIT_TEST(returningPromptWithOverloadedHolderFetchesPartsElsewhere);
    CPPUNIT_TEST(runnerWithPeerPromptIsAvoidedUntilPrefillEnds);
    CPPUNIT_TEST(peerPromptDelaysOnlySamePriorityAndLessUrgentPrompts);
    CPPUNIT_TEST(longPromptAvoidsRunnersWhereItPausesManyStreams);
    CPPUNIT_TEST(longPromptWithUnavoidablePausesPrefersAlreadyPausedRunner);
    CPPUNIT_TEST(shortStreamAvoidsRunnerWithLongLessUrgentQueue);
    CPPUNIT_TEST(peerPromptsCountUntilNextPeerWork);
    CPPUNIT_TEST(urgentPromptOnRunnersFullOfLessUrgentPromptsIsAdmitted);
    CPPUNIT_TEST(lessUrgentPromptLeavesMemoryForMoreUrgentPrompts);
    CPPUNIT_TEST(prefillSpeedIsLearnedWithRunningStreams);
    CPPUNIT_TEST(implausiblySlowSampleDoesNotChangeLearnedSpeed);
    CPPUNIT_TEST(partInStoreIsFetchedAndNotSavedAgain);
    CPPUNIT_TEST(partInNoStoreIsSavedOnce);
    CPPUNIT_TEST(hostsSavingSamePartConcurrentlyChooseSameStore);
    CPPUNIT_TEST(partIsSavedToOtherDataCentreOnlyIfLocalStoresAreFull);
    CPPUNIT_TEST(storeWithoutRecentAnswerIsNotFetchedFrom);
    CPPUNIT_TEST(recentlyRestartedStoreIsNotSavedTo);
    CPPUNIT_TEST(timeCriticalRequestWithSlowStoreSkipsFetch);
    CPPUNIT_TEST(fetchFromStoreWithSlowLinkIsPredictedByLinkSpeed);
    CPPUNIT_TEST(promptWithBusyStoreLinkSkipsFetch);
    CPPUNIT_TEST(partInTwoStoresIsFetchedFromEarlierSource);
    CPPUNIT_TEST(fetchTimeLimitGrowsWithPrefillTimeOfParts);
    CPPUNIT_TEST(recordedFetchesKeepStoreLinkBusyUntilTheirEnd);
    CPPUNIT_TEST(burstOfLongPromptsIsRefusedOncePromptsWouldBeLate);
    CPPUNIT_TEST(urgentPromptInBurstOfLessUrgentPromptsWaitsBriefly);
    CPPUNIT_TEST(retryOfRefusedCallerIsAdmittedOnlyWithShortWait);
    CPPUNIT_TEST(oldWeightsAfterVersionDeadlineAreNotUsed);
    CPPUNIT_TEST(newerVersionDoesNotExtendDeadlineOfOlderWeights);
    CPPUNIT_TEST(promptBeginningAfterWeightsExpiryIsPlacedElsewhere);
    CPPUNIT_TEST(weightsExpireAfterGraceOfNextVersion);
    CPPUNIT_TEST(runnersLoadingWeightsGetNoWork);
    CPPUNIT_TEST(dedicatedOrganisationSharesNoParts);
    CPPUNIT_TEST(serviceRequestIsPlacedOnLeastLoadedRunner);
    CPPUNIT_TEST(serviceRequestWithTooLongWaitIsRefused);
    CPPUNIT_TEST(partsOfObsoleteVersionAreListed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_prompt.model = "m";
        m_prompt.promptTokens = 10'000;
        m_prompt.outputTokens = 50;
        m_prompt.parts = { { 1, 500 }, { 2, 8'500 }, { 3, 1'000 } };
        for (int i = 0; i < 3; ++i) {
            RunnerRecord record;
            record.id = "r" + std::to_string(i);
            record.pool = "pool";
            record.address = { "10.0.0." + std::to_string(i + 1), 80 };
            record.dataCentre = "east";
            record.slots = 6;
            record.modelVersions["m"] = 1;
            m_runners.push_back(std::make_shared<BackendState>(record, limits.memoryTokens));
        }
        m_store = std::make_shared<CacheContents>(CacheStore { { "10.0.1.1", 90 }, "east", 200'000 });
        m_store->replaceAll({}, 1, start - seconds(10));
        m_store->confirm(seconds(50));
        m_stores = { m_store };
        m_context.now = start;
        m_context.bootNow = seconds(50);
        m_context.dataCentre = "east";
        m_context.goal = milliseconds(1'200);
        m_context.timeLeft = milliseconds(12'000);
    }

    void returningPromptIsPlacedOnRunnerWithItsParts()
    {
        for (const auto& holder : m_runners) {
            clearRunnerParts();
            const auto i = static_cast<std::size_t>(std::distance(m_runners.begin(), std::find(m_runners.begin(), m_runners.end(), holder)));
            EnginePlacement(limits).recordSend(request(), placed(m_runners[i % 3]), m_stores, start);
            const auto placement = choose();
            CPPUNIT_ASSERT(placement && placement->runner == m_runners[i % 3]);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), placement->work.fetchTokens);
        }
    }

    void returningPromptWithOverloadedHolderFetchesPartsElsewhere()
    {
        EnginePlacement(limits).recordSend(request(), placed(m_runners[0]), m_stores, start);
        m_runners[0]->addWork(queued(60'000));
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->runner != m_runners[0]);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9'000), placement->work.fetchTokens);
        CPPUNIT_ASSERT(placement->fetchFrom.at(1) == m_runners[0]->record().address);
        CPPUNIT_ASSERT(!placement->fetchFrom.at(2));
    }

    // Guards against hosts that place long prompts on the same runner while other runners are idle.
    void runnerWithPeerPromptIsAvoidedUntilPrefillEnds()
    {
        const PlacedPrompt prompt { 3, milliseconds(150), milliseconds(0), 10'000 };
        m_runners[0]->addPeerPrompt(1, prompt, start);
        m_runners[2]->addPeerPrompt(2, prompt, start);
        m_context.now = start + milliseconds(5);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->runner == m_runners[1]);
        CPPUNIT_ASSERT_EQUAL(milliseconds(0).count(), placement->wait.count());
        m_runners[1]->addPeerPrompt(1, { 3, milliseconds(900), milliseconds(0), 10'000 }, m_context.now);
        m_context.now = start + milliseconds(151);
        const auto later = choose();
        CPPUNIT_ASSERT(later && later->runner != m_runners[1]);
        CPPUNIT_ASSERT_EQUAL(milliseconds(0).count(), later->wait.count());
    }

    void peerPromptDelaysOnlySamePriorityAndLessUrgentPrompts()
    {
        PeerQueue queue;
        queue.add({ 2, milliseconds(100), milliseconds(30), 0 }, start);
        queue.add({ 4, milliseconds(50), milliseconds(20), 0 }, start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, queue.prefillMs(1, start), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, queue.prefillMs(2, start), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(150.0, queue.prefillMs(4, start), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(110.0, queue.totalPrefillMs(start + milliseconds(40)), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, queue.fetchMs(start), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, queue.totalPrefillMs(start + milliseconds(200)), 0.001);
    }

    // Guards against streams that pause because each token of an event waits for a chunk of the prompt.
    void longPromptAvoidsRunnersWhereItPausesManyStreams()
    {
        m_context.longestPause = milliseconds(400);
        m_prompt.promptTokens = 16'000;
        m_prompt.parts = { { 1, 16'000 } };
        runStreams(*m_runners[0], 20);
        m_runners[0]->addPeerPrompt(1, { 5, milliseconds(150), milliseconds(0), 0 }, start);
        runStreams(*m_runners[1], 2);
        m_runners[1]->addPeerPrompt(1, { 5, milliseconds(200), milliseconds(0), 0 }, start);
        runStreams(*m_runners[2], 20);
        m_runners[2]->addPeerPrompt(1, { 5, milliseconds(150), milliseconds(0), 0 }, start);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->runner == m_runners[1]);
    }

    void longPromptWithUnavoidablePausesPrefersAlreadyPausedRunner()
    {
        m_context.longestPause = milliseconds(400);
        m_prompt.promptTokens = 40'000;
        m_prompt.parts = { { 1, 40'000 } };
        runStreams(*m_runners[0], 20);
        runStreams(*m_runners[1], 20);
        m_runners[1]->addPeerPrompt(1, { 5, milliseconds(380), milliseconds(0), 0 }, start);
        runStreams(*m_runners[2], 20);
        m_context.goal = milliseconds(3'000);
        m_priority = 3;
        const auto urgent = choose();
        CPPUNIT_ASSERT(urgent && urgent->runner == m_runners[1]);
    }

    void shortStreamAvoidsRunnerWithLongLessUrgentQueue()
    {
        m_context.longestPause = milliseconds(400);
        m_prompt.promptTokens = 800;
        m_prompt.parts = { { 1, 800 } };
        for (int i = 0; i < 2; ++i) {
            m_runners[static_cast<std::size_t>(i)]->addPeerPrompt(1, { 5, milliseconds(500), milliseconds(0), 0 }, start);
        }
        m_priority = 1;
        m_runners[2]->addPeerPrompt(1, { 1, milliseconds(60), milliseconds(0), 0 }, start);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->runner == m_runners[2]);
    }

    void peerPromptsCountUntilNextPeerWork()
    {
        m_runners[0]->addPeerPrompt(1, { 3, milliseconds(10), milliseconds(0), 700 }, start);
        m_runners[0]->addPeerPrompt(1, { 3, milliseconds(10), milliseconds(0), 700 }, start);
        CPPUNIT_ASSERT_EQUAL(2, m_runners[0]->totalWork(start).requests);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'400), m_runners[0]->totalWork(start).memoryAtLeastAsUrgent(3));
        OutstandingWork work;
        work.requests = 1;
        m_runners[0]->setPeerWork(1, work, start + milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(1, m_runners[0]->totalWork(start + milliseconds(600)).requests);
    }

    // Guards against refusing urgent prompts because less urgent requests fill the engines, which preempt them.
    void urgentPromptOnRunnersFullOfLessUrgentPromptsIsAdmitted()
    {
        OutstandingWork lessUrgent;
        lessUrgent.requests = 70;
        lessUrgent.prompts[5] = 70;
        lessUrgent.memoryTokens[5] = 280'000;
        for (auto& runner : m_runners)
            runner->addWork(lessUrgent);
        m_context.goal = milliseconds(250);
        m_prompt.promptTokens = 800;
        m_prompt.parts = { { 1, 800 } };
        CPPUNIT_ASSERT(!choose());
        m_priority = 3;
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        CPPUNIT_ASSERT_EQUAL(milliseconds(0).count(), placement->wait.count());
    }

    // Guards against less urgent prompts that are preempted and prefilled again as soon as a few more urgent ones arrive.
    void lessUrgentPromptLeavesMemoryForMoreUrgentPrompts()
    {
        OutstandingWork moreUrgent;
        moreUrgent.requests = 40;
        moreUrgent.prompts[3] = 40;
        moreUrgent.memoryTokens[3] = 85'000;
        for (auto& runner : m_runners)
            runner->addWork(moreUrgent);
        // 85,000 tokens, half of that for growth, and the prompt exceed 95% of 138,000 tokens.
        const auto lessUrgentPlacement = choose();
        CPPUNIT_ASSERT(lessUrgentPlacement && lessUrgentPlacement->wait > milliseconds(0));
        m_priority = 3;
        const auto urgentPlacement = choose();
        CPPUNIT_ASSERT(urgentPlacement);
        CPPUNIT_ASSERT_EQUAL(milliseconds(0).count(), urgentPlacement->wait.count());
    }

    // Guards against underestimated queues: running streams slow down the prefill, so the learned speed has to include them.
    void prefillSpeedIsLearnedWithRunningStreams()
    {
        runStreams(*m_runners[0], 30);
        runStreams(*m_runners[1], 31);
        runStreams(*m_runners[2], 31);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->work.prefillTokens[5] == 10'000);
        EnginePlacement::learn(*placement, m_stores, milliseconds(225), start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, placement->runner->tokensPerMs(0), 0.01);
    }

    void implausiblySlowSampleDoesNotChangeLearnedSpeed()
    {
        m_runners[0]->learnSpeed(80);
        m_runners[0]->learnSpeed(20);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, m_runners[0]->tokensPerMs(0), 0.01);
    }

    void partInStoreIsFetchedAndNotSavedAgain()
    {
        addStoredPart("v1/m/", 1, 500);
        addStoredPart("v1/m/", 2, 8'500);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->fetchFrom.at(1) == m_store->store().address);
        CPPUNIT_ASSERT(!placement->saveTo.at(1));
        CPPUNIT_ASSERT(placement->maxFetchTime);
    }

    void partInNoStoreIsSavedOnce()
    {
        const auto first = choose();
        CPPUNIT_ASSERT(first && first->saveTo.at(1) == m_store->store().address);
        EnginePlacement(limits).recordSend(request(), *first, m_stores, start);
        const auto second = choose();
        CPPUNIT_ASSERT(second && !second->saveTo.at(1));
    }

    // Guards against duplicates of a part that fill the stores, since hosts learn late of each other's saves.
    void hostsSavingSamePartConcurrentlyChooseSameStore()
    {
        addStore("10.0.1.2", "east");
        std::set<std::optional<Address>> chosen;
        for (std::uint64_t part = 1; part < 9; ++part) {
            m_prompt.parts[0].id = part;
            const auto first = choose();
            CPPUNIT_ASSERT(first && first->saveTo.at(0));
            chosen.insert(first->saveTo.at(0));
            // A host that knows of other saves sees one store emptier than the other.
            for (const auto& store : m_stores) {
                CacheScope scope { "m", 1, "" };
                store->recordSave(scope, 1'000 + part, 30'000, m_context.now);
                const auto second = choose();
                CPPUNIT_ASSERT(second && second->saveTo.at(0) == first->saveTo.at(0));
                m_context.now += CacheContents::saveTimeout;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chosen.size());
    }

    void partIsSavedToOtherDataCentreOnlyIfLocalStoresAreFull()
    {
        addStore("10.0.2.1", "west");
        const auto near = choose();
        CPPUNIT_ASSERT(near && near->saveTo.at(1) == m_store->store().address);
        m_store->recordSave({ "m", 1, "" }, 77, 190'000, m_context.now);
        const auto far = choose();
        CPPUNIT_ASSERT(far && far->saveTo.at(1) == m_stores[1]->store().address);
    }

    // Guards against fetches from a store that restarted unnoticed and whose blocks are being written again.
    void storeWithoutRecentAnswerIsNotFetchedFrom()
    {
        addStoredPart("v1/m/", 1, 500);
        m_context.bootNow += CacheContents::confirmationLifetime + milliseconds(1);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && !placement->fetchFrom.at(0));
    }

    void recentlyRestartedStoreIsNotSavedTo()
    {
        m_store->replaceAll({}, 2, start);
        m_store->confirm(m_context.bootNow);
        const auto early = choose();
        CPPUNIT_ASSERT(early && !early->saveTo.at(1));
        m_context.now += CacheContents::restartSettleTime;
        const auto later = choose();
        CPPUNIT_ASSERT(later && later->saveTo.at(1));
    }

    void timeCriticalRequestWithSlowStoreSkipsFetch()
    {
        addStoredPart("v1/m/", 1, 500);
        addStoredPart("v1/m/", 2, 8'500);
        for (int i = 0; i < 20; ++i)
            m_store->speed().learn(20, start);
        m_context.goal = milliseconds(400);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), placement->work.fetchTokens);
        CPPUNIT_ASSERT(placement->fetchFrom.empty());
    }

    // Guards against late fetches because the prediction used the faster links of the engines.
    void fetchFromStoreWithSlowLinkIsPredictedByLinkSpeed()
    {
        addStoredPart("v1/m/", 1, 500);
        addStoredPart("v1/m/", 2, 8'500);
        const auto fast = choose();
        addSlowStore();
        const auto slow = choose();
        CPPUNIT_ASSERT(fast && slow);
        // 9,000 tokens of 327,680 bytes take ten times as long over 31 Gbit/s as over 310 Gbit/s, plus a set-up time of 6 ms per part.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(761 + 12, slow->nominalFetchMs, 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(76, fast->nominalFetchMs, 2);
    }

    // Guards against hosts that all fetch a part from a store whose link has a queue of transfers of several seconds.
    void promptWithBusyStoreLinkSkipsFetch()
    {
        addStoredPart("v1/m/", 1, 500);
        addStoredPart("v1/m/", 2, 8'500);
        m_context.goal = milliseconds(400);
        CPPUNIT_ASSERT(choose()->work.fetchTokens > 0);
        m_store->recordFetch(1'000, start);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), choose()->work.fetchTokens);
    }

    // Load pattern: the link of a store becomes slow at peak load, and another store has the same parts.
    void partInTwoStoresIsFetchedFromEarlierSource()
    {
        addStore("10.0.2.1", "west");
        for (const auto& known : m_stores) {
            known->replaceAll({ { true, { "v1/m/", "1" }, 1, 500 }, { true, { "v1/m/", "2" }, 2, 8'500 } }, 1, start - seconds(10));
            known->confirm(seconds(50));
        }
        CPPUNIT_ASSERT(choose()->fetchFrom.at(1) == m_stores[0]->store().address);
        m_stores[0]->recordFetch(400, start);
        CPPUNIT_ASSERT(choose()->fetchFrom.at(1) == m_stores[1]->store().address);
    }

    // Guards against long parts that are computed again, and once more by the next engine, because a fetch was some 100 ms late.
    void fetchTimeLimitGrowsWithPrefillTimeOfParts()
    {
        m_context.goal = milliseconds(600);
        addStoredPart("v1/m/", 1, 500);
        addStoredPart("v1/m/", 2, 8'500);
        // 9,000 tokens at 80 tokens per ms.
        constexpr double prefillMs = 112.5;
        const auto longest = choose()->maxFetchTime;
        CPPUNIT_ASSERT(longest && toMilliseconds(*longest) >= 5 * prefillMs - 1);
        m_prompt.promptTokens = 700;
        m_prompt.parts = { { 1, 500 }, { 4, 200 } };
        const auto shortest = choose()->maxFetchTime;
        CPPUNIT_ASSERT(shortest && *shortest < m_context.goal);
    }

    void recordedFetchesKeepStoreLinkBusyUntilTheirEnd()
    {
        addStoredPart("v1/m/", 1, 500);
        addStoredPart("v1/m/", 2, 8'500);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        EnginePlacement(limits).recordSend(request(), *placement, m_stores, start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(placement->nominalFetchMs, m_store->queueMs(start), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, m_store->queueMs(start + seconds(1)), 0.001);
    }

    void burstOfLongPromptsIsRefusedOncePromptsWouldBeLate()
    {
        int admitted = 0;
        for (std::uint64_t i = 0; i < 200; ++i) {
            m_prompt.parts[1].id = 1'000 + i;
            const auto placement = choose();
            if (!placement) {
                CPPUNIT_ASSERT(placement.error().reason == RefusalReason::Overloaded);
                CPPUNIT_ASSERT(placement.error().retryAfter.count() > 0);
                CPPUNIT_ASSERT(placement.error().retryAfter <= m_context.timeLeft / 3);
                continue;
            }
            ++admitted;
            CPPUNIT_ASSERT(placement->predicted <= m_context.goal);
            placement->runner->addWork(placement->work);
        }
        CPPUNIT_ASSERT(admitted >= 15);
        CPPUNIT_ASSERT(admitted <= 40);
    }

    void urgentPromptInBurstOfLessUrgentPromptsWaitsBriefly()
    {
        for (const auto& runner : m_runners)
            runner->addWork(queued(200'000));
        m_prompt.promptTokens = 800;
        m_prompt.parts = { { 1, 100 }, { 9, 500 }, { 10, 200 } };
        m_context.goal = milliseconds(250);
        m_priority = 0;
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        CPPUNIT_ASSERT(placement->predicted <= milliseconds(120));
    }

    void retryOfRefusedCallerIsAdmittedOnlyWithShortWait()
    {
        for (const auto& runner : m_runners)
            runner->addWork(queued(60'000));
        m_context.isRetry = true;
        CPPUNIT_ASSERT(!choose());
        for (const auto& runner : m_runners)
            runner->removeWork(queued(30'000));
        CPPUNIT_ASSERT(choose());
    }

    void oldWeightsAfterVersionDeadlineAreNotUsed()
    {
        VersionHistory history;
        history.add(2, { seconds(50), false });
        m_newestVersion = 2;
        m_requiredVersion = history.required(milliseconds(54'900), milliseconds(5'000));
        CPPUNIT_ASSERT(choose());
        m_requiredVersion = history.required(milliseconds(55'100), milliseconds(5'000));
        CPPUNIT_ASSERT(!choose());
        m_runners[2]->setVersion("m", 2);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->runner == m_runners[2]);
    }

    // Guards against weights that stay in use because a newer version extends the deadline of all older ones.
    void newerVersionDoesNotExtendDeadlineOfOlderWeights()
    {
        VersionHistory history;
        history.add(2, { seconds(50), false });
        history.add(3, { seconds(54), false });
        m_newestVersion = 3;
        m_requiredVersion = history.required(milliseconds(55'100), milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_requiredVersion);
        CPPUNIT_ASSERT(!choose());
        m_runners[1]->setVersion("m", 2);
        CPPUNIT_ASSERT(choose());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), history.required(milliseconds(59'100), milliseconds(5'000)));
    }

    // Guards against a prompt that begins on expired weights after a long wait in its runner's queue.
    void promptBeginningAfterWeightsExpiryIsPlacedElsewhere()
    {
        m_context.goal = milliseconds(3'000);
        for (std::size_t i = 0; i < 3; ++i)
            m_runners[i]->addPeerPrompt(1, { 5, milliseconds(i == 2 ? 1'500 : 1'000), milliseconds(0), 0 }, start);
        m_runners[2]->setVersion("m", 2);
        m_weightsExpiry = m_context.bootNow + milliseconds(2'900);
        const auto early = choose();
        CPPUNIT_ASSERT(early && early->runner != m_runners[2]);
        m_weightsExpiry = m_context.bootNow + milliseconds(2'000);
        const auto late = choose();
        CPPUNIT_ASSERT(late && late->runner == m_runners[2]);
    }

    void weightsExpireAfterGraceOfNextVersion()
    {
        VersionHistory history;
        history.add(2, { seconds(50), false });
        history.add(3, { seconds(53), false });
        CPPUNIT_ASSERT(history.expiryOf(1, seconds(6)) == seconds(56));
        CPPUNIT_ASSERT(history.expiryOf(2, seconds(6)) == seconds(59));
        CPPUNIT_ASSERT(!history.expiryOf(3, seconds(6)));
    }

    void runnersLoadingWeightsGetNoWork()
    {
        m_runners[0]->setLoading("m", 2, start + seconds(1));
        m_runners[1]->setLoading("m", 2, start + seconds(1));
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->runner == m_runners[2]);
        m_runners[2]->setLoading("m", 2, start + seconds(1));
        CPPUNIT_ASSERT(!choose());
        m_runners[1]->setVersion("m", 2);
        CPPUNIT_ASSERT(choose());
    }

    void dedicatedOrganisationSharesNoParts()
    {
        addStoredPart("v1/m/", 1, 500);
        EnginePlacement(limits).recordSend(request(), placed(m_runners[0]), m_stores, start);
        m_dedicated = "museum";
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10'000), placement->work.prefillTokens[priorityClass(m_priority)]);
        CPPUNIT_ASSERT(!placement->fetchFrom.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("v1/m/museum"), cacheScope(request(), 1).text());
    }

    void serviceRequestIsPlacedOnLeastLoadedRunner()
    {
        OutstandingWork work;
        work.requests = 4;
        m_runners[0]->addWork(work);
        m_runners[2]->addWork(work);
        const auto placement = ServicePlacement().choose(m_context, m_runners, 0.5);
        CPPUNIT_ASSERT(placement && placement->runner == m_runners[1]);
    }

    void serviceRequestWithTooLongWaitIsRefused()
    {
        OutstandingWork work;
        work.requests = 200;
        for (const auto& runner : m_runners)
            runner->addWork(work);
        m_context.timeLeft = milliseconds(1'500);
        const auto placement = ServicePlacement().choose(m_context, m_runners, 0.5);
        CPPUNIT_ASSERT(!placement && placement.error().reason == RefusalReason::Overloaded);
    }

    void partsOfObsoleteVersionAreListed()
    {
        addStoredPart("v1/m/", 1, 500);
        addStoredPart("v2/m/museum", 2, 500);
        m_store->apply({ { true, { "someone else's", "3" }, 3, 10 } }, 1);
        const auto parts = m_store->obsoleteParts([](const CacheScope& scope) { return scope.version < 2; }, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), parts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("v1/m/"), parts[0].scope);
    }

private:
    void clearRunnerParts()
    {
        for (auto& runner : m_runners)
            runner->cachedParts().clear();
    }

    // Replaces the store by one with the same contents, a tenth of the engines' link speed, and a set-up time per transfer.
    void addSlowStore()
    {
        m_store = std::make_shared<CacheContents>(CacheStore { { "10.0.1.1", 90 }, "east", 200'000, 31'000, 6 });
        m_store->replaceAll({}, 1, start - seconds(10));
        m_store->confirm(seconds(50));
        m_stores = { m_store };
        addStoredPart("v1/m/", 1, 500);
        addStoredPart("v1/m/", 2, 8'500);
    }

    EngineRequest request() const
    {
        EngineRequest out;
        out.prompt = &m_prompt;
        out.priority = m_priority;
        out.dedicatedOrganisation = m_dedicated;
        out.newestVersion = m_newestVersion;
        out.requiredVersion = m_requiredVersion;
        out.weightsExpiry = [this](std::uint64_t version) { return version < 2 ? m_weightsExpiry : std::nullopt; };
        return out;
    }

    PlacementResult choose() const { return EnginePlacement(limits).choose(request(), m_context, m_runners, m_stores, 0.5); }

    static Placement placed(const std::shared_ptr<BackendState>& runner)
    {
        Placement out;
        out.runner = runner;
        return out;
    }

    OutstandingWork queued(std::int64_t tokens) const
    {
        OutstandingWork out;
        out.prefillTokens[priorityClass(m_priority)] = tokens;
        return out;
    }

    static void runStreams(BackendState& runner, int n)
    {
        OutstandingWork work;
        work.requests = n;
        runner.addWork(work);
    }

    void addStore(const std::string& ip, const std::string& dataCentre)
    {
        m_stores.push_back(std::make_shared<CacheContents>(CacheStore { { ip, 90 }, dataCentre, 200'000 }));
        m_stores.back()->replaceAll({}, 1, start - seconds(10));
        m_stores.back()->confirm(seconds(50));
    }

    void addStoredPart(const std::string& scope, std::uint64_t part, std::int64_t tokens)
    {
        m_store->apply({ { true, { scope, std::to_string(part) }, part, tokens } }, 1);
    }

    Prompt m_prompt;
    unsigned m_priority = 5;
    std::string m_dedicated;
    std::uint64_t m_newestVersion = 0;
    std::uint64_t m_requiredVersion = 0;
    // Expiry of the versions before 2.
    std::optional<std::chrono::nanoseconds> m_weightsExpiry;
    PlacementContext m_context;
    BackendDirectory::RunnerList m_runners;
    std::shared_ptr<CacheContents> m_store;
    CacheStores m_stores;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EnginePlacementTest);

}
