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
    // A runner whose expected time is at least this multiple of the reference is probed if it has had no request for this time. Hosts
    // learn of each other's samples within a second.
    constexpr double probedFactor = 1.25;
    constexpr std::chrono::milliseconds probeInterval { 1'000 };
    // Share of the requests that may go to a runner as a probe. Bounds the probes of all hosts before the first sample arrives.
    constexpr double probeShare = 0.05;

    // Returns the factor by which requests at the runner are known to take longer than usual, independent of its load.
    double knownSlowdown(const BackendState& runner, TimePoint now)
    {
        return (runner.record().coldLeft.count() > 0 ? warmUpFactor : 1.0) * runner.slowdown(now);
    }

}

ServicePlacement::Estimate ServicePlacement::estimateBySlots(const BackendState& runner, TimePoint now) const
{
    const auto slots = std::max<double>(runner.record().slots, 1);
    const auto requests = runner.requests(now);
    const auto slowdownFactor = knownSlowdown(runner, now);
    // With a free slot the request does not wait, but the share of used slots still ranks the runners.
    const auto waitMs = std::max((requests + 1 - slots) / slots, 0.0) * m_serviceTimeMs * slowdownFactor;
    return { (requests + 1) / slots * slowdownFactor + waitMs / m_serviceTimeMs, waitMs, m_serviceTimeMs };
}

ServicePlacement::Estimate ServicePlacement::estimateByCapacity(const BackendState& runner, double referenceMs, TimePoint now)
{
    const auto& capacity = runner.capacity().estimate(referenceMs, static_cast<std::int32_t>(runner.record().slots), now);
    const auto load = runner.requests(now) + 1;
    const auto slowdownFactor = knownSlowdown(runner, now);
    const auto factor = capacity.factor(load) * slowdownFactor;
    const auto waitFactor = capacity.waitFactor(load) * slowdownFactor;
    // Equal to the cost by slots while all factors are 1.
    return { factor * (1 + static_cast<double>(load) / capacity.limit()) - 1 + waitFactor, waitFactor * referenceMs, factor * referenceMs };
}

bool ServicePlacement::isProbeDue(const BackendState& runner, double expectedMs, double referenceMs, TimePoint now)
{
    const auto lastSampleAt = runner.capacity().lastSampleAt();
    return expectedMs >= probedFactor * referenceMs && now - lastSampleAt >= probeInterval && runner.requests(now) == 0;
}

PlacementResult ServicePlacement::choose(const PlacementContext& context, const BackendDirectory::RunnerList& runners, double random) const
{
    const auto maxWaitMs = toMilliseconds(context.timeLeft) * maxWaitShare;
    const auto reference = m_learnsCapacity ? referenceMs(runners, m_serviceTimeMs) : m_serviceTimeMs;
    std::shared_ptr<BackendState> best;
    Estimate bestEstimate;
    std::shared_ptr<BackendState> probed;
    Estimate probedEstimate;
    double jitter = random;
    for (const auto& runner : runners) {
        if (context.isExcluded(runner->record().id) || !runner->mayReceive(context.now))
            continue;
        auto estimate = m_learnsCapacity ? estimateByCapacity(*runner, reference, context.now) : estimateBySlots(*runner, context.now);
        if (runner->record().dataCentre != context.dataCentre)
            estimate.cost += otherDataCentreCost;
        estimate.cost += failurePenalty * std::max(runner->health().failureShare(context.now) - toleratedFailureShare, 0.0);
        jitter = nextRandom(jitter);
        estimate.cost += jitterCost * jitter;
        if (!best || estimate.cost < bestEstimate.cost) {
            best = runner;
            bestEstimate = estimate;
        }
        const bool isProbe = m_learnsCapacity && estimate.expectedMs <= maxWaitMs && isProbeDue(*runner, estimate.expectedMs, reference, context.now);
        if (isProbe && (!probed || runner->capacity().lastSampleAt() < probed->capacity().lastSampleAt())) {
            probed = runner;
            probedEstimate = estimate;
        }
    }
    if (!best)
        return tl::unexpected(refuseWithoutRunner(context, runners, random));
    const bool isProbe = probed && probed != best && nextRandom(jitter) < probeShare;
    if (isProbe) {
        best = probed;
        bestEstimate = probedEstimate;
    }
    const std::chrono::milliseconds wait(static_cast<std::int64_t>(bestEstimate.waitMs));
    const std::chrono::milliseconds predicted(static_cast<std::int64_t>(bestEstimate.waitMs + bestEstimate.expectedMs));
    if (bestEstimate.waitMs > maxWaitMs)
        return tl::unexpected(PlacementRefusal { RefusalReason::Overloaded, jitteredRetryAfter(wait, context.timeLeft, random), predicted });
    Placement out;
    out.runner = best;
    out.predicted = predicted;
    out.wait = wait;
    out.work.requests = 1;
    out.learnedLoad = m_learnsCapacity ? best->requests(context.now) + 1 : 0;
    out.isProbe = isProbe;
    return out;
}

void ServicePlacement::learnServiceTime(std::chrono::milliseconds serviceTime)
{
    m_serviceTimeMs = m_serviceTimeMs * (1 - serviceTimeWeight) + static_cast<double>(serviceTime.count()) * serviceTimeWeight;
}

void ServicePlacement::learnCapacity(const Placement& placement, TimePoint::duration serviceTime, TimePoint now)
{
    if (placement.learnedLoad == 0)
        return;
    auto& runner = *placement.runner;
    const auto usualMs = toMilliseconds(serviceTime) / knownSlowdown(runner, now);
    runner.capacity().addOwnSample(placement.learnedLoad, static_cast<std::int32_t>(runner.record().slots), usualMs, now);
}

double ServicePlacement::referenceMs(const BackendDirectory::RunnerList& runners, double fallback)
{
    double sum = 0;
    int n = 0;
    for (const auto& runner : runners) {
        sum += runner->capacity().meanMs();
        n += runner->capacity().meanMs() > 0 ? 1 : 0;
    }
    return n == 0 ? fallback : sum / n;
}

}
