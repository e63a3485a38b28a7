#include "chiveshelf/placement/EnginePlacement.h"
#include "chiveshelf/placement/ReturnSchedule.h"
#include "chiveshelf/placement/ServicePlacement.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(100);

// Choices in a pool whose runners state limits of requests, on the only host.
class LimitedPoolTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LimitedPoolTest);
    CPPUNIT_TEST(runnerAtItsLimitIsNotChosenUntilNextPermit);
    CPPUNIT_TEST(promptIsNotSentToRunnerAtItsLimit);
    CPPUNIT_TEST(poolAtItsLimitRefusesWithNextPermitAsRetryAfter);
    CPPUNIT_TEST(runnerWithLimitOfZeroIsTriedSeldom);
    CPPUNIT_TEST(restartedRunnerHasNoLimit);
    CPPUNIT_TEST(refusedCallersReturnOneAfterAnother);
    CPPUNIT_TEST(callerThatCannotWaitGetsTheTrueTimeButNoTurn);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int i = 0; i < 2; ++i)
            m_runners.push_back(std::make_shared<BackendState>(makeRecord(i), 0));
        m_context.now = start;
        m_context.dataCentre = "east";
        m_context.goal = milliseconds(300);
        m_context.timeLeft = seconds(6);
    }

    void runnerAtItsLimitIsNotChosenUntilNextPermit()
    {
        m_runners[0]->requestLimit().applyAnswer(2.0, start, start);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(ServicePlacement().choose(m_context, m_runners, i / 20.0)->runner == m_runners[1]);
        m_runners[1]->setLeaving();
        m_context.now = start + milliseconds(500);
        CPPUNIT_ASSERT(ServicePlacement().choose(m_context, m_runners, 0.5)->runner == m_runners[0]);
        m_runners[0]->requestLimit().recordSend(m_context.now, 0.5);
        CPPUNIT_ASSERT(!ServicePlacement().choose(m_context, m_runners, 0.5));
    }

    void promptIsNotSentToRunnerAtItsLimit()
    {
        for (const auto& runner : m_runners)
            runner->requestLimit().applyAnswer(2.0, start, start);
        Prompt prompt;
        prompt.model = "m";
        prompt.promptTokens = 100;
        EngineRequest request;
        request.prompt = &prompt;
        const EnginePlacement placement(EngineLimits { 64, 100'000, 1'000, 100'000 });
        const auto refused = placement.choose(request, m_context, m_runners, {}, 0.5);
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error().reason == RefusalReason::Limited);
        m_context.now = start + milliseconds(500);
        CPPUNIT_ASSERT(placement.choose(request, m_context, m_runners, {}, 0.5));
    }

    void poolAtItsLimitRefusesWithNextPermitAsRetryAfter()
    {
        m_runners[0]->requestLimit().applyAnswer(2.0, start, start);
        m_runners[1]->requestLimit().applyAnswer(0.5, start, start);
        const auto refused = ServicePlacement().choose(m_context, m_runners, 0.5);
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error().reason == RefusalReason::Limited);
        CPPUNIT_ASSERT(refused.error().retryAfter == milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(2.5, refused.error().permitsPerSecond);
    }

    // Guards against a runner that never gets a request again, whose answer could raise its limit.
    void runnerWithLimitOfZeroIsTriedSeldom()
    {
        auto& limit = m_runners[0]->requestLimit();
        limit.applyAnswer(0.0, start, start);
        CPPUNIT_ASSERT(!limit.hasPermit(start + seconds(5)));
        CPPUNIT_ASSERT(limit.hasPermit(start + seconds(10)));
    }

    void restartedRunnerHasNoLimit()
    {
        BackendDirectory directory;
        std::map<std::string, RunnerRecord> records { { "r0", makeRecord(0) } };
        const auto noMemory = [](const std::string&) { return std::int64_t(0); };
        directory.update(records, noMemory);
        directory.find("r0")->requestLimit().applyAnswer(1.0, start, start);
        CPPUNIT_ASSERT(!directory.find("r0")->mayReceive(start));
        records["r0"].bornMs = 7;
        directory.update(records, noMemory);
        CPPUNIT_ASSERT(directory.find("r0")->mayReceive(start));
    }

    // Guards against refused callers that come back all at once, of which all but one are refused again.
    void refusedCallersReturnOneAfterAnother()
    {
        ReturnSchedule schedule;
        CPPUNIT_ASSERT(schedule.next(milliseconds(300), 4, seconds(2), start) == milliseconds(300));
        CPPUNIT_ASSERT(schedule.next(milliseconds(300), 4, seconds(2), start) == milliseconds(550));
        CPPUNIT_ASSERT(schedule.next(milliseconds(200), 4, seconds(2), start + milliseconds(100)) == milliseconds(700));
        CPPUNIT_ASSERT(schedule.next(milliseconds(300), 4, seconds(2), start + seconds(5)) == milliseconds(300));
    }

    void callerThatCannotWaitGetsTheTrueTimeButNoTurn()
    {
        ReturnSchedule schedule;
        CPPUNIT_ASSERT(schedule.next(seconds(1), 1, milliseconds(1'500), start) == seconds(1));
        CPPUNIT_ASSERT(schedule.next(seconds(1), 1, milliseconds(1'500), start) == seconds(2));
        CPPUNIT_ASSERT(schedule.next(seconds(1), 1, seconds(3), start) == seconds(2));
    }

private:
    static RunnerRecord makeRecord(int i)
    {
        RunnerRecord record;
        record.id = "r" + std::to_string(i);
        record.pool = "pool";
        record.dataCentre = "east";
        record.slots = 6;
        record.modelVersions["m"] = 1;
        return record;
    }

    BackendDirectory::RunnerList m_runners;
    PlacementContext m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedPoolTest);

}
