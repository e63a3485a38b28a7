#include "chiveshelf/placement/EnginePlacement.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/placement/ServicePlacement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace chiveshelf {

// A runner or store from which a part can be fetched.
struct EnginePlacement::Source {
    Address address;
    bool isSameDataCentre = false;
    bool isStore = false;
    // Factor by which its transfers take longer than their nominal time.
    double linkSlowdown = 1;
    // Nominal set-up time of a transfer, and nominal time per token within a data centre.
    double setUpMs = 0;
    double msPerToken = 0;
    // Time until the other transfers on its link are done.
    double queueMs = 0;

    double nominalMs(std::int64_t tokens) const { return setUpMs + static_cast<double>(tokens) * msPerToken * (isSameDataCentre ? 1 : crossDataCentreFactor); }

    // Returns the time in ms until a part of this size would be transferred.
    double transferEndMs(std::int64_t tokens) const { return queueMs + nominalMs(tokens) * linkSlowdown; }

    // Transfers between data centres take twice as long.
    static constexpr double crossDataCentreFactor = 2;
};

namespace {

    // Assumed prefill speed before the first sample, as of a large model on a current accelerator.
    constexpr double defaultTokensPerMs = 80;
    // Tokens that an engine prefills between two decode steps. An urgent prompt waits for half of such a chunk on average.
    constexpr double chunkTokens = 4'096;
    // Set-up of a request, network latency, and half of an engine step.
    constexpr double requestOverheadMs = 25;
    // Cost of a runner in another data centre, for latency and traffic.
    constexpr double otherDataCentrePenaltyMs = 12;
    // Weight of the prefill time in the cost, in addition to its share of the time to the first token, to save work for the pool.
    constexpr double prefillWeight = 1;
    // Longest wait of a prompt whose time to the first token is used as a sample of the prefill speed.
    constexpr double maxSampleWaitMs = 5;
    // The time of shorter prompts depends more on the request overhead than on the speed.
    constexpr std::int64_t minSampleTokens = 1'500;
    // Cost reduction of the preferred runner, as a share of the prefill time, and its upper bound.
    constexpr double preferredRunnerShare = 0.2;
    constexpr double maxPreferredRunnerMs = 10;
    // Weight of the fetch time in the cost. Lower than the weight of the prefill time, since fetching a part is far cheaper than
    // computing it again.
    constexpr double fetchWeight = 0.5;
    // Limits of the time to wait for a fetch: share of the goal for the predicted time to the first token, and multiples of the
    // predicted fetch time and of the saved prefill time. A part whose fetch is cancelled is computed by this engine, and again by
    // the next one that needs it.
    constexpr double fetchGoalShare = 0.8;
    constexpr double maxFetchFactor = 2;
    constexpr double maxFetchPrefillFactor = 5;
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMsAndMbps = 1'000;
    // With this time to transfer the cache of a token, a prompt of 12,000 tokens moves in 24 ms, about five decode steps.
    constexpr double cheapTransferMsPerToken = 0.002;
    // Share of the engine's memory that requests may fill before new ones wait. The rest is for tokens still to be generated.
    constexpr double usableMemoryShare = 0.95;
    // Expected growth of the memory use of more urgent requests, as a share of it. This memory is kept free, since otherwise they
    // preempt less urgent prompts, which then have to be prefilled again.
    constexpr double urgentMemoryGrowth = 0.5;
    // Assumed duration of a running request until it frees its slot and memory, for the prediction of waits.
    constexpr double requestDurationMs = 1'500;
    // Cost of failures, per unit of the failure share above the tolerated one.
    constexpr double failurePenaltyMs = 2'000;
    constexpr double toleratedFailureShare = 0.15;
    // Share of the longest pause for which an engine may prefill without a break. The rest is for the decode steps of an event's
    // tokens.
    constexpr double maxPrefillPauseShare = 0.85;
    // Cost of each stream that a prompt pauses for too long, and the maximum number of streams that are counted. A stream that pauses
    // too long loses most of its value, like a first token that is some 300 ms later than its goal; that cost is divided among the
    // streams.
    constexpr double pausedStreamPenaltyMs = 15;
    constexpr std::int32_t maxPausedStreams = 20;
    // Cost of a pause of the prompt's own stream.
    constexpr double ownPausePenaltyMs = 150;
    // Multiple of the predicted wait for which old weights must remain valid. In a full engine more urgent prompts that arrive later
    // are admitted first, which the prediction does not include.
    constexpr double weightsWaitFactor = 2.5;
    // Cost of a runner with old weights after a newer version was announced.
    constexpr double oldVersionPenaltyMs = 60;
    // With a wait up to this share of the goal, a prompt is admitted even if its prefill is too long for the goal.
    constexpr double shortWaitShare = 0.3;
    // The retry of a refused request is admitted with a wait up to this share of the goal.
    constexpr double retryWaitShare = 0.5;

    // Returns the id of the part that identifies the conversation: the last but one, or the only one.
    std::uint64_t sessionPart(const Prompt& prompt)
    {
        if (prompt.parts.empty())
            return 0;
        return prompt.parts[prompt.parts.size() > 1 ? prompt.parts.size() - 2 : 0].id;
    }

    std::uint64_t rendezvousScore(std::uint64_t part, const BackendState& runner)
    {
        return hash64(runner.record().id, part);
    }

    // Unit of the learned times of engines.
    constexpr double tokensPerSample = 1'000;

    // Returns the average of the speeds learned by load, from the samples of all hosts.
    double averageLearnedSpeed(const BackendDirectory::RunnerList& runners)
    {
        return tokensPerSample / ServicePlacement::referenceMs(runners, tokensPerSample / defaultTokensPerMs);
    }

    double averageSpeed(const BackendDirectory::RunnerList& runners)
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
        return n == 0 ? defaultTokensPerMs : sum / n;
    }

    double worstSlowdown(const BackendDirectory::RunnerList& runners, TimePoint now)
    {
        double out = 1;
        for (const auto& runner : runners)
            out = std::max(out, runner->worstSlowdown(now));
        return out;
    }

    double transferMsPerToken(const EngineLimits& limits, double linkMbps)
    {
        return linkMbps > 0 ? static_cast<double>(limits.bytesPerToken) * bitsPerByte / (linkMbps * bitsPerMsAndMbps) : 0;
    }

    std::chrono::milliseconds roundedMs(double ms)
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(std::lround(ms)));
    }

}

// Runners and stores that have the parts of one prompt. Does not include the last part, which no other request shares.
struct EnginePlacement::PartLocations {
    PartLocations(const EngineRequest& request, const PlacementContext& context, const BackendDirectory::RunnerList& runners, const CacheStores& stores,
        const EngineLimits& limits, Mechanisms mechanisms)
        : request(request)
        , context(context)
        , stores(stores)
        , limits(limits)
        , mechanisms(mechanisms)
        , scope(cacheScopeHash(request.dedicatedOrganisation))
    {
        const auto& parts = request.prompt->parts;
        runnersByPart.resize(parts.empty() ? 0 : parts.size() - 1);
        for (const auto& runner : runners) {
            if (!runner->isUsable(context.now) || runner->isLoading(context.now))
                continue;
            for (std::size_t i = 0; i < runnersByPart.size(); ++i) {
                if (runner->cachedParts().contains(parts[i], scope))
                    runnersByPart[i].push_back(runner.get());
            }
        }
    }

    // Returns the source with the earliest end of the transfer from which `target` can fetch part `i`: a store, or another runner with
    // the same weights if no store has it. Stores are preferred because their contents are known for certain.
    std::optional<Source> find(std::size_t i, const BackendState& target) const
    {
        const auto version = target.version(request.prompt->model);
        if (!version || i >= runnersByPart.size())
            return std::nullopt;
        std::optional<Source> best;
        if (mechanisms.has(Mechanism::StoreFetches)) {
            const auto& versionStores = storesOf(*version);
            for (const auto* store : versionStores.byPart[i]) {
                auto source = sourceOf(*store, target);
                if (source.transferEndMs(request.prompt->parts[i].tokens) <= versionStores.fetchTimeMs)
                    replaceIfEarlier(best, std::move(source), request.prompt->parts[i].tokens);
            }
        }
        if (best || !mechanisms.has(Mechanism::RunnerFetches))
            return best;
        for (const auto* holder : runnersByPart[i]) {
            if (holder != &target && holder->version(request.prompt->model) == version)
                replaceIfEarlier(best, Source { holder->record().address, holder->record().dataCentre == target.record().dataCentre, false, 1, 0, transferMsPerToken(limits, limits.linkMbps), 0 }, request.prompt->parts[i].tokens);
        }
        return best;
    }

    // The stores that have each part in the scope of one version, and the time in ms within which fetches from them must end.
    struct VersionStores {
        std::vector<std::vector<const CacheContents*>> byPart;
        double fetchTimeMs = std::numeric_limits<double>::infinity();
    };

    // Returns the stores of a version. Cached per version, since many runners have the same one.
    const VersionStores& storesOf(std::uint64_t version) const
    {
        const auto [it, isNew] = storesByVersion.try_emplace(version);
        auto& out = it->second;
        if (!isNew)
            return out;
        out.byPart.resize(runnersByPart.size());
        if (request.storeFetchTime)
            out.fetchTimeMs = toMilliseconds(request.storeFetchTime(version));
        const auto scopeOfVersion = cacheScope(request, version);
        for (const auto& store : stores) {
            if (!store->isConfirmed(context.bootNow))
                continue;
            for (std::size_t i = 0; i < runnersByPart.size(); ++i) {
                if (store->contains(scopeOfVersion, request.prompt->parts[i].id))
                    out.byPart[i].push_back(store.get());
            }
        }
        return out;
    }

    Source sourceOf(const CacheContents& contents, const BackendState& target) const
    {
        const auto& store = contents.store();
        // The slower of the two links limits a transfer.
        const auto linkMbps = store.linkMbps > 0 ? std::min(store.linkMbps, limits.linkMbps) : limits.linkMbps;
        return { store.address, store.dataCentre == target.record().dataCentre, true, contents.speed().linkSlowdown(context.now), store.setUpMs, transferMsPerToken(limits, linkMbps),
            contents.queueMs(context.now) };
    }

    // Replaces `best` by `source` if its transfer would end earlier.
    static void replaceIfEarlier(std::optional<Source>& best, Source source, std::int64_t tokens)
    {
        if (!best || source.transferEndMs(tokens) < best->transferEndMs(tokens))
            best = std::move(source);
    }

    const EngineRequest& request;
    const PlacementContext& context;
    const CacheStores& stores;
    const EngineLimits& limits;
    Mechanisms mechanisms;
    std::uint64_t scope;
    std::vector<std::vector<const BackendState*>> runnersByPart;
    mutable std::map<std::uint64_t, VersionStores> storesByVersion;
};

CacheScope cacheScope(const EngineRequest& request, std::uint64_t version)
{
    return { request.prompt->model, version, request.dedicatedOrganisation };
}

std::uint64_t cacheScopeHash(const std::string& dedicatedOrganisation)
{
    return dedicatedOrganisation.empty() ? 0 : hash64(dedicatedOrganisation);
}

EnginePlacement::EnginePlacement(const EngineLimits& limits, Mechanisms mechanisms, bool learnsCapacity)
    : m_limits(limits)
    , m_mechanisms(mechanisms)
    , m_learnsCapacity(learnsCapacity)
    , m_fetchMsPerToken(transferMsPerToken(limits, limits.linkMbps))
    , m_hasCheapTransfers(mechanisms.has(Mechanism::WideNotices) && m_fetchMsPerToken > 0 && m_fetchMsPerToken <= cheapTransferMsPerToken)
{
}

bool EnginePlacement::isCandidate(const EngineRequest& request, const PlacementContext& context, const BackendState& runner) const
{
    if (context.isExcluded(runner.record().id) || runner.isLoading(context.now) || !runner.mayReceive(context.now))
        return false;
    return request.requiredVersion == 0 || runner.version(request.prompt->model).value_or(0) >= request.requiredVersion;
}

double EnginePlacement::prefillSpeed(const BackendState& runner, std::int32_t requests, double fallbackSpeed, TimePoint now) const
{
    if (!m_learnsCapacity)
        return runner.tokensPerMs(fallbackSpeed);
    const auto slots = static_cast<std::int32_t>(runner.record().slots);
    return fallbackSpeed / runner.capacity().estimate(tokensPerSample / fallbackSpeed, slots, now).factor(requests + 1);
}

bool EnginePlacement::beginsInTime(const EngineRequest& request, const PlacementContext& context, const BackendState& runner, const Prediction& prediction)
{
    const auto version = runner.version(request.prompt->model);
    const auto end = version && request.weightsExpiry ? request.weightsExpiry(*version) : std::nullopt;
    return !end || toMilliseconds(*end - context.bootNow) > prediction.waitMs * weightsWaitFactor;
}

EnginePlacement::Prediction EnginePlacement::predict(const EngineRequest& request, const BackendState& runner, const PartLocations& locations,
    TimePoint now, std::chrono::milliseconds goal, double fallbackSpeed) const
{
    const auto& prompt = *request.prompt;
    const auto work = runner.totalWork(now);
    const auto slowdown = m_mechanisms.has(Mechanism::MachineSlowdowns) ? runner.slowdown(now) : 1;
    const auto requests = runner.requests(now);
    const auto speed = prefillSpeed(runner, requests, fallbackSpeed, now) / slowdown;
    Prediction out;
    const auto cached = runner.cachedParts().cachedTokens(prompt.parts, locations.scope);
    const auto ownLinkSlowdown = runner.transferSpeed().linkSlowdown(now);
    std::int64_t covered = 0;
    double queueMs = 0;
    for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
        const auto tokens = prompt.parts[i].tokens;
        if (covered + tokens > cached) {
            const auto source = locations.find(i, runner);
            if (!source)
                break;
            out.fetchTokens += tokens;
            const auto nominal = source->nominalMs(tokens);
            queueMs = std::max(queueMs, source->queueMs);
            out.nominalFetchMs += nominal;
            out.fetchMs += nominal * std::max(source->linkSlowdown, ownLinkSlowdown);
        }
        covered += tokens;
    }
    out.uncachedTokens = std::max<std::int64_t>(prompt.promptTokens - covered, 1);
    double aheadTokens = 0;
    double lessUrgentTokens = 0;
    for (std::size_t i = 0; i < priorityClassCount; ++i)
        (i <= priorityClass(request.priority) ? aheadTokens : lessUrgentTokens) += static_cast<double>(work.prefillTokens[i]);
    const auto peerPrefillMs = runner.peerQueue().prefillMs(request.priority, now);
    const auto totalPeerPrefillMs = runner.peerQueue().totalPrefillMs(now);
    const auto ownLessUrgentTokens = lessUrgentTokens;
    lessUrgentTokens += (totalPeerPrefillMs - peerPrefillMs) * speed;
    out.waitMs = peerPrefillMs + (aheadTokens + std::min(lessUrgentTokens, chunkTokens) / 2) / speed;
    out.busyMs = totalPeerPrefillMs + (aheadTokens + ownLessUrgentTokens) / speed;
    out.lessUrgentMs = lessUrgentTokens / speed;
    out.requests = requests;
    const auto slots = static_cast<std::int32_t>(std::max(m_limits.slots, 1U));
    // The engine admits more urgent prompts first, and preempts less urgent ones to free slots and memory for them.
    const auto requestsAhead = requests - work.lessUrgentPrompts(request.priority);
    if (requestsAhead >= slots)
        out.waitMs += requestDurationMs * (requestsAhead - slots + 1) / slots;
    const auto memory = static_cast<double>(runner.memoryTokens()) * usableMemoryShare;
    const auto usedMemory = static_cast<double>(work.memoryAtLeastAsUrgent(request.priority)) + urgentMemoryGrowth * static_cast<double>(work.memoryMoreUrgent(request.priority));
    const auto excess = usedMemory + static_cast<double>(prompt.promptTokens + prompt.outputTokens) - memory;
    if (memory > 0 && excess > 0 && request.priority > 0)
        out.waitMs += requestDurationMs * excess / memory;
    out.prefillMs = static_cast<double>(out.uncachedTokens) / speed;
    // Transfers run one after another, in parallel to the prefill of other prompts.
    const auto ownLinkMs = static_cast<double>(work.fetchTokens) * m_fetchMsPerToken * ownLinkSlowdown + runner.peerQueue().fetchMs(now);
    const auto linkMs = std::max(ownLinkMs, queueMs);
    const auto firstTokenWithFetchMs = requestOverheadMs + std::max(out.waitMs, linkMs + out.fetchMs) + out.prefillMs;
    const auto fullPrefillMs = static_cast<double>(prompt.promptTokens - std::min(cached, prompt.promptTokens)) / speed;
    const auto firstTokenWithoutFetchMs = requestOverheadMs + out.waitMs + fullPrefillMs;
    // Computing parts again costs more than fetching them, so a fetch is skipped only if it would be late and skipping it is faster.
    const auto goalMs = toMilliseconds(goal);
    const bool maySkipFetch = m_mechanisms.has(Mechanism::SkippedFetches);
    if (maySkipFetch && out.fetchTokens > 0 && firstTokenWithFetchMs > goalMs * fetchGoalShare && firstTokenWithoutFetchMs < firstTokenWithFetchMs) {
        out.isFetchSkipped = true;
        out.fetchTokens = 0;
        out.fetchMs = 0;
        out.nominalFetchMs = 0;
        out.uncachedTokens = std::max<std::int64_t>(prompt.promptTokens - cached, 1);
        out.prefillMs = fullPrefillMs;
    }
    out.firstTokenMs = out.fetchTokens > 0 ? firstTokenWithFetchMs : firstTokenWithoutFetchMs;
    // The time limit of the fetch is the largest of three: the time that the goal leaves beside a full prefill, a multiple of the
    // predicted fetch time, and a multiple of the prefill time that the fetch saves.
    out.maxFetchMs = std::max({ goalMs * fetchGoalShare - fullPrefillMs, out.fetchMs * maxFetchFactor, (fullPrefillMs - out.prefillMs) * maxFetchPrefillFactor });
    out.isPrefillOnly = out.waitMs <= maxSampleWaitMs && out.fetchTokens == 0;
    return out;
}

double EnginePlacement::pauseCost(const Prediction& prediction, std::chrono::milliseconds longestPause)
{
    if (longestPause.count() == 0)
        return 0;
    const auto limitMs = toMilliseconds(longestPause) * maxPrefillPauseShare;
    double cost = 0;
    // Another prompt does not harm streams that pause for too long already.
    if (prediction.busyMs <= limitMs && prediction.busyMs + prediction.prefillMs > limitMs)
        cost += pausedStreamPenaltyMs * std::min(prediction.requests, maxPausedStreams);
    if (prediction.lessUrgentMs > limitMs)
        cost += ownPausePenaltyMs;
    return cost;
}

std::shared_ptr<BackendState> EnginePlacement::preferredRunner(const Choice& choice) const
{
    const auto& prompt = *choice.request.prompt;
    const auto part = sessionPart(prompt);
    const auto prefillMs = static_cast<double>(prompt.promptTokens) / choice.fallbackSpeed;
    const auto effect = m_separation.effect(prefillMs, prompt.outputTokens, choice.worstSlowdown, choice.context.longestPause);
    std::shared_ptr<BackendState> preferred;
    double leastCost = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < choice.candidates.size(); ++i) {
        const auto score = rendezvousScore(part, *choice.candidates[i]);
        const auto cost = m_mechanisms.has(Mechanism::StreamSeparation) ? StreamSeparation::cost(effect, choice.streamShares[i]) : 0;
        if (!preferred || cost < leastCost || (cost == leastCost && score > bestScore)) {
            preferred = choice.candidates[i];
            leastCost = cost;
            bestScore = score;
        }
    }
    return preferred;
}

double EnginePlacement::costOf(const Choice& choice, const BackendState& runner, const Prediction& prediction) const
{
    const auto& context = choice.context;
    double cost = prediction.firstTokenMs + prefillWeight * prediction.prefillMs + fetchWeight * prediction.fetchMs;
    if (runner.record().dataCentre != context.dataCentre)
        cost += otherDataCentrePenaltyMs;
    if (m_mechanisms.has(Mechanism::FailureShares))
        cost += failurePenaltyMs * std::max(runner.health().failureShare(context.now) - toleratedFailureShare, 0.0);
    if (runner.version(choice.request.prompt->model).value_or(0) < choice.request.newestVersion)
        cost += oldVersionPenaltyMs;
    if (m_mechanisms.has(Mechanism::PauseCosts))
        cost += pauseCost(prediction, context.longestPause);
    return cost;
}

std::optional<EnginePlacement::Candidate> EnginePlacement::best(const Choice& choice, const PartLocations& locations, double random) const
{
    const auto& context = choice.context;
    const auto preferred = m_mechanisms.has(Mechanism::PreferredRunners) ? preferredRunner(choice) : nullptr;
    std::optional<Candidate> best;
    double jitter = random;
    for (std::size_t i = 0; i < choice.candidates.size(); ++i) {
        const auto& runner = choice.candidates[i];
        Candidate candidate { runner, predict(choice.request, *runner, locations, context.now, context.goal, choice.fallbackSpeed), {}, 0 };
        const auto& prediction = candidate.prediction;
        if (!beginsInTime(choice.request, context, *runner, prediction))
            continue;
        candidate.cost = costOf(choice, *runner, prediction);
        if (runner == preferred)
            candidate.cost -= std::min(prediction.prefillMs * preferredRunnerShare, maxPreferredRunnerMs);
        candidate.effect = m_separation.effect(
            prediction.prefillMs / runner->slowdown(context.now), choice.request.prompt->outputTokens, choice.worstSlowdown, context.longestPause);
        if (m_mechanisms.has(Mechanism::StreamSeparation))
            candidate.cost += StreamSeparation::cost(candidate.effect, choice.streamShares[i]);
        jitter = nextRandom(jitter);
        if (m_mechanisms.has(Mechanism::CostJitter))
            candidate.cost += (runner->record().dataCentre == context.dataCentre ? context.nearJitterMs : context.jitterMs) * jitter;
        if (!best || candidate.cost < best->cost)
            best = std::move(candidate);
    }
    return best;
}

std::optional<PlacementRefusal> EnginePlacement::refusalFor(const PlacementContext& context, const Prediction& prediction, double random)
{
    const auto goalMs = toMilliseconds(context.goal);
    const bool isInTime = !context.isRetry && prediction.firstTokenMs <= goalMs;
    const bool isShortWait = prediction.waitMs <= goalMs * (context.isRetry ? retryWaitShare : shortWaitShare);
    const bool isPossible = prediction.firstTokenMs < toMilliseconds(context.timeLeft);
    if ((isInTime || isShortWait) && isPossible)
        return std::nullopt;
    const auto pause = roundedMs(std::max(prediction.waitMs - goalMs * retryWaitShare, 0.0));
    return PlacementRefusal { RefusalReason::Overloaded, jitteredRetryAfter(pause, context.timeLeft, random), roundedMs(prediction.firstTokenMs) };
}

PlacementResult EnginePlacement::choose(const EngineRequest& request, const PlacementContext& context, const BackendDirectory::RunnerList& runners, const CacheStores& stores,
    double random) const
{
    const auto& prompt = *request.prompt;
    const PartLocations locations(request, context, runners, stores, m_limits, m_mechanisms);
    Choice choice { request, context, {}, {}, m_learnsCapacity ? averageLearnedSpeed(runners) : averageSpeed(runners), 1 };
    std::copy_if(runners.begin(), runners.end(), std::back_inserter(choice.candidates), [&](const auto& runner) { return isCandidate(request, context, *runner); });
    choice.streamShares = m_separation.shares(choice.candidates);
    choice.worstSlowdown = worstSlowdown(choice.candidates, context.now);
    const auto chosen = best(choice, locations, random);
    if (!chosen)
        return tl::unexpected(refuseWithoutRunner(context, runners, random));
    const auto& prediction = chosen->prediction;
    if (const auto refusal = refusalFor(context, prediction, random))
        return tl::unexpected(*refusal);
    Placement out;
    out.runner = chosen->runner;
    out.predicted = roundedMs(prediction.firstTokenMs);
    out.wait = roundedMs(prediction.waitMs);
    out.prefill = roundedMs(prediction.prefillMs);
    out.streamEffect = chosen->effect;
    out.isSpeedSample = prediction.isPrefillOnly;
    out.isAnnouncedWidely = m_hasCheapTransfers;
    out.learnedLoad = m_learnsCapacity ? prediction.requests + 1 : 0;
    out.work.requests = 1;
    out.work.prefillTokens[priorityClass(request.priority)] = prediction.uncachedTokens;
    out.work.fetchTokens = prediction.fetchTokens;
    out.work.prompts[priorityClass(request.priority)] = 1;
    out.work.memoryTokens[priorityClass(request.priority)] = prompt.promptTokens + prompt.outputTokens;
    out.predictedFetch = roundedMs(prediction.fetchMs);
    out.nominalFetchMs = prediction.nominalFetchMs;
    planTransfers(request, context, locations, stores, out);
    if (prediction.isFetchSkipped) {
        out.fetchFrom.clear();
        out.fetchesFromStore = false;
        out.storeFetches.clear();
    } else {
        out.maxFetchTime = roundedMs(prediction.maxFetchMs);
    }
    return out;
}

void EnginePlacement::planTransfers(const EngineRequest& request, const PlacementContext& context, const PartLocations& locations, const CacheStores& stores,
    Placement& placement) const
{
    const auto& parts = request.prompt->parts;
    const auto& runner = *placement.runner;
    const auto version = runner.version(request.prompt->model);
    if (!version || parts.size() < 2)
        return;
    placement.transferVersion = version;
    placement.fetchFrom.resize(parts.size());
    placement.saveTo.resize(parts.size());
    const auto scope = cacheScope(request, *version);
    const auto cached = runner.cachedParts().cachedTokens(parts, locations.scope);
    std::int64_t covered = 0;
    bool isContinuous = true;
    // The last part is not shared with other requests, so it is neither fetched nor saved.
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        covered += parts[i].tokens;
        const auto source = isContinuous ? locations.find(i, runner) : std::nullopt;
        // The address of a store is included even if the runner probably has the part. The runner then uses its own copy.
        if (source && (source->isStore || covered > cached)) {
            placement.fetchFrom[i] = source->address;
            placement.fetchesFromStore = placement.fetchesFromStore || source->isStore;
        }
        if (source && source->isStore && covered > cached)
            placement.storeFetches.push_back({ source->address, source->nominalMs(parts[i].tokens) });
        isContinuous = isContinuous && (source || covered <= cached);
        const auto* store = !m_mechanisms.has(Mechanism::StoreSaves) ? nullptr : chooseStore(stores, scope, parts[i], runner.record().dataCentre, context);
        if (store)
            placement.saveTo[i] = store->store().address;
    }
}

const CacheContents* EnginePlacement::chooseStore(const CacheStores& stores, const CacheScope& scope, const PromptPart& part, const std::string& dataCentre,
    const PlacementContext& context)
{
    const CacheContents* best = nullptr;
    bool isBestSameDataCentre = false;
    std::uint64_t bestScore = 0;
    for (const auto& store : stores) {
        if (store->contains(scope, part.id) || store->isSaving(scope, part.id, context.now))
            return nullptr;
        if (!store->isConfirmed(context.bootNow) || !store->maySave(scope, part.id, part.tokens, context.now))
            continue;
        const bool isSameDataCentre = store->store().dataCentre == dataCentre;
        const auto score = hash64(store->store().address.ip, part.id + store->store().address.port);
        if (!best || (isSameDataCentre && !isBestSameDataCentre) || (isSameDataCentre == isBestSameDataCentre && score > bestScore)) {
            best = store.get();
            isBestSameDataCentre = isSameDataCentre;
            bestScore = score;
        }
    }
    return best;
}

void EnginePlacement::learn(const Placement& placement, const CacheStores& stores, std::chrono::milliseconds firstToken, TimePoint now)
{
    auto& runner = *placement.runner;
    const auto measuredMs = toMilliseconds(firstToken);
    if (placement.isSpeedSample) {
        std::int64_t tokens = 0;
        for (const auto n : placement.work.prefillTokens)
            tokens += n;
        if (tokens < minSampleTokens || measuredMs <= requestOverheadMs)
            return;
        const auto tokensPerMs = static_cast<double>(tokens) / (measuredMs - requestOverheadMs) * runner.slowdown(now);
        const bool isPlausible = runner.learnSpeed(tokensPerMs);
        if (isPlausible && placement.learnedLoad > 0)
            runner.capacity().addOwnSample(placement.learnedLoad, static_cast<std::int32_t>(runner.record().slots), tokensPerSample / tokensPerMs, now);
        return;
    }
    const auto fetchMs = toMilliseconds(placement.predictedFetch);
    if (placement.work.fetchTokens < minSampleTokens || fetchMs <= 0)
        return;
    const auto otherMs = toMilliseconds(placement.predicted) - fetchMs;
    const auto ratio = std::max(measuredMs - otherMs, 0.0) / placement.nominalFetchMs;
    const CacheContents* source = nullptr;
    for (const auto& store : stores) {
        const bool isSource = std::find(placement.fetchFrom.begin(), placement.fetchFrom.end(), std::optional(store->store().address)) != placement.fetchFrom.end();
        if (!isSource)
            continue;
        source = store.get();
        // Divide by the slowdown of the runner's own link, so that it is not attributed to the store.
        store->speed().addMeasurement(ratio / runner.transferSpeed().linkSlowdown(now), now);
    }
    runner.transferSpeed().learn(source ? ratio / source->speed().linkSlowdown(now) : ratio, now);
}

void EnginePlacement::recordSend(const EngineRequest& request, const Placement& placement, const CacheStores& stores, TimePoint now)
{
    const auto& parts = request.prompt->parts;
    m_separation.learn(placement.streamEffect, toMilliseconds(placement.prefill), request.prompt->outputTokens, now);
    for (const auto& part : parts)
        placement.runner->cachedParts().touch(part, cacheScopeHash(request.dedicatedOrganisation));
    for (const auto& fetch : placement.storeFetches) {
        for (const auto& store : stores) {
            if (store->store().address == fetch.store)
                store->recordFetch(fetch.ms, now);
        }
    }
    const auto version = placement.runner->version(request.prompt->model);
    // Nothing is saved for a runner that has changed its weights since it was chosen.
    for (std::size_t i = 0; version && version == placement.transferVersion && i < placement.saveTo.size(); ++i) {
        for (const auto& store : stores) {
            if (placement.saveTo[i] == store->store().address)
                store->recordSave(cacheScope(request, *version), parts[i].id, parts[i].tokens, now);
        }
    }
}

}
