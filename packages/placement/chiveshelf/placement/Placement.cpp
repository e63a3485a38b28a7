#include "chiveshelf/placement/Placement.h"

#include <cmath>

namespace chiveshelf {

namespace {

    // Shortest retry delay: the time in which hosts exchange their load figures.
    constexpr std::chrono::milliseconds minRetryAfter { 100 };
    // Upper bound of the retry delay, as a share of the caller's remaining time.
    constexpr double maxWaitShare = 0.32;
    // Maximum jitter, as a share of the retry delay.
    constexpr double jitterShare = 0.5;

    double permitsPerSecondOf(const BackendState& runner, TimePoint now)
    {
        const auto& limit = runner.requestLimit();
        return runner.isWarmingUp(now) && !limit.perSecond() ? WarmUpQuota::usedRate(runner.warmUpBound()->perSecond) : limit.permitsPerSecond();
    }

    // Returns when this host, or another one that the caller may reach, may send a limited runner the next request.
    TimePoint permitAt(const BackendState& runner, const PlacementContext& context)
    {
        const auto limitAt = runner.requestLimit().awaitedPermitAt(context.now);
        if (!runner.isWarmingUp(context.now))
            return limitAt;
        return std::max(limitAt, runner.warmUpQuota().nextRoomAt(context.now).value_or(context.now + minRetryAfter));
    }

}

PlacementRefusal refuseWithoutRunner(const PlacementContext& context, const std::vector<std::shared_ptr<BackendState>>& runners, double random)
{
    std::optional<TimePoint> end;
    bool isFirstLimited = false;
    double permitsPerSecond = 0;
    for (const auto& runner : runners) {
        const bool isLimited = !runner->isEvacuated() && runner->health().isUsable(context.now) && !runner->hasPermit(context.now);
        if (runner->isLeaving() || (!runner->isPaused(context.now) && !isLimited))
            continue;
        permitsPerSecond += isLimited ? permitsPerSecondOf(*runner, context.now) : 0;
        const auto runnerEnd = isLimited ? std::max(runner->pauseEnd(), permitAt(*runner, context)) : runner->pauseEnd();
        if (end && runnerEnd >= *end)
            continue;
        end = runnerEnd;
        isFirstLimited = isLimited;
    }
    if (!end)
        return { RefusalReason::NoRunner, jitteredRetryAfter(context.goal, context.timeLeft, random), {} };
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*end - context.now);
    if (isFirstLimited)
        return { RefusalReason::Limited, wait, wait, permitsPerSecond };
    return { RefusalReason::Paused, jitteredRetryAfter(wait, context.timeLeft, random), wait };
}

double nextRandom(double previous)
{
    // A simple generator is sufficient: any factor without a short period spreads the requests well enough over a few hundred runners.
    return std::fmod(previous * 7.31 + 0.137, 1.0);
}

std::chrono::milliseconds longestRetryWait(std::chrono::milliseconds timeLeft)
{
    return std::chrono::milliseconds(std::max<std::int64_t>(static_cast<std::int64_t>(static_cast<double>(timeLeft.count()) * maxWaitShare), 0));
}

std::chrono::milliseconds jitteredRetryAfter(std::chrono::milliseconds wait, std::chrono::milliseconds timeLeft, double random)
{
    const auto base = static_cast<double>(std::max(wait, minRetryAfter).count());
    return std::min(std::chrono::milliseconds(static_cast<std::int64_t>(base * (1 + jitterShare * random))), longestRetryWait(timeLeft));
}

}
