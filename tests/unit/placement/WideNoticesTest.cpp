#include "chiveshelf/placement/EnginePlacement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <iostream>
#include <map>
#include <random>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(100);
// Engines whose links carry the cache of a token in 0.4 us, and in 8.5 us.
const EngineLimits cheapLimits { 12, 97'701, 18'432, 370'000 };
const EngineLimits dearLimits { 12, 97'701, 327'680, 310'000 };

class WideNoticesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WideNoticesTest);
    CPPUNIT_TEST(onlyPoolsWithCheapTransfersAnnouncePlacementsWidely);
    CPPUNIT_TEST(wideNoticesKeepEnginesWithinTheirLimits);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyPoolsWithCheapTransfersAnnouncePlacementsWidely()
    {
        CPPUNIT_ASSERT(Fleet(cheapLimits, 3).place()->isAnnouncedWidely);
        CPPUNIT_ASSERT(!Fleet(dearLimits, 3).place()->isAnnouncedWidely);
        CPPUNIT_ASSERT(!Fleet(EngineLimits { 12, 97'701, 0, 0 }, 3).place()->isAnnouncedWidely);
    }

    // Replays the load of a pool whose long prompts take an eighth of an engine's memory. Guards against streams that are preempted because
    // hosts of several data centres choose the same engine before they hear of each other.
    void wideNoticesKeepEnginesWithinTheirLimits()
    {
        const auto before = overfilledShare(false);
        const auto after = overfilledShare(true);
        if (std::getenv("CHIVESHELF_TEST_FIGURES"))
            std::cout << "placements that overfill an engine: " << before << " without, " << after << " with wide notices\n";
        CPPUNIT_ASSERT_MESSAGE(std::to_string(before), before > 0.01);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(after), after < 0.001);
    }

private:
    struct Fleet {
        Fleet(const EngineLimits& engineLimits, int count)
            : limits(engineLimits)
            , placement(engineLimits)
        {
            for (int i = 0; i < count; ++i) {
                RunnerRecord record;
                record.id = "r" + std::to_string(i);
                record.pool = "pool";
                record.address = { "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1), 80 };
                record.dataCentre = "east";
                record.modelVersions["m"] = 1;
                runners.push_back(std::make_shared<BackendState>(record, limits.memoryTokens));
            }
            prompt.model = "m";
            context.now = start;
            context.goal = milliseconds(800);
            context.timeLeft = seconds(12);
            context.dataCentre = "east";
        }

        PlacementResult choose(double random = 0.5)
        {
            EngineRequest request;
            request.prompt = &prompt;
            request.priority = 3;
            return placement.choose(request, context, runners, {}, random);
        }

        PlacementResult place()
        {
            prompt.promptTokens = 9'000;
            prompt.parts = { { 1, 500 }, { 2, 8'500 } };
            return choose();
        }

        // Whether a placement fills an engine beyond its slots or its memory.
        bool isOverfilled(const BackendState& engine, TimePoint now) const
        {
            const auto work = engine.totalWork(now);
            const auto memory = std::accumulate(work.memoryTokens.begin(), work.memoryTokens.end(), prompt.promptTokens + prompt.outputTokens);
            return work.requests + 1 > static_cast<std::int32_t>(limits.slots) || memory > limits.memoryTokens;
        }

        EngineLimits limits;
        EnginePlacement placement;
        BackendDirectory::RunnerList runners;
        Prompt prompt;
        PlacementContext context;
    };

    // Returns the share of placements that fill an engine beyond its slots or its memory. Hosts hear of each other's work at intervals.
    static double overfilledShare(bool isWide)
    {
        constexpr int runnerCount = 28;
        constexpr std::uint64_t hostCount = 9;
        constexpr int conversations = 120;
        constexpr int requests = 3'000;
        constexpr double perSecond = 130;
        constexpr int requestsPerNotice = 90;
        // A longer prefill is announced to all hosts at once, others to a third of them.
        constexpr milliseconds announcedPrefill { 60 };
        std::vector<std::unique_ptr<Fleet>> hosts;
        for (std::uint64_t i = 0; i < hostCount; ++i) {
            hosts.push_back(std::make_unique<Fleet>(cheapLimits, runnerCount));
            hosts.back()->context.jitterMs = 10;
            hosts.back()->context.nearJitterMs = 5;
        }
        // The engines as they are.
        Fleet engines(cheapLimits, runnerCount);
        std::mt19937_64 random(7);
        std::uniform_real_distribution<double> uniform(0, 1);
        std::multimap<TimePoint, std::function<void()>> ends;
        int overfilled = 0;
        for (int i = 0; i < requests; ++i) {
            const auto now = start + std::chrono::microseconds(static_cast<std::int64_t>(1e6 / perSecond * i));
            for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin()))
                ends.begin()->second();
            if (i % requestsPerNotice == 0)
                exchangeLoads(hosts, now);
            const auto hostNumber = random() % hostCount;
            auto& host = *hosts[hostNumber];
            const bool isLong = i % 3 == 0;
            const auto conversation = static_cast<std::uint64_t>(uniform(random) * uniform(random) * conversations) + (isLong ? 1'000 : 2'000);
            host.prompt.parts = { { 1, 500 }, { conversation, isLong ? 8'600 : 500 }, { static_cast<std::uint64_t>(i) + 10'000, isLong ? 2'900 : 200 } };
            host.prompt.promptTokens = isLong ? 12'000 : 1'200;
            host.prompt.outputTokens = 80;
            host.context.now = now;
            auto placed = host.choose(uniform(random));
            if (!placed)
                continue;
            const auto& record = placed->runner->record();
            const auto engine = *std::find_if(engines.runners.begin(), engines.runners.end(), [&](const auto& it) { return it->record().id == record.id; });
            overfilled += host.isOverfilled(*engine, now) ? 1 : 0;
            const PlacedPrompt notice { 3, placed->prefill, placed->predictedFetch, placed->work.memoryTokens[3] };
            for (std::size_t to = 0; to < hostCount; ++to) {
                const auto& other = hosts[to];
                const auto known = *std::find_if(other->runners.begin(), other->runners.end(), [&](const auto& it) { return it->record().id == record.id; });
                for (const auto& part : host.prompt.parts)
                    known->cachedParts().touch(part, 0);
                if (to != hostNumber && (isWide || placed->prefill >= announcedPrefill || to % 3 == hostNumber % 3))
                    known->addPeerPrompt(hostNumber, notice, now);
            }
            placed->work.prefillTokens = {};
            placed->work.fetchTokens = 0;
            placed->runner->addWork(placed->work);
            engine->addWork(placed->work);
            ends.emplace(now + milliseconds(isLong ? 2'300 : 1'400), [engine, placement = *placed] {
                engine->removeWork(placement.work);
                placement.runner->removeWork(placement.work);
            });
        }
        return static_cast<double>(overfilled) / requests;
    }

    static void exchangeLoads(const std::vector<std::unique_ptr<Fleet>>& hosts, TimePoint now)
    {
        for (std::size_t from = 0; from < hosts.size(); ++from) {
            for (std::size_t to = 0; to < hosts.size(); ++to) {
                for (std::size_t i = 0; from != to && i < hosts[from]->runners.size(); ++i)
                    hosts[to]->runners[i]->setPeerWork(from, hosts[from]->runners[i]->ownWork(), now);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WideNoticesTest);

}
