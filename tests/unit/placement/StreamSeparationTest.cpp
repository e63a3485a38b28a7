#include "PlacementSimulation.h"

#include "chiveshelf/placement/StreamSeparation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(100);
constexpr milliseconds pause { 300 };
constexpr double slowdown = 2.5;
constexpr double longPrefillMs = 180;
constexpr double shortPrefillMs = 16;

// Separation of streams from prompts with a long prefill, on engines that serve both.
class StreamSeparationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamSeparationTest);
    CPPUNIT_TEST(streamsWithSeparationOnSlowMachinesPauseLessOften);
    CPPUNIT_TEST(engineSharesFollowWorkOfStreamsAndLongPrompts);
    CPPUNIT_TEST(poolWithoutLongPromptsIsNotSeparated);
    CPPUNIT_TEST(routeWithoutLongestPauseIsNotSeparated);
    CPPUNIT_TEST(engineSharesAreIndependentOfListOrder);
    CPPUNIT_TEST(lostStreamEngineIsReplacedByNextEngine);
    CPPUNIT_TEST(eachDataCentreIsSeparatedIndependently);
    CPPUNIT_TEST(longPromptWithCachedPartsHasNoCost);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_runners.clear();
        for (int i = 0; i < 12; ++i)
            m_runners.push_back(makeRunner(i, "east"));
    }

    // Simulates many short prompts with long answers beside long prompts, on machines that are slow at times. Guards against streams
    // that pause because each of their tokens waits for a prefill chunk of a long prompt.
    void streamsWithSeparationOnSlowMachinesPauseLessOften()
    {
        simulation::Outcome mixed;
        simulation::Outcome separated;
        simulation::Outcome longMixed;
        simulation::Outcome longSeparated;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto scenario = streamsBesideLongPrompts(seed);
            const auto with = simulation::simulate(scenario);
            scenario.mechanisms = scenario.mechanisms.without(Mechanism::StreamSeparation);
            const auto without = simulation::simulate(scenario);
            add(separated, with[0]);
            add(mixed, without[0]);
            add(longSeparated, with[1]);
            add(longMixed, without[1]);
        }
        CPPUNIT_ASSERT(separated.latePause * 2 <= mixed.latePause);
        CPPUNIT_ASSERT(separated.inTimeShare() > mixed.inTimeShare());
        CPPUNIT_ASSERT(longSeparated.inTimeShare() > longMixed.inTimeShare() - 0.03);
    }

    void engineSharesFollowWorkOfStreamsAndLongPrompts()
    {
        StreamSeparation separation;
        learn(separation, 60, 6);
        const auto few = sum(separation.shares(m_runners));
        learn(separation, 600, 6);
        const auto many = sum(separation.shares(m_runners));
        CPPUNIT_ASSERT(few > 0 && few < 12);
        CPPUNIT_ASSERT(many > few && many < 12);
    }

    void poolWithoutLongPromptsIsNotSeparated()
    {
        StreamSeparation separation;
        learn(separation, 100, 0);
        const auto shares = separation.shares(m_runners);
        const auto effect = separation.effect(shortPrefillMs, 50, slowdown, pause);
        for (const auto share : shares)
            CPPUNIT_ASSERT_EQUAL(0.0, StreamSeparation::cost(effect, share));
    }

    void routeWithoutLongestPauseIsNotSeparated()
    {
        StreamSeparation separation;
        const auto effect = separation.effect(longPrefillMs, 50, slowdown, milliseconds(0));
        CPPUNIT_ASSERT_EQUAL(0.0, StreamSeparation::cost(effect, 1));
        CPPUNIT_ASSERT_EQUAL(0.0, StreamSeparation::cost(effect, 0));
    }

    void engineSharesAreIndependentOfListOrder()
    {
        StreamSeparation one;
        StreamSeparation other;
        learn(one, 200, 20);
        learn(other, 200, 20);
        auto reversed = m_runners;
        std::reverse(reversed.begin(), reversed.end());
        auto shares = other.shares(reversed);
        std::reverse(shares.begin(), shares.end());
        CPPUNIT_ASSERT(one.shares(m_runners) == shares);
    }

    void lostStreamEngineIsReplacedByNextEngine()
    {
        StreamSeparation separation;
        learn(separation, 200, 20);
        const auto before = separation.shares(m_runners);
        const auto lost = std::distance(before.begin(), std::max_element(before.begin(), before.end()));
        auto rest = m_runners;
        rest.erase(rest.begin() + lost);
        auto kept = before;
        kept.erase(kept.begin() + lost);
        const auto after = separation.shares(rest);
        for (std::size_t i = 0; i < rest.size(); ++i)
            CPPUNIT_ASSERT(after[i] >= kept[i]);
    }

    void eachDataCentreIsSeparatedIndependently()
    {
        for (int i = 12; i < 24; ++i)
            m_runners.push_back(makeRunner(i, "west"));
        StreamSeparation separation;
        learn(separation, 200, 20);
        const auto shares = separation.shares(m_runners);
        const auto east = std::accumulate(shares.begin(), shares.begin() + 12, 0.0);
        const auto west = std::accumulate(shares.begin() + 12, shares.end(), 0.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(east, west, 0.001);
    }

    void longPromptWithCachedPartsHasNoCost()
    {
        StreamSeparation separation;
        learn(separation, 200, 20);
        const auto uncached = separation.effect(longPrefillMs, 13, slowdown, pause);
        const auto cached = separation.effect(shortPrefillMs, 13, slowdown, pause);
        CPPUNIT_ASSERT(StreamSeparation::cost(uncached, 1) > 0);
        CPPUNIT_ASSERT_EQUAL(0.0, StreamSeparation::cost(cached, 1));
    }

private:
    static simulation::Scenario streamsBesideLongPrompts(std::uint64_t seed)
    {
        simulation::Scenario out;
        out.engines.count = 9;
        out.engines.slowShare = 0.15;
        out.hosts = 4;
        out.seed = seed;
        out.mechanisms = Mechanisms().without(Mechanism::RunnerFetches);
        simulation::RequestKind longAnswerKind { "long answers", 35, 400, 650, 177, 290, 3, milliseconds(400), pause, milliseconds(15'000) };
        simulation::RequestKind longPromptKind { "long prompts", 22, 300, 7'520, 1'670, 52, 4, milliseconds(600), pause, milliseconds(5'000) };
        out.kinds = { longAnswerKind, longPromptKind };
        return out;
    }

    static void add(simulation::Outcome& sum, const simulation::Outcome& outcome)
    {
        sum.requests += outcome.requests;
        sum.inTime += outcome.inTime;
        sum.lateFirstToken += outcome.lateFirstToken;
        sum.latePause += outcome.latePause;
        sum.refused += outcome.refused;
    }

    static std::shared_ptr<BackendState> makeRunner(int i, const std::string& dataCentre)
    {
        RunnerRecord record;
        record.id = "r" + std::to_string(i);
        record.pool = "pool";
        record.dataCentre = dataCentre;
        return std::make_shared<BackendState>(record, 51'000);
    }

    static void learn(StreamSeparation& separation, int streams, int longPrompts)
    {
        for (int i = 0; i < std::max(streams, longPrompts); ++i) {
            if (i < streams)
                separation.learn(separation.effect(shortPrefillMs, 50, slowdown, pause), shortPrefillMs, 50, start);
            if (i < longPrompts)
                separation.learn(separation.effect(longPrefillMs, 13, slowdown, pause), longPrefillMs, 13, start);
        }
    }

    static double sum(const StreamSeparation::StreamShares& shares)
    {
        return std::accumulate(shares.begin(), shares.end(), 0.0);
    }

    BackendDirectory::RunnerList m_runners;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamSeparationTest);

}
