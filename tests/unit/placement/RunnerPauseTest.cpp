#include "chiveshelf/placement/BackendDirectory.h"
#include "chiveshelf/placement/EnginePlacement.h"
#include "chiveshelf/placement/ServicePlacement.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(100);

RunnerRecord makeRecord(int i)
{
    RunnerRecord record;
    record.id = "r" + std::to_string(i);
    record.pool = "pool";
    record.address = { "10.0.0." + std::to_string(i + 1), 80 };
    record.dataCentre = "east";
    record.slots = 6;
    return record;
}

// Runners that requested a pause or announced their shutdown.
class RunnerPauseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunnerPauseTest);
    CPPUNIT_TEST(poolWithOnePausedRunnerUsesOtherRunners);
    CPPUNIT_TEST(poolWithAllRunnersPausedIsUsedWhenFirstPauseEnds);
    CPPUNIT_TEST(refusalsOfPausedPoolRetryAfterFirstPauseWithJitter);
    CPPUNIT_TEST(promptForPausedPoolIsRefused);
    CPPUNIT_TEST(shorterPauseDoesNotShortenLongerPause);
    CPPUNIT_TEST(leavingRunnerListedInRegistryStaysExcluded);
    CPPUNIT_TEST(restartedRunnerIsNeitherPausedNorLeaving);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int i = 0; i < 3; ++i)
            m_runners.push_back(std::make_shared<BackendState>(makeRecord(i), 0));
        m_context.now = start;
        m_context.dataCentre = "east";
        m_context.goal = milliseconds(300);
        m_context.timeLeft = seconds(6);
    }

    void poolWithOnePausedRunnerUsesOtherRunners()
    {
        m_runners[0]->pauseUntil(start + seconds(2));
        for (int i = 0; i < 20; ++i) {
            const auto placement = ServicePlacement().choose(m_context, m_runners, i / 20.0);
            CPPUNIT_ASSERT(placement);
            CPPUNIT_ASSERT(placement->runner != m_runners[0]);
        }
    }

    void poolWithAllRunnersPausedIsUsedWhenFirstPauseEnds()
    {
        pauseAll();
        CPPUNIT_ASSERT(!ServicePlacement().choose(m_context, m_runners, 0.5));
        m_context.now = start + milliseconds(1'000);
        const auto placement = ServicePlacement().choose(m_context, m_runners, 0.5);
        CPPUNIT_ASSERT(placement);
        CPPUNIT_ASSERT(placement->runner == m_runners[1]);
    }

    void refusalsOfPausedPoolRetryAfterFirstPauseWithJitter()
    {
        pauseAll();
        std::set<std::int64_t> retryDelays;
        for (int i = 0; i < 10; ++i) {
            const auto refusal = ServicePlacement().choose(m_context, m_runners, i / 10.0).error();
            CPPUNIT_ASSERT(refusal.reason == RefusalReason::Paused);
            CPPUNIT_ASSERT(refusal.retryAfter >= milliseconds(1'000));
            // Callers wait for at most a third of their remaining time.
            CPPUNIT_ASSERT(refusal.retryAfter <= m_context.timeLeft / 3);
            retryDelays.insert(refusal.retryAfter.count());
        }
        CPPUNIT_ASSERT(retryDelays.size() >= 5);
    }

    void promptForPausedPoolIsRefused()
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

    void shorterPauseDoesNotShortenLongerPause()
    {
        m_runners[0]->pauseUntil(start + seconds(2));
        m_runners[0]->pauseUntil(start + seconds(1));
        CPPUNIT_ASSERT(m_runners[0]->isPaused(start + milliseconds(1'500)));
        CPPUNIT_ASSERT(!m_runners[0]->isPaused(start + seconds(2)));
    }

    void leavingRunnerListedInRegistryStaysExcluded()
    {
        BackendDirectory directory;
        std::map<std::string, RunnerRecord> records { { "r0", makeRecord(0) }, { "r1", makeRecord(1) } };
        const auto noMemory = [](const std::string&) { return std::int64_t(0); };
        directory.update(records, noMemory);
        directory.find("r0")->setLeaving();
        records["r0"].coldLeft = milliseconds(5);
        directory.update(records, noMemory);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.runnersOf("pool").size());
        CPPUNIT_ASSERT(!directory.find("r0")->isUsable(start));
    }

    void restartedRunnerIsNeitherPausedNorLeaving()
    {
        BackendDirectory directory;
        std::map<std::string, RunnerRecord> records { { "r0", makeRecord(0) } };
        const auto noMemory = [](const std::string&) { return std::int64_t(0); };
        directory.update(records, noMemory);
        directory.find("r0")->setLeaving();
        directory.find("r0")->pauseUntil(start + seconds(60));
        records["r0"].bornMs = 7;
        directory.update(records, noMemory);
        CPPUNIT_ASSERT(directory.find("r0")->isUsable(start));
    }

private:
    // The pause of the second runner ends first.
    void pauseAll()
    {
        m_runners[0]->pauseUntil(start + milliseconds(3'000));
        m_runners[1]->pauseUntil(start + milliseconds(1'000));
        m_runners[2]->pauseUntil(start + milliseconds(5'000));
    }

    BackendDirectory::RunnerList m_runners;
    PlacementContext m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerPauseTest);

}
