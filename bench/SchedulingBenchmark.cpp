#include "chiveshelf/scheduling/FairSharePolicy.h"

#include <benchmark/benchmark.h>

namespace {

using namespace chiveshelf;

const TimePoint now(std::chrono::hours(1));

PoolSnapshot makePool(std::int64_t runners, int slots)
{
    PoolSnapshot pool;
    pool.serviceTime = EstimatedTime(500);
    for (std::int64_t i = 0; i < runners; ++i) {
        RunnerSnapshot runner;
        runner.name = "runner-" + std::to_string(10'000 + i);
        runner.slots = slots;
        pool.runners.push_back(runner);
    }
    return pool;
}

QueuedRequest makeRequest(std::int64_t number, std::int64_t organisations)
{
    QueuedRequest request;
    request.id = "request-" + std::to_string(number);
    request.organisation = "organisation-" + std::to_string(number % organisations);
    request.promptTokens = 20'000;
    request.maxTokens = 200;
    for (int i = 0; i < 5; ++i)
        request.blocks.push_back("block-" + std::to_string(number % 1'000) + "-" + std::to_string(i));
    // Late enough that no request is refused: the estimated prefill times of all iterations add up.
    request.deadline = now + std::chrono::hours(1'000'000);
    return request;
}

// Measures a routing decision: a new request is queued and assigned while every runner has free slots.
void routingDecision(benchmark::State& state)
{
    FairSharePolicy policy({});
    const auto idlePool = makePool(state.range(0), 100'000);
    auto pool = idlePool;
    std::int64_t number = 0;
    for (auto unused : state) {
        (void)unused;
        policy.enqueue(makeRequest(number, state.range(1)), pool, now);
        const auto assigned = policy.assign(pool, now);
        benchmark::DoNotOptimize(assigned.data());
        FinishedWork work;
        work.requestId = assigned.at(0).requestId;
        policy.finished(work);
        ++number;
    }
    state.SetComplexityN(state.range(0));
}

// Measures a queue operation: the next request in fair order is removed from a queue in which every organisation has requests,
// and another one is added.
void queueStep(benchmark::State& state)
{
    ClassQueue queue;
    std::int64_t number = 0;
    for (; number < state.range(0) * 4; ++number)
        queue.push(makeRequest(number, state.range(0)));
    for (auto unused : state) {
        (void)unused;
        const auto taken = queue.take([](const QueuedRequest& request) { return ClassQueue::fullCost(request); });
        benchmark::DoNotOptimize(taken->id.data());
        queue.push(makeRequest(number++, state.range(0)));
    }
    state.SetComplexityN(state.range(0));
}

BENCHMARK(routingDecision)->ArgsProduct({ { 10, 220, 2'600 }, { 10, 510 } });
BENCHMARK(queueStep)->Arg(10)->Arg(510);

}

BENCHMARK_MAIN();
