#include "chiveshelf/placement/EnginePlacement.h"

#include "chiveshelf/core/Hash.h"

#include <cmath>

namespace chiveshelf {

namespace {

    // Prompt tokens per ms that an engine is taken to read before any was measured: a large model on a current accelerator.
    constexpr double initialTokensPerMs = 80;
    // Tokens that an engine reads between two decode steps; an urgent prompt waits for half of such a chunk on average.
    constexpr double chunkTokens = 4'096;
    // Set-up of a request and the network, in ms.
    constexpr double fixedMs = 8;
    // Extra ms of a runner in another data centre: the way, and the price of the bytes.
    constexpr double otherDataCentreMs = 12;
    // How much a token to be read counts against the first token's time, so that work for the whole pool is saved.
    constexpr double readWeight = 1;
    // Shorter prompts tell more of the fixed time than of the speed.
    constexpr std::int64_t fewestSampleTokens = 1'500;
    // Preference of one runner for parts that no host remembers, as a share of the time to read them, and its bound in ms.
    constexpr double homeShare = 0.2;
    constexpr double homeMostMs = 10;
    // Share of the engine's memory that requests may fill before new ones wait; the rest is for tokens still to come.
    constexpr double memoryShare = 0.95;
    // Time in which a request frees its memory, in ms, for the prediction of waits.
    constexpr double residenceMs = 1'500;
    // ms that a runner with failures counts as slower, per unit of its failure share above the tolerated one.
    constexpr double failureMs = 2'000;
    constexpr double toleratedFailureShare = 0.15;
    // ms that older weights count as slower once newer ones were named.
    constexpr double oldVersionMs = 60;
    // Waits up to this share of the goal are no queue: prompts too long for the goal are admitted then.
    constexpr double shortWaitShare = 0.3;
    // A caller that is late already is admitted while the wait is below this share of the goal.
    constexpr double lateWaitShare = 0.5;

    // The part that returns with its conversation: the last but one, or the only one.
    std::uint64_t sessionPart(const Prompt& prompt)
    {
        if (prompt.parts.empty())
            return 0;
        return prompt.parts[prompt.parts.size() > 1 ? prompt.parts.size() - 2 : 0].id;
    }

    std::uint64_t homeScore(std::uint64_t part, const BackendState& runner)
    {
        return hash64(runner.record().id, part);
    }

    double averageSpeed(const BackendBoard::RunnerList& runners)
    {
        double sum = 0;
        int n = 0;
        for (const auto& runner : runners) {
            const auto speed = runner->tokensPerMs(0);
            if (speed > 0) {
                sum += speed;
                ++n;
            }
        }
        return n == 0 ? initialTokensPerMs : sum / n;
    }

    std::chrono::milliseconds roundedMs(double ms)
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(std::lround(ms)));
    }

}

EnginePlacement::EnginePlacement(std::chrono::milliseconds versionGrace, unsigned slots)
    : m_versionGrace(versionGrace)
    , m_slots(std::max(slots, 1U))
{
}

bool EnginePlacement::isCandidate(const EngineRequest& request, const PlacementContext& context, const BackendState& runner) const
{
    if (context.isExcluded(runner.record().id) || runner.isLoading(context.now) || !runner.health().isUsable(context.now))
        return false;
    if (request.targetVersion == 0 || context.now - request.targetSince < m_versionGrace)
        return true;
    const auto version = runner.version(request.prompt->model);
    return version && *version >= request.targetVersion;
}

EnginePlacement::Prediction EnginePlacement::predict(const EngineRequest& request, const BackendState& runner, TimePoint now, double fallbackSpeed) const
{
    const auto& prompt = *request.prompt;
    const auto work = runner.total(now);
    const auto speed = runner.tokensPerMs(fallbackSpeed);
    Prediction out;
    out.uncachedTokens = std::max<std::int64_t>(prompt.promptTokens - runner.parts().cachedTokens(prompt.parts, request.scope), 1);
    double aheadTokens = 0;
    double lessUrgentTokens = 0;
    for (std::size_t i = 0; i < rankClassCount; ++i)
        (i <= rankClass(request.rank) ? aheadTokens : lessUrgentTokens) += static_cast<double>(work.prefillTokens[i]);
    out.waitMs = (aheadTokens + std::min(lessUrgentTokens, chunkTokens) / 2) / speed;
    const auto requests = runner.requests(now);
    const auto slots = static_cast<std::int32_t>(m_slots);
    if (requests >= slots)
        out.waitMs += residenceMs * (requests - slots + 1) / slots;
    const auto memory = static_cast<double>(runner.memoryTokens()) * memoryShare;
    const auto excess = static_cast<double>(work.memoryTokens + prompt.promptTokens + prompt.outputTokens) - memory;
    // The most urgent requests take the memory of others.
    if (memory > 0 && excess > 0 && request.rank > 0)
        out.waitMs += residenceMs * excess / memory;
    out.readMs = static_cast<double>(out.uncachedTokens) / speed;
    out.firstMs = fixedMs + out.waitMs + out.readMs;
    out.isIdle = aheadTokens + lessUrgentTokens == 0 && requests < slots / 4 && out.uncachedTokens >= prompt.promptTokens;
    return out;
}

PlacementResult EnginePlacement::choose(const EngineRequest& request, const PlacementContext& context, const BackendBoard::RunnerList& runners, double random) const
{
    const auto& prompt = *request.prompt;
    const auto fallbackSpeed = averageSpeed(runners);
    const auto part = sessionPart(prompt);
    std::shared_ptr<BackendState> best;
    std::shared_ptr<BackendState> home;
    std::uint64_t homeBest = 0;
    for (const auto& runner : runners) {
        if (!isCandidate(request, context, *runner))
            continue;
        const auto score = homeScore(part, *runner);
        if (!home || score > homeBest) {
            home = runner;
            homeBest = score;
        }
    }
    Prediction bestPrediction;
    double bestCost = 0;
    for (const auto& runner : runners) {
        if (!isCandidate(request, context, *runner))
            continue;
        const auto prediction = predict(request, *runner, context.now, fallbackSpeed);
        double cost = prediction.firstMs + readWeight * prediction.readMs;
        if (runner == home)
            cost -= std::min(prediction.readMs * homeShare, homeMostMs);
        if (runner->record().dataCentre != context.dataCentre)
            cost += otherDataCentreMs;
        cost += failureMs * std::max(runner->health().failureShare(context.now) - toleratedFailureShare, 0.0);
        if (request.targetVersion > 0 && runner->version(prompt.model).value_or(0) < request.targetVersion)
            cost += oldVersionMs;
        if (!best || cost < bestCost) {
            best = runner;
            bestCost = cost;
            bestPrediction = prediction;
        }
    }
    if (!best)
        return tl::unexpected(PlacementRefusal { RefusalReason::NoRunner, spreadRetryAfter(context.goal, context.timeLeft, random), {} });
    const auto goalMs = toMilliseconds(context.goal);
    const auto firstMs = bestPrediction.firstMs;
    const bool isInTime = !context.isLate && firstMs <= goalMs;
    const bool isShortWait = bestPrediction.waitMs <= goalMs * (context.isLate ? lateWaitShare : shortWaitShare);
    const bool isPossible = firstMs < toMilliseconds(context.timeLeft);
    if (!(isInTime || isShortWait) || !isPossible) {
        const auto pause = roundedMs(std::max(bestPrediction.waitMs - goalMs * lateWaitShare, 0.0));
        return tl::unexpected(PlacementRefusal { RefusalReason::Overloaded, spreadRetryAfter(pause, context.timeLeft, random), roundedMs(firstMs) });
    }
    Placement out { best, roundedMs(firstMs), roundedMs(bestPrediction.waitMs), {}, bestPrediction.isIdle };
    out.work.requests = 1;
    out.work.prefillTokens[rankClass(request.rank)] = bestPrediction.uncachedTokens;
    out.work.memoryTokens = prompt.promptTokens + prompt.outputTokens;
    return out;
}

void EnginePlacement::learnSpeed(BackendState& runner, const Placement& placement, std::chrono::milliseconds firstToken)
{
    std::int64_t tokens = 0;
    for (const auto n : placement.work.prefillTokens)
        tokens += n;
    const auto readMs = static_cast<double>(firstToken.count()) - fixedMs;
    if (tokens >= fewestSampleTokens && readMs > 0)
        runner.learnSpeed(static_cast<double>(tokens) / readMs);
}

void EnginePlacement::recordParts(BackendState& runner, const std::vector<PromptPart>& parts, std::uint64_t scope)
{
    for (const auto& part : parts)
        runner.parts().touch(part, scope);
}

}
