#include "PlacementSimulation.h"
#include "chiveshelf/placement/ServicePlacement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <iostream>
#include <queue>
#include <random>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(100);
constexpr std::int32_t slots = 6;
constexpr double baseMs = 100;
constexpr milliseconds exchangeInterval { 150 };

// Factor by which a request at runner `i` with `n` running requests takes longer than baseMs.
using SlownessModel = std::function<double(std::size_t i, std::int32_t n, TimePoint now)>;

// Mean time of the requests sent in each second, and the share of them that each runner got.
struct Outcome {
    std::array<double, 40> meanMs {};
    std::array<std::array<int, 4>, 40> sent {};

    double mean(std::size_t from, std::size_t to) const
    {
        double sum = 0;
        int n = 0;
        for (auto second = from; second < to; ++second) {
            const auto count = std::accumulate(sent[second].begin(), sent[second].end(), 0);
            sum += meanMs[second] * count;
            n += count;
        }
        return sum / n;
    }

    double share(std::size_t runner, std::size_t from, std::size_t to) const
    {
        double own = 0;
        double all = 0;
        for (auto second = from; second < to; ++second) {
            own += sent[second][runner];
            all += std::accumulate(sent[second].begin(), sent[second].end(), 0);
        }
        return own / all;
    }
};

// Replays a load in virtual time: hosts choose for Poisson arrivals and exchange loads and samples every 150 ms.
void replayOnce(bool learns, double perSecond, const SlownessModel& slowness, std::uint64_t seed, Outcome& out)
{
    constexpr std::size_t hosts = 8;
    constexpr std::size_t runnerCount = 3;
    std::vector<BackendDirectory::RunnerList> views(hosts);
    for (auto& view : views) {
        for (std::size_t i = 0; i < runnerCount; ++i) {
            RunnerRecord record;
            record.id = "r" + std::to_string(i);
            record.slots = slots;
            view.push_back(std::make_shared<BackendState>(record, 0));
        }
    }
    struct End {
        TimePoint at;
        std::size_t host = 0;
        std::size_t runner = 0;
        Placement placement;
        TimePoint sentAt;
        bool operator>(const End& other) const { return at > other.at; }
    };
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    std::vector<std::queue<End>> queues(runnerCount);
    std::vector<std::int32_t> running(runnerCount);
    std::vector<ServicePlacement> placements(hosts, ServicePlacement(learns));
    std::mt19937_64 engine(seed);
    std::uniform_real_distribution<double> uniform;
    const auto duration = [](double ms) { return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::milli>(ms)); };
    const auto begin = [&](End request, TimePoint now) {
        const auto factor = slowness(request.runner, ++running[request.runner], now);
        request.at = now + duration(baseMs * factor * (0.5 + uniform(engine)));
        ends.push(std::move(request));
    };
    const auto finish = [&](const End& end) {
        const auto second = static_cast<std::size_t>((end.sentAt - start) / seconds(1));
        auto& count = out.sent[second][end.runner];
        const auto total = std::accumulate(out.sent[second].begin(), out.sent[second].end(), 0);
        out.meanMs[second] = (out.meanMs[second] * total + toMilliseconds(end.at - end.sentAt)) / (total + 1);
        ++count;
        placements[end.host].learnServiceTime(std::chrono::duration_cast<milliseconds>(end.at - end.sentAt));
        ServicePlacement::learnCapacity(end.placement, end.at - end.sentAt, end.at);
        end.placement.runner->removeWork(end.placement.work);
        --running[end.runner];
    };
    const auto exchange = [&](TimePoint now) {
        for (std::size_t from = 0; from < hosts; ++from) {
            for (std::size_t i = 0; i < runnerCount; ++i) {
                const auto samples = views[from][i]->capacity().takeOwnSamples();
                for (std::size_t to = 0; to < hosts; ++to) {
                    if (to == from)
                        continue;
                    views[to][i]->setPeerWork(from, views[from][i]->ownWork(), now);
                    for (const auto& sample : samples)
                        views[to][i]->capacity().addPeerSample(sample, now);
                }
            }
        }
    };
    auto nextExchange = start;
    PlacementContext context;
    context.timeLeft = seconds(6);
    for (auto now = start; now < start + seconds(40); now += duration(-1'000 / perSecond * std::log(1 - uniform(engine)))) {
        while (nextExchange <= now || (!ends.empty() && ends.top().at <= now)) {
            if (ends.empty() || nextExchange <= ends.top().at) {
                exchange(nextExchange);
                nextExchange += exchangeInterval;
                continue;
            }
            const auto end = ends.top();
            ends.pop();
            finish(end);
            auto& queue = queues[end.runner];
            if (!queue.empty()) {
                begin(std::move(queue.front()), end.at);
                queue.pop();
            }
        }
        context.now = now;
        const auto host = engine() % hosts;
        const auto placement = placements[host].choose(context, views[host], uniform(engine));
        if (!placement)
            continue;
        const auto runner = static_cast<std::size_t>(std::find(views[host].begin(), views[host].end(), placement->runner) - views[host].begin());
        placement->runner->addWork(placement->work);
        End request { {}, host, runner, *placement, now };
        if (running[runner] < slots)
            begin(std::move(request), now);
        else
            queues[runner].push(std::move(request));
    }
}

Outcome replay(bool learns, double perSecond, const SlownessModel& slowness)
{
    Outcome out;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        replayOnce(learns, perSecond, slowness, seed, out);
    return out;
}

// Learned capacities in pools of plain services, compared with the choice by slots.
class RunnerCapacityTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RunnerCapacityTest);
    CPPUNIT_TEST(unevenRunnersServeFaster);
    CPPUNIT_TEST(runnerThatSlowsFromHalfOfItsSlotsIsKeptBelow);
    CPPUNIT_TEST(changedSpeedIsDetectedAndItsEndToo);
    CPPUNIT_TEST(equalRunnersAreServedAsWithoutLearning);
    CPPUNIT_TEST(unevenEnginesMeetMoreGoals);
    CPPUNIT_TEST(equalEnginesAreServedNotWorse);
    CPPUNIT_TEST(invalidSamplesOfOtherHostsAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void unevenRunnersServeFaster()
    {
        const SlownessModel uneven = [](std::size_t i, std::int32_t, TimePoint) { return std::array { 1.0, 1.3, 2.5 }[i]; };
        const auto before = replay(false, 60, uneven);
        const auto after = replay(true, 60, uneven);
        report("uneven", before, after, 5, 35);
        report("uneven, first 5 s", before, after, 0, 5);
        CPPUNIT_ASSERT(after.mean(5, 35) < 0.88 * before.mean(5, 35));
        // No runner is starved.
        CPPUNIT_ASSERT(after.share(2, 5, 35) > 0.01);
    }

    void runnerThatSlowsFromHalfOfItsSlotsIsKeptBelow()
    {
        const SlownessModel overloaded = [](std::size_t i, std::int32_t n, TimePoint) { return i == 0 ? std::max<std::int32_t>(n - slots / 2 + 1, 1) : 1; };
        const auto before = replay(false, 120, overloaded);
        const auto after = replay(true, 120, overloaded);
        report("slow from half of its slots", before, after, 5, 35);
        CPPUNIT_ASSERT(after.mean(5, 35) < 0.9 * before.mean(5, 35));
    }

    // Guards against a change that is noticed late, and against a slow runner that is never tried again.
    void changedSpeedIsDetectedAndItsEndToo()
    {
        const SlownessModel changing = [](std::size_t i, std::int32_t, TimePoint now) { return i == 0 && now >= start + seconds(10) && now < start + seconds(20) ? 2.0 : 1.0; };
        const auto before = replay(false, 60, changing);
        const auto after = replay(true, 60, changing);
        std::size_t detected = 10;
        while (detected < 20 && after.share(0, detected, detected + 1) > 0.5 * before.share(0, detected, detected + 1))
            ++detected;
        std::size_t recovered = 20;
        while (recovered < 40 && after.share(0, recovered, recovered + 1) < 0.25)
            ++recovered;
        std::cout << "speed halved: detected within " << detected + 1 - 10 << " s, its end within " << recovered + 1 - 20 << " s\n";
        report("speed halved", before, after, 10, 20);
        report("first 2 s of it", before, after, 10, 12);
        report("after it", before, after, 20, 35);
        CPPUNIT_ASSERT(detected < 13);
        CPPUNIT_ASSERT(after.mean(10, 12) < 1.05 * before.mean(10, 12));
        CPPUNIT_ASSERT(after.mean(12, 20) < before.mean(12, 20));
        CPPUNIT_ASSERT(recovered < 27);
        CPPUNIT_ASSERT(after.mean(20, 35) < 1.05 * before.mean(20, 35));
    }

    void equalRunnersAreServedAsWithoutLearning()
    {
        const SlownessModel equal = [](std::size_t, std::int32_t, TimePoint) { return 1.0; };
        for (const auto perSecond : { 20.0, 60.0, 140.0 }) {
            const auto before = replay(false, perSecond, equal);
            const auto after = replay(true, perSecond, equal);
            report("equal, " + std::to_string(perSecond) + " requests/s", before, after, 0, 35);
            CPPUNIT_ASSERT(after.mean(0, 35) < 1.03 * before.mean(0, 35));
            for (std::size_t i = 0; i < 3; ++i)
                CPPUNIT_ASSERT_DOUBLES_EQUAL(before.share(i, 0, 35), after.share(i, 0, 35), 0.03);
        }
    }

    void unevenEnginesMeetMoreGoals()
    {
        const auto before = inTimeShare(false, { 1, 1.3, 2.5 });
        const auto after = inTimeShare(true, { 1, 1.3, 2.5 });
        std::cout << "uneven engines: in time " << before << " and learned " << after << "\n";
        CPPUNIT_ASSERT(after > before);
    }

    void equalEnginesAreServedNotWorse()
    {
        const auto before = inTimeShare(false, { 1 });
        const auto after = inTimeShare(true, { 1 });
        std::cout << "equal engines: in time " << before << " and learned " << after << "\n";
        CPPUNIT_ASSERT(after > before - 0.01);
    }

    void invalidSamplesOfOtherHostsAreIgnored()
    {
        RunnerCapacity capacity;
        capacity.addPeerSample({ CapacityEstimate::rangeCount, 1, 10 }, start);
        capacity.addPeerSample({ 0, 1, std::numeric_limits<double>::quiet_NaN() }, start);
        capacity.addPeerSample({ 0, 1, -1 }, start);
        CPPUNIT_ASSERT_EQUAL(0.0, capacity.meanMs());
        CPPUNIT_ASSERT_EQUAL(1.0, capacity.estimate(10, slots, start).factor(1));
    }

private:
    // Returns the share of the prompts of 20 hosts whose first token is in time at 12 engines.
    static double inTimeShare(bool learns, std::vector<double> slowness)
    {
        simulation::Scenario scenario;
        scenario.engines.count = 12;
        scenario.engines.slowness = std::move(slowness);
        scenario.kinds = { { "chat", 90, 200, 2'000, 1'500, 60 }, { "long", 8, 1'000, 500, 9'000, 40, 4, milliseconds(900) } };
        scenario.hosts = 20;
        scenario.learnsCapacity = learns;
        double inTime = 0;
        double requests = 0;
        for (scenario.seed = 1; scenario.seed <= 3; ++scenario.seed) {
            for (const auto& outcome : simulation::simulate(scenario)) {
                inTime += outcome.inTime;
                requests += outcome.requests;
            }
        }
        return inTime / requests;
    }

    static void report(const std::string& name, const Outcome& before, const Outcome& after, std::size_t from, std::size_t to)
    {
        std::cout << name << ": mean " << before.mean(from, to) << " ms by slots, " << after.mean(from, to) << " ms learned; shares";
        for (std::size_t i = 0; i < 3; ++i)
            std::cout << " " << before.share(i, from, to) << "/" << after.share(i, from, to);
        std::cout << "\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunnerCapacityTest);

}
