#include "chiveshelf/placement/ServicePlacement.h"

namespace chiveshelf {

namespace {

    // Weight of the newest answer in the learned time of work.
    constexpr double workWeight = 0.05;
    // Cost of a runner in another data centre as a share of the time of work: the way, and the price of the bytes.
    constexpr double otherDataCentreShare = 0.15;
    // Random share of a runner's cost.
    constexpr double noiseShare = 0.1;
    // A runner that has just started counts as this much slower.
    constexpr double coldFactor = 1.6;
    // Cost of failures in times of work, per unit of the failure share above the tolerated one.
    constexpr double failureCost = 20;
    constexpr double toleratedFailureShare = 0.3;
    // Share of the time left that a wait may take.
    constexpr double longestWaitShare = 0.7;

}

PlacementResult ServicePlacement::choose(const PlacementContext& context, const BackendDirectory::RunnerList& runners, double random) const
{
    std::shared_ptr<BackendState> best;
    double bestCost = 0;
    double bestWaitMs = 0;
    double draw = random;
    for (const auto& runner : runners) {
        if (context.isExcluded(runner->record().id) || !runner->isUsable(context.now))
            continue;
        const auto slots = std::max<double>(runner->record().slots, 1);
        const auto requests = runner->requests(context.now);
        const auto slowness = (runner->record().coldLeft.count() > 0 ? coldFactor : 1.0) * runner->slowdown(context.now);
        // Within the slots a request runs at once; the share of slots taken still orders the runners.
        const auto waitMs = std::max((requests + 1 - slots) / slots, 0.0) * m_workMs * slowness;
        double cost = (requests + 1) / slots * slowness + waitMs / m_workMs;
        if (runner->record().dataCentre != context.dataCentre)
            cost += otherDataCentreShare;
        cost += failureCost * std::max(runner->health().failureShare(context.now) - toleratedFailureShare, 0.0);
        draw = nextDraw(draw);
        cost += noiseShare * draw;
        if (!best || cost < bestCost) {
            best = runner;
            bestCost = cost;
            bestWaitMs = waitMs;
        }
    }
    if (!best)
        return tl::unexpected(refuseWithoutRunner(context, runners, random));
    const std::chrono::milliseconds wait(static_cast<std::int64_t>(bestWaitMs));
    const std::chrono::milliseconds predicted(static_cast<std::int64_t>(bestWaitMs + m_workMs));
    if (bestWaitMs > toMilliseconds(context.timeLeft) * longestWaitShare)
        return tl::unexpected(PlacementRefusal { RefusalReason::Overloaded, jitteredRetryAfter(wait, context.timeLeft, random), predicted });
    Placement out;
    out.runner = best;
    out.predicted = predicted;
    out.wait = wait;
    out.work.requests = 1;
    return out;
}

void ServicePlacement::learnServiceTime(std::chrono::milliseconds work)
{
    m_workMs = m_workMs * (1 - workWeight) + static_cast<double>(work.count()) * workWeight;
}

}
