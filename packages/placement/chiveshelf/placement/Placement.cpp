#include "chiveshelf/placement/Placement.h"

#include <cmath>

namespace chiveshelf {

namespace {

    // Shortest pause: a round trip of the load figures between hosts.
    constexpr std::chrono::milliseconds shortestRetryAfter { 100 };
    // Callers wait for at most this share of the time that they have left.
    constexpr double longestShare = 0.32;
    // The spread, as a share of the pause.
    constexpr double spread = 0.5;

}

PlacementRefusal refuseWithoutRunner(const PlacementContext& context, const std::vector<std::shared_ptr<BackendState>>& runners, double random)
{
    std::optional<TimePoint> end;
    for (const auto& runner : runners) {
        if (!runner->isLeaving() && runner->isPaused(context.now))
            end = std::min(end.value_or(TimePoint::max()), runner->pauseEnd());
    }
    if (!end)
        return { RefusalReason::NoRunner, jitteredRetryAfter(context.goal, context.timeLeft, random), {} };
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*end - context.now);
    return { RefusalReason::Paused, jitteredRetryAfter(wait, context.timeLeft, random), wait };
}

double nextDraw(double draw)
{
    // Any irrational-looking factor spreads well enough over a few hundred runners.
    return std::fmod(draw * 7.31 + 0.137, 1.0);
}

std::chrono::milliseconds jitteredRetryAfter(std::chrono::milliseconds wait, std::chrono::milliseconds timeLeft, double random)
{
    const auto base = static_cast<double>(std::max(wait, shortestRetryAfter).count());
    const auto longest = static_cast<double>(timeLeft.count()) * longestShare;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(base * (1 + spread * random), std::max(longest, 0.0))));
}

}
