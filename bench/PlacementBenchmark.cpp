#include "chiveshelf/placement/EnginePlacement.h"
#include "chiveshelf/placement/ServicePlacement.h"

#include <benchmark/benchmark.h>

namespace {

using namespace chiveshelf;

const TimePoint now(std::chrono::hours(1));

// Returns runners with work of this host and of 20 others, and with learned capacities.
BackendDirectory::RunnerList makeRunners(std::int64_t n)
{
    constexpr std::uint64_t otherHosts = 20;
    constexpr std::int32_t slots = 64;
    BackendDirectory::RunnerList out;
    for (std::int64_t i = 0; i < n; ++i) {
        RunnerRecord record;
        record.id = "runner-" + std::to_string(i);
        record.dataCentre = i % 3 == 0 ? "east" : "west";
        record.slots = slots;
        record.modelVersions["m"] = 1;
        auto runner = std::make_shared<BackendState>(record, 130'000);
        OutstandingWork work;
        work.requests = static_cast<std::int32_t>(i % 2);
        runner->addWork(work);
        for (std::uint64_t host = 0; host < otherHosts; ++host)
            runner->setPeerWork(host, work, now);
        for (std::int32_t load = 1; load <= slots; load += slots / 4)
            runner->capacity().addOwnSample(load, slots, 10 + static_cast<double>(i % 5), now);
        out.push_back(std::move(runner));
    }
    return out;
}

PlacementContext makeContext()
{
    PlacementContext out;
    out.now = now + std::chrono::milliseconds(500);
    out.dataCentre = "east";
    out.goal = std::chrono::milliseconds(400);
    out.timeLeft = std::chrono::seconds(6);
    return out;
}

// Measures the choice of a runner for a request without a prompt. The arguments are the number of runners and whether their capacity
// is learned.
void serviceChoice(benchmark::State& state)
{
    const auto runners = makeRunners(state.range(0));
    const ServicePlacement placement(state.range(1) != 0);
    const auto context = makeContext();
    double random = 0.5;
    for (auto unused : state) {
        (void)unused;
        random = nextRandom(random);
        benchmark::DoNotOptimize(placement.choose(context, runners, random));
    }
}

// The same for a request with a prompt.
void engineChoice(benchmark::State& state)
{
    const auto runners = makeRunners(state.range(0));
    const EnginePlacement placement(EngineLimits { 64, 130'000, 1'000, 100'000 }, {}, state.range(1) != 0);
    const auto context = makeContext();
    Prompt prompt;
    prompt.model = "m";
    prompt.promptTokens = 6'000;
    prompt.outputTokens = 200;
    prompt.parts = { { 1, 5'000 }, { 2, 1'000 } };
    EngineRequest request;
    request.prompt = &prompt;
    request.priority = 3;
    double random = 0.5;
    for (auto unused : state) {
        (void)unused;
        random = nextRandom(random);
        benchmark::DoNotOptimize(placement.choose(request, context, runners, {}, random));
    }
}

BENCHMARK(serviceChoice)->ArgsProduct({ { 3, 160, 2'600 }, { 0, 1 } });
BENCHMARK(engineChoice)->ArgsProduct({ { 160, 2'600 }, { 0, 1 } });

}

BENCHMARK_MAIN();
