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
    CPPUNIT_TEST(returningPromptGoesWhereItsPartsAre);
    CPPUNIT_TEST(returningPromptLeavesAnOverloadedHolderAndFetchesItsParts);
    CPPUNIT_TEST(runnerThatAnotherHostHasJustGivenAPromptIsAvoidedUntilItIsRead);
    CPPUNIT_TEST(promptsOfOtherHostsDelayOnlyLessUrgentOnes);
    CPPUNIT_TEST(longPromptGoesWhereItMakesNoStreamsPause);
    CPPUNIT_TEST(longPromptThatCannotAvoidPausesGoesWhereStreamsPauseAlready);
    CPPUNIT_TEST(shortStreamKeepsAwayFromAPauseThatIsComing);
    CPPUNIT_TEST(requestsOfOtherHostsCountUntilTheirNextFigures);
    CPPUNIT_TEST(urgentPromptIsAdmittedToRunnersFullOfLessUrgentOnes);
    CPPUNIT_TEST(draftLeavesRoomForMoreUrgentPrompts);
    CPPUNIT_TEST(speedIsLearnedBesideRunningStreams);
    CPPUNIT_TEST(missingPartsAreNotTakenForASlowRunner);
    CPPUNIT_TEST(partOfAStoreIsFetchedFromThereAndNotSavedAgain);
    CPPUNIT_TEST(partThatNoStoreHasIsSavedOnce);
    CPPUNIT_TEST(hostsThatSaveAPartAtOnceChooseTheSameStore);
    CPPUNIT_TEST(partGoesToAnotherDataCentreOnlyWhereNoNearStoreHasRoom);
    CPPUNIT_TEST(storeThatHasNotAnsweredLatelyIsNotFetchedFrom);
    CPPUNIT_TEST(storeThatHasJustRestartedIsNotSavedTo);
    CPPUNIT_TEST(slowStoreInTimeCriticalRequestIsReplacedByReading);
    CPPUNIT_TEST(storeWithASlowLinkIsPredictedByItsLink);
    CPPUNIT_TEST(storeWhoseLinkIsBusyIsLeftForReading);
    CPPUNIT_TEST(partOfTwoStoresIsFetchedFromTheOneThatSendsItFirst);
    CPPUNIT_TEST(partsThatTakeLongToReadAreWaitedForLonger);
    CPPUNIT_TEST(sentFetchesKeepTheLinkBusyUntilTheyAreOver);
    CPPUNIT_TEST(draftsInABurstAreRefusedOnceTheyWouldBeLate);
    CPPUNIT_TEST(questionInABurstOfDraftsWaitsOnlyForItsLike);
    CPPUNIT_TEST(refusedCallerComesBackLateAndIsAdmittedOnlyWithLittleWaiting);
    CPPUNIT_TEST(oldWeightsAreNotUsedPastTheTimeForAVersion);
    CPPUNIT_TEST(versionThatFollowsDoesNotProlongTheUseOfOlderOnes);
    CPPUNIT_TEST(promptThatWouldBeginTooLateOnOldWeightsGoesElsewhere);
    CPPUNIT_TEST(endOfWeightsFollowsFromTheNextVersion);
    CPPUNIT_TEST(runnersThatLoadWeightsGetNoWork);
    CPPUNIT_TEST(dedicatedOrganisationSharesNoParts);
    CPPUNIT_TEST(plainRequestGoesToTheLeastLoadedRunner);
    CPPUNIT_TEST(plainRequestBeyondItsTimeIsRefused);
    CPPUNIT_TEST(scopeOfAnObsoleteVersionIsRecognised);
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

    void returningPromptGoesWhereItsPartsAre()
    {
        for (const auto& holder : m_runners) {
            setUpAgain();
            const auto i = static_cast<std::size_t>(std::distance(m_runners.begin(), std::find(m_runners.begin(), m_runners.end(), holder)));
            EnginePlacement(limits).recordSend(request(), placed(m_runners[i % 3]), m_stores, start);
            const auto placement = choose();
            CPPUNIT_ASSERT(placement && placement->runner == m_runners[i % 3]);
            CPPUNIT_ASSERT_EQUAL(std::int64_t(0), placement->work.fetchTokens);
        }
    }

    void returningPromptLeavesAnOverloadedHolderAndFetchesItsParts()
    {
        EnginePlacement(limits).recordSend(request(), placed(m_runners[0]), m_stores, start);
        m_runners[0]->addWork(queued(60'000));
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->runner != m_runners[0]);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9'000), placement->work.fetchTokens);
        CPPUNIT_ASSERT(placement->fetchFrom.at(1) == m_runners[0]->record().address);
        CPPUNIT_ASSERT(!placement->fetchFrom.at(2));
    }

    // Guards against two hosts that give long prompts to the same runner while others are free.
    void runnerThatAnotherHostHasJustGivenAPromptIsAvoidedUntilItIsRead()
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

    void promptsOfOtherHostsDelayOnlyLessUrgentOnes()
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

    // Guards against streams of several events that wait for one chunk of a prompt per token.
    void longPromptGoesWhereItMakesNoStreamsPause()
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

    void longPromptThatCannotAvoidPausesGoesWhereStreamsPauseAlready()
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

    void shortStreamKeepsAwayFromAPauseThatIsComing()
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

    void requestsOfOtherHostsCountUntilTheirNextFigures()
    {
        m_runners[0]->addPeerPrompt(1, { 3, milliseconds(10), milliseconds(0), 700 }, start);
        m_runners[0]->addPeerPrompt(1, { 3, milliseconds(10), milliseconds(0), 700 }, start);
        CPPUNIT_ASSERT_EQUAL(2, m_runners[0]->totalWork(start).requests);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'400), m_runners[0]->totalWork(start).memoryUpTo(3));
        OutstandingWork work;
        work.requests = 1;
        m_runners[0]->setPeerWork(1, work, start + milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(1, m_runners[0]->totalWork(start + milliseconds(600)).requests);
    }

    // Guards against questions that are refused since drafts fill the engines: the engine makes room for them.
    void urgentPromptIsAdmittedToRunnersFullOfLessUrgentOnes()
    {
        OutstandingWork drafts;
        drafts.requests = 70;
        drafts.prompts[5] = 70;
        drafts.memoryTokens[5] = 280'000;
        for (auto& runner : m_runners)
            runner->addWork(drafts);
        m_context.goal = milliseconds(250);
        m_prompt.promptTokens = 800;
        m_prompt.parts = { { 1, 800 } };
        CPPUNIT_ASSERT(!choose());
        m_priority = 3;
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        CPPUNIT_ASSERT_EQUAL(milliseconds(0).count(), placement->wait.count());
    }

    // Guards against drafts that are preempted and read again as soon as a few more questions come.
    void draftLeavesRoomForMoreUrgentPrompts()
    {
        OutstandingWork questions;
        questions.requests = 40;
        questions.prompts[3] = 40;
        questions.memoryTokens[3] = 85'000;
        for (auto& runner : m_runners)
            runner->addWork(questions);
        // 85,000 and half of it, and the prompt: more than 95% of 138,000.
        const auto draft = choose();
        CPPUNIT_ASSERT(draft && draft->wait > milliseconds(0));
        m_priority = 3;
        const auto question = choose();
        CPPUNIT_ASSERT(question);
        CPPUNIT_ASSERT_EQUAL(milliseconds(0).count(), question->wait.count());
    }

    // Guards against queues that are believed to be empty while a runner beside its streams still reads them.
    void speedIsLearnedBesideRunningStreams()
    {
        runStreams(*m_runners[0], 30);
        runStreams(*m_runners[1], 31);
        runStreams(*m_runners[2], 31);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->work.prefillTokens[5] == 10'000);
        EnginePlacement::learn(*placement, m_stores, milliseconds(225), start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, placement->runner->tokensPerMs(0), 0.01);
    }

    void missingPartsAreNotTakenForASlowRunner()
    {
        m_runners[0]->learnSpeed(80);
        m_runners[0]->learnSpeed(20);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(80.0, m_runners[0]->tokensPerMs(0), 0.01);
    }

    void partOfAStoreIsFetchedFromThereAndNotSavedAgain()
    {
        store("v1/m/", 1, 500);
        store("v1/m/", 2, 8'500);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && placement->fetchFrom.at(1) == m_store->store().address);
        CPPUNIT_ASSERT(!placement->saveTo.at(1));
        CPPUNIT_ASSERT(placement->maxFetchTime);
    }

    void partThatNoStoreHasIsSavedOnce()
    {
        const auto first = choose();
        CPPUNIT_ASSERT(first && first->saveTo.at(1) == m_store->store().address);
        EnginePlacement(limits).recordSend(request(), *first, m_stores, start);
        const auto second = choose();
        CPPUNIT_ASSERT(second && !second->saveTo.at(1));
    }

    // Guards against copies of a part that fill the stores, since hosts hear of each other's saves late.
    void hostsThatSaveAPartAtOnceChooseTheSameStore()
    {
        addStore("10.0.1.2", "east");
        std::set<std::optional<Address>> chosen;
        for (std::uint64_t part = 1; part < 9; ++part) {
            m_prompt.parts[0].id = part;
            const auto first = choose();
            CPPUNIT_ASSERT(first && first->saveTo.at(0));
            chosen.insert(first->saveTo.at(0));
            // Another host knows of other saves, so that one store or the other looks emptier.
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

    void partGoesToAnotherDataCentreOnlyWhereNoNearStoreHasRoom()
    {
        addStore("10.0.2.1", "west");
        const auto near = choose();
        CPPUNIT_ASSERT(near && near->saveTo.at(1) == m_store->store().address);
        m_store->recordSave({ "m", 1, "" }, 77, 190'000, m_context.now);
        const auto far = choose();
        CPPUNIT_ASSERT(far && far->saveTo.at(1) == m_stores[1]->store().address);
    }

    // Guards against memory that a restarted store is just being given anew.
    void storeThatHasNotAnsweredLatelyIsNotFetchedFrom()
    {
        store("v1/m/", 1, 500);
        m_context.bootNow += CacheContents::confirmationLifetime + milliseconds(1);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement && !placement->fetchFrom.at(0));
    }

    void storeThatHasJustRestartedIsNotSavedTo()
    {
        m_store->replaceAll({}, 2, start);
        m_store->confirm(m_context.bootNow);
        const auto early = choose();
        CPPUNIT_ASSERT(early && !early->saveTo.at(1));
        m_context.now += CacheContents::restartSettleTime;
        const auto later = choose();
        CPPUNIT_ASSERT(later && later->saveTo.at(1));
    }

    void slowStoreInTimeCriticalRequestIsReplacedByReading()
    {
        store("v1/m/", 1, 500);
        store("v1/m/", 2, 8'500);
        for (int i = 0; i < 20; ++i)
            m_store->speed().learn(20, start);
        m_context.goal = milliseconds(400);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), placement->work.fetchTokens);
        CPPUNIT_ASSERT(placement->fetchFrom.empty());
    }

    // Guards against fetches that come too late, since they were predicted by the engines' faster links.
    void storeWithASlowLinkIsPredictedByItsLink()
    {
        store("v1/m/", 1, 500);
        store("v1/m/", 2, 8'500);
        const auto fast = choose();
        addSlowStore();
        const auto slow = choose();
        CPPUNIT_ASSERT(fast && slow);
        // 9,000 tokens of 327,680 bytes over 31 Gbit/s, ten times as long as over 310 Gbit/s, and 6 ms before each part.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(761 + 12, slow->nominalFetchMs, 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(76, fast->nominalFetchMs, 2);
    }

    // Guards against hosts that all send for a part to a store whose link has seconds of transfers before it.
    void storeWhoseLinkIsBusyIsLeftForReading()
    {
        store("v1/m/", 1, 500);
        store("v1/m/", 2, 8'500);
        m_context.goal = milliseconds(400);
        CPPUNIT_ASSERT(choose()->work.fetchTokens > 0);
        m_store->recordFetch(1'000, start);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), choose()->work.fetchTokens);
    }

    // The load pattern "a store's link turns slow at the crest, and another store has the parts too".
    void partOfTwoStoresIsFetchedFromTheOneThatSendsItFirst()
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

    // Guards against long parts that are read again, and by the next engine once more, since a fetch was some 100 ms late.
    void partsThatTakeLongToReadAreWaitedForLonger()
    {
        m_context.goal = milliseconds(600);
        store("v1/m/", 1, 500);
        store("v1/m/", 2, 8'500);
        // 9,000 tokens at 80 a ms.
        constexpr double readMs = 112.5;
        const auto longest = choose()->maxFetchTime;
        CPPUNIT_ASSERT(longest && toMilliseconds(*longest) >= 5 * readMs - 1);
        m_prompt.promptTokens = 700;
        m_prompt.parts = { { 1, 500 }, { 4, 200 } };
        const auto shortest = choose()->maxFetchTime;
        CPPUNIT_ASSERT(shortest && *shortest < m_context.goal);
    }

    void sentFetchesKeepTheLinkBusyUntilTheyAreOver()
    {
        store("v1/m/", 1, 500);
        store("v1/m/", 2, 8'500);
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        EnginePlacement(limits).recordSend(request(), *placement, m_stores, start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(placement->nominalFetchMs, m_store->queueMs(start), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, m_store->queueMs(start + seconds(1)), 0.001);
    }

    void draftsInABurstAreRefusedOnceTheyWouldBeLate()
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

    void questionInABurstOfDraftsWaitsOnlyForItsLike()
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

    void refusedCallerComesBackLateAndIsAdmittedOnlyWithLittleWaiting()
    {
        for (const auto& runner : m_runners)
            runner->addWork(queued(60'000));
        m_context.isLate = true;
        CPPUNIT_ASSERT(!choose());
        for (const auto& runner : m_runners)
            runner->removeWork(queued(30'000));
        CPPUNIT_ASSERT(choose());
    }

    void oldWeightsAreNotUsedPastTheTimeForAVersion()
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

    // Guards against weights that stay in use since a newer version begins a new time for all older ones.
    void versionThatFollowsDoesNotProlongTheUseOfOlderOnes()
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

    // Guards against a prompt that begins on old weights after a long wait in its runner's queue.
    void promptThatWouldBeginTooLateOnOldWeightsGoesElsewhere()
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

    void endOfWeightsFollowsFromTheNextVersion()
    {
        VersionHistory history;
        history.add(2, { seconds(50), false });
        history.add(3, { seconds(53), false });
        CPPUNIT_ASSERT(history.expiryOf(1, seconds(6)) == seconds(56));
        CPPUNIT_ASSERT(history.expiryOf(2, seconds(6)) == seconds(59));
        CPPUNIT_ASSERT(!history.expiryOf(3, seconds(6)));
    }

    void runnersThatLoadWeightsGetNoWork()
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
        store("v1/m/", 1, 500);
        EnginePlacement(limits).recordSend(request(), placed(m_runners[0]), m_stores, start);
        m_dedicated = "museum";
        const auto placement = choose();
        CPPUNIT_ASSERT(placement);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10'000), placement->work.prefillTokens[priorityClass(m_priority)]);
        CPPUNIT_ASSERT(!placement->fetchFrom.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("v1/m/museum"), cacheScope(request(), 1).text());
    }

    void plainRequestGoesToTheLeastLoadedRunner()
    {
        OutstandingWork work;
        work.requests = 4;
        m_runners[0]->addWork(work);
        m_runners[2]->addWork(work);
        const auto placement = ServicePlacement().choose(m_context, m_runners, 0.5);
        CPPUNIT_ASSERT(placement && placement->runner == m_runners[1]);
    }

    void plainRequestBeyondItsTimeIsRefused()
    {
        OutstandingWork work;
        work.requests = 200;
        for (const auto& runner : m_runners)
            runner->addWork(work);
        m_context.timeLeft = milliseconds(1'500);
        const auto placement = ServicePlacement().choose(m_context, m_runners, 0.5);
        CPPUNIT_ASSERT(!placement && placement.error().reason == RefusalReason::Overloaded);
    }

    void scopeOfAnObsoleteVersionIsRecognised()
    {
        store("v1/m/", 1, 500);
        store("v2/m/museum", 2, 500);
        m_store->apply({ { true, { "someone else's", "3" }, 3, 10 } }, 1);
        const auto parts = m_store->obsoleteParts([](const CacheScope& scope) { return scope.version < 2; }, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), parts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("v1/m/"), parts[0].scope);
    }

private:
    void setUpAgain()
    {
        for (auto& runner : m_runners)
            runner->parts().clear();
    }

    // Replaces the store by one with a tenth of the engines' link and a time before each transfer, with the same contents.
    void addSlowStore()
    {
        m_store = std::make_shared<CacheContents>(CacheStore { { "10.0.1.1", 90 }, "east", 200'000, 31'000, 6 });
        m_store->replaceAll({}, 1, start - seconds(10));
        m_store->confirm(seconds(50));
        m_stores = { m_store };
        store("v1/m/", 1, 500);
        store("v1/m/", 2, 8'500);
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

    void store(const std::string& scope, std::uint64_t part, std::int64_t tokens)
    {
        m_store->apply({ { true, { scope, std::to_string(part) }, part, tokens } }, 1);
    }

    Prompt m_prompt;
    unsigned m_priority = 5;
    std::string m_dedicated;
    std::uint64_t m_newestVersion = 0;
    std::uint64_t m_requiredVersion = 0;
    // Of versions before 2.
    std::optional<std::chrono::nanoseconds> m_weightsExpiry;
    PlacementContext m_context;
    BackendDirectory::RunnerList m_runners;
    std::shared_ptr<CacheContents> m_store;
    CacheStores m_stores;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EnginePlacementTest);

}
