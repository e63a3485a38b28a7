#include "chiveshelf/placement/BackendDirectory.h"
#include "chiveshelf/placement/EnginePlacement.h"
#include "chiveshelf/placement/ServicePlacement.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(100);

RunnerRecord recordOf(int i)
{
    RunnerRecord record;
    record.id = "r" + std::to_string(i);
    record.pool = "pool";
    record.address = { "10.0.0." + std::to_string(i + 1), 80 };
    record.dataCentre = "east";
    record.slots = 6;
    return record;
}

// Runners that ask for a pause, or say that they leave, as one host sees them.
class PauseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PauseTest);
    CPPUNIT_TEST(poolOfWhichOneRunnerPausesUsesTheOthers);
    CPPUNIT_TEST(poolThatPausesIsUsedAgainRunnerByRunner);
    CPPUNIT_TEST(refusedCallersReturnWhenTheFirstPauseEndsAndNotTogether);
    CPPUNIT_TEST(promptsAreRefusedByAPoolThatPausesToo);
    CPPUNIT_TEST(shorterPauseDoesNotEndALongerOne);
    CPPUNIT_TEST(runnerThatLeavesStaysOutWhateverTheRegistrySays);
    CPPUNIT_TEST(nextIncarnationNeitherPausesNorLeaves);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int i = 0; i < 3; ++i)
            m_runners.push_back(std::make_shared<BackendState>(recordOf(i), 0));
        m_context.now = start;
        m_context.dataCentre = "east";
        m_context.goal = milliseconds(300);
        m_context.timeLeft = seconds(6);
    }

    void poolOfWhichOneRunnerPausesUsesTheOthers()
    {
        m_runners[0]->pauseUntil(start + seconds(2));
        for (int i = 0; i < 20; ++i) {
            const auto placement = ServicePlacement().choose(m_context, m_runners, i / 20.0);
            CPPUNIT_ASSERT(placement);
            CPPUNIT_ASSERT(placement->runner != m_runners[0]);
        }
    }

    void poolThatPausesIsUsedAgainRunnerByRunner()
    {
        pauseAll();
        CPPUNIT_ASSERT(!ServicePlacement().choose(m_context, m_runners, 0.5));
        m_context.now = start + milliseconds(1'000);
        const auto placement = ServicePlacement().choose(m_context, m_runners, 0.5);
        CPPUNIT_ASSERT(placement);
        CPPUNIT_ASSERT(placement->runner == m_runners[1]);
    }

    void refusedCallersReturnWhenTheFirstPauseEndsAndNotTogether()
    {
        pauseAll();
        std::set<std::int64_t> pauses;
        for (int i = 0; i < 10; ++i) {
            const auto refusal = ServicePlacement().choose(m_context, m_runners, i / 10.0).error();
            CPPUNIT_ASSERT(refusal.reason == RefusalReason::Paused);
            CPPUNIT_ASSERT(refusal.retryAfter >= milliseconds(1'000));
            // A third of the time left is what callers are ready to wait.
            CPPUNIT_ASSERT(refusal.retryAfter <= m_context.timeLeft / 3);
            pauses.insert(refusal.retryAfter.count());
        }
        CPPUNIT_ASSERT(pauses.size() >= 5);
    }

    void promptsAreRefusedByAPoolThatPausesToo()
    {
        pauseAll();
        Prompt prompt;
        prompt.model = "m";
        prompt.promptTokens = 100;
        EngineRequest request;
        request.prompt = &prompt;
        const auto refused = EnginePlacement(EngineLimits { 64, 138'000, 327'680, 310'000 }).choose(request, m_context, m_runners, {}, 0.5);
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error().reason == RefusalReason::Paused);
        CPPUNIT_ASSERT(refused.error().retryAfter >= milliseconds(1'000));
    }

    void shorterPauseDoesNotEndALongerOne()
    {
        m_runners[0]->pauseUntil(start + seconds(2));
        m_runners[0]->pauseUntil(start + seconds(1));
        CPPUNIT_ASSERT(m_runners[0]->isPaused(start + milliseconds(1'500)));
        CPPUNIT_ASSERT(!m_runners[0]->isPaused(start + seconds(2)));
    }

    void runnerThatLeavesStaysOutWhateverTheRegistrySays()
    {
        BackendDirectory board;
        std::map<std::string, RunnerRecord> records { { "r0", recordOf(0) }, { "r1", recordOf(1) } };
        const auto noMemory = [](const std::string&) { return std::int64_t(0); };
        board.update(records, noMemory);
        board.find("r0")->setLeaving();
        records["r0"].coldLeft = milliseconds(5);
        board.update(records, noMemory);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), board.runnersOf("pool").size());
        CPPUNIT_ASSERT(!board.find("r0")->isUsable(start));
    }

    void nextIncarnationNeitherPausesNorLeaves()
    {
        BackendDirectory board;
        std::map<std::string, RunnerRecord> records { { "r0", recordOf(0) } };
        const auto noMemory = [](const std::string&) { return std::int64_t(0); };
        board.update(records, noMemory);
        board.find("r0")->setLeaving();
        board.find("r0")->pauseUntil(start + seconds(60));
        records["r0"].bornMs = 7;
        board.update(records, noMemory);
        CPPUNIT_ASSERT(board.find("r0")->isUsable(start));
    }

private:
    // The second runner takes work again first.
    void pauseAll()
    {
        m_runners[0]->pauseUntil(start + milliseconds(3'000));
        m_runners[1]->pauseUntil(start + milliseconds(1'000));
        m_runners[2]->pauseUntil(start + milliseconds(5'000));
    }

    BackendDirectory::RunnerList m_runners;
    PlacementContext m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PauseTest);

}
