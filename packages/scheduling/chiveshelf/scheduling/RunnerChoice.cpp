#include "chiveshelf/scheduling/RunnerChoice.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    // A busy runner must be better than a free one by this factor and margin, so that estimation errors do not leave slots idle.
    constexpr double busyRunnerFactor = 1.25;
    constexpr EstimatedTime busyRunnerMargin { 20 };
    // Assumed speed of a link without a measurement, so that a first import is tried.
    constexpr double unmeasuredBlocksPerSecond = 20;
    // Each decoding request delays a prefill slightly. This also spreads requests over equally good runners.
    constexpr EstimatedTime delayPerRunningRequest { 0.5 };

    EstimatedTime prefillTime(const RunnerSnapshot& runner, double tokens)
    {
        return EstimatedTime(1'000.0 * std::max(tokens, 0.0) / std::max(runner.prefillTokensPerSecond, 1.0));
    }

    EstimatedTime firstTokenWithBusyPenalty(const RunnerEstimate& estimate)
    {
        return estimate.hasFreeSlot ? estimate.firstToken : estimate.firstToken * busyRunnerFactor + busyRunnerMargin;
    }

}

std::vector<ImportOption> importOptions(const QueuedRequest& request, std::size_t inFlight)
{
    const auto& stored = request.stored;
    if (stored.blocks <= 0)
        return {};
    const auto uncontendedSpeed = stored.bytesPerSecond > 0 && stored.bytes > 0
        ? stored.bytesPerSecond * static_cast<double>(stored.blocks) / static_cast<double>(stored.bytes)
        : unmeasuredBlocksPerSecond;
    return { { request.storeLink, static_cast<std::size_t>(stored.blocks), uncontendedSpeed / static_cast<double>(inFlight + 1), EstimatedTime(0) } };
}

RunnerEstimate estimateOn(const RunnerSnapshot& runner, const QueuedRequest& request, double cachedBlocks, const std::vector<ImportOption>& options)
{
    const auto promptTokens = static_cast<double>(request.promptTokens);
    RunnerEstimate out;
    out.hasFreeSlot = runner.hasFreeSlot();
    const auto blockTokens = static_cast<double>(request.blockTokens);
    out.cachedTokens = std::min(cachedBlocks * blockTokens, promptTokens);
    const auto fixedTime = runner.slotWait + runner.overhead + delayPerRunningRequest * runner.running;
    const auto prefillWait = runner.prefillWait[priorityIndex(request.priority)];
    auto bestTimeToPrefillEnd = prefillWait + prefillTime(runner, promptTokens - out.cachedTokens);
    const auto firstBlock = static_cast<std::size_t>(out.cachedTokens / blockTokens);
    out.import.firstBlock = firstBlock;
    double prefixTokens = out.cachedTokens;
    for (const auto& option : options) {
        if (option.leadingBlocks <= firstBlock || option.blocksPerSecond <= 0)
            continue;
        const EstimatedTime perBlock(1'000.0 / option.blocksPerSecond);
        const auto available = option.leadingBlocks - firstBlock;
        const auto timeToPrefillEnd = [&](std::size_t blocks) {
            const auto end = std::min(blockTokens * static_cast<double>(firstBlock + blocks), promptTokens);
            return std::max(prefillWait, option.linkWait + perBlock * static_cast<double>(blocks))
                + prefillTime(runner, promptTokens - std::max(end, out.cachedTokens));
        };
        // The time falls with each block until the import takes longer than the prefill wait, and is linear in the number of
        // blocks from there on. The minimum is therefore at one of the two numbers around that point or at all blocks.
        const auto blocksWithinWait = std::max(0.0, (prefillWait - option.linkWait) / perBlock);
        const auto wholeBlocksWithinWait = std::min(available, static_cast<std::size_t>(blocksWithinWait));
        for (const auto blocks : { wholeBlocksWithinWait, std::min(available, wholeBlocksWithinWait + 1), available }) {
            if (blocks == 0 || timeToPrefillEnd(blocks) >= bestTimeToPrefillEnd)
                continue;
            bestTimeToPrefillEnd = timeToPrefillEnd(blocks);
            out.import = { option.link, firstBlock, blocks, perBlock * static_cast<double>(blocks) };
            prefixTokens = std::max(out.cachedTokens,
                std::min(blockTokens * static_cast<double>(firstBlock + blocks), promptTokens));
        }
    }
    out.computedTokens = static_cast<std::int64_t>(promptTokens - prefixTokens);
    out.firstToken = fixedTime + bestTimeToPrefillEnd;
    return out;
}

std::optional<RunnerEstimate> chooseRunner(const std::vector<RunnerSnapshot>& runners, const QueuedRequest& request, const CachedBlocks& cached,
    const std::vector<ImportOption>& imports)
{
    std::optional<RunnerEstimate> best;
    const RunnerSnapshot* bestRunner = nullptr;
    for (const auto& runner : runners) {
        if (runner.slots <= 0 || request.excludes(runner.name))
            continue;
        const auto it = cached.empty() ? cached.end() : cached.find(runner.name);
        auto estimate = estimateOn(runner, request, it == cached.end() ? 0.0 : it->second, imports);
        if (best && firstTokenWithBusyPenalty(estimate) >= firstTokenWithBusyPenalty(*best))
            continue;
        best = std::move(estimate);
        bestRunner = &runner;
    }
    if (best)
        best->runner = bestRunner->name;
    return best;
}

}
