#include "chiveshelf/placement/ServicePlacement.h"

namespace chiveshelf {

namespace {

    // Weight of the newest answer in the moving average of the service time.
    constexpr double serviceTimeWeight = 0.05;
    // Cost of a runner in another data centre for latency and traffic, in units of the service time.
    constexpr double otherDataCentreCost = 0.15;
    // Maximum random cost, in units of the service time.
    constexpr double jitterCost = 0.1;
    // Slowdown of a runner that is warming up after its start.
    constexpr double warmUpFactor = 1.6;
    // Cost of failures, in units of the service time per unit of the failure share above the tolerated one.
    constexpr double failurePenalty = 20;
    constexpr double toleratedFailureShare = 0.3;
    // Longest admitted wait, as a share of the caller's remaining time.
    constexpr double maxWaitShare = 0.7;

}

PlacementResult ServicePlacement::choose(const PlacementContext& context, const BackendDirectory::RunnerList& runners, double random) const
{
    std::shared_ptr<BackendState> best;
    double bestCost = 0;
    double bestWaitMs = 0;
    double jitter = random;
    for (const auto& runner : runners) {
        if (context.isExcluded(runner->record().id) || !runner->mayReceive(context.now))
            continue;
        const auto slots = std::max<double>(runner->record().slots, 1);
        const auto requests = runner->requests(context.now);
        const auto slowdownFactor = (runner->record().coldLeft.count() > 0 ? warmUpFactor : 1.0) * runner->slowdown(context.now);
        // With a free slot the request does not wait, but the share of used slots still ranks the runners.
        const auto waitMs = std::max((requests + 1 - slots) / slots, 0.0) * m_serviceTimeMs * slowdownFactor;
        double cost = (requests + 1) / slots * slowdownFactor + waitMs / m_serviceTimeMs;
        if (runner->record().dataCentre != context.dataCentre)
            cost += otherDataCentreCost;
        cost += failurePenalty * std::max(runner->health().failureShare(context.now) - toleratedFailureShare, 0.0);
        jitter = nextRandom(jitter);
        cost += jitterCost * jitter;
        if (!best || cost < bestCost) {
            best = runner;
            bestCost = cost;
            bestWaitMs = waitMs;
        }
    }
    if (!best)
        return tl::unexpected(refuseWithoutRunner(context, runners, random));
    const std::chrono::milliseconds wait(static_cast<std::int64_t>(bestWaitMs));
    const std::chrono::milliseconds predicted(static_cast<std::int64_t>(bestWaitMs + m_serviceTimeMs));
    if (bestWaitMs > toMilliseconds(context.timeLeft) * maxWaitShare)
        return tl::unexpected(PlacementRefusal { RefusalReason::Overloaded, jitteredRetryAfter(wait, context.timeLeft, random), predicted });
    Placement out;
    out.runner = best;
    out.predicted = predicted;
    out.wait = wait;
    out.work.requests = 1;
    return out;
}

void ServicePlacement::learnServiceTime(std::chrono::milliseconds serviceTime)
{
    m_serviceTimeMs = m_serviceTimeMs * (1 - serviceTimeWeight) + static_cast<double>(serviceTime.count()) * serviceTimeWeight;
}

}
