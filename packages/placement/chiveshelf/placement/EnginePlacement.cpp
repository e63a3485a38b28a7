#include "chiveshelf/placement/EnginePlacement.h"

#include "chiveshelf/core/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace chiveshelf {

// Where a part can be fetched from.
struct EnginePlacement::Source {
    Address address;
    bool isNear = false;
    bool isStore = false;
    // Factor on the nominal time of transfers from there.
    double slowness = 1;
    // The nominal time: before a transfer, and per token within a data centre.
    double setUpMs = 0;
    double msPerToken = 0;
    // How long its link is busy with other transfers.
    double queueMs = 0;

    double nominalMs(std::int64_t tokens) const { return setUpMs + static_cast<double>(tokens) * msPerToken * (isNear ? 1 : farFactor); }

    // When the part would have been sent.
    double sentMs(std::int64_t tokens) const { return queueMs + nominalMs(tokens) * slowness; }

    // Transfers between data centres take twice as long.
    static constexpr double farFactor = 2;
};

namespace {

    // Prompt tokens per ms that an engine is taken to read before any was measured: a large model on a current accelerator.
    constexpr double initialTokensPerMs = 80;
    // Tokens that an engine reads between two decode steps; an urgent prompt waits for half of such a chunk on average.
    constexpr double chunkTokens = 4'096;
    // Set-up of a request, the network, and half of a step of the engine, in ms.
    constexpr double fixedMs = 25;
    // Extra ms of a runner in another data centre: the way, and the price of the bytes.
    constexpr double otherDataCentreMs = 12;
    // How much a token to be read counts against the first token's time, so that work for the whole pool is saved.
    constexpr double readWeight = 1;
    // Wait in ms up to which the time to the first token is taken as the time to read.
    constexpr double mostSampleWaitMs = 5;
    // Shorter prompts tell more of the fixed time than of the speed.
    constexpr std::int64_t fewestSampleTokens = 1'500;
    // Preference of one runner for parts that no host remembers, as a share of the time to read them, and its bound in ms.
    constexpr double homeShare = 0.2;
    constexpr double homeMostMs = 10;
    // How much the time to fetch counts beside the first token's time: moving memory has a price, but reading it again a far
    // higher one.
    constexpr double fetchWeight = 0.5;
    // Share of the goal up to which fetching may take the first token, and the multiples of its predicted time and of the time to
    // read the parts for which a fetch is waited for: what is given up is read by the engine, and again by the next one.
    constexpr double fetchGoalShare = 0.8;
    constexpr double fetchPatience = 2;
    constexpr double readPatience = 5;
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMsAndMbps = 1'000;
    // Share of the engine's memory that requests may fill before new ones wait; the rest is for tokens still to come.
    constexpr double memoryShare = 0.95;
    // Growth of the memory of more urgent requests for which room is left: what they take from a running prompt is read again.
    constexpr double urgentGrowth = 0.5;
    // Time in which a request frees its memory, in ms, for the prediction of waits.
    constexpr double residenceMs = 1'500;
    // ms that a runner with failures counts as slower, per unit of its failure share above the tolerated one.
    constexpr double failureMs = 2'000;
    constexpr double toleratedFailureShare = 0.15;
    // Share of the longest pause for which an engine may read prompts without a break: the tokens of an event take time beside it.
    constexpr double pauseShare = 0.85;
    // ms that a prompt counts as slower for each stream that it makes pause too long, and the most streams that count. A late
    // stream loses most of its worth, as a first token does that comes some 300 ms after its goal; the streams here share it.
    constexpr double pausedStreamMs = 15;
    constexpr std::int32_t mostPausedStreams = 20;
    // The same for the prompt's own stream.
    constexpr double ownPauseMs = 150;
    // Multiple of the predicted wait for which older weights must still be in time: in a full engine more urgent prompts overtake,
    // which a prediction does not know of.
    constexpr double queuePatience = 2.5;
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
        return n == 0 ? initialTokensPerMs : sum / n;
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

// The runners and stores that hold the parts of one prompt, shared parts only: the last one is the request's own.
struct EnginePlacement::PartHolders {
    PartHolders(const EngineRequest& request, const PlacementContext& context, const BackendDirectory::RunnerList& runners, const CacheStores& stores,
        const EngineLimits& limits, Mechanisms mechanisms)
        : request(request)
        , context(context)
        , stores(stores)
        , limits(limits)
        , mechanisms(mechanisms)
        , scope(cacheScopeHash(request.dedicatedOrganisation))
    {
        const auto& parts = request.prompt->parts;
        byPart.resize(parts.empty() ? 0 : parts.size() - 1);
        for (const auto& runner : runners) {
            if (!runner->isUsable(context.now) || runner->isLoading(context.now))
                continue;
            for (std::size_t i = 0; i < byPart.size(); ++i) {
                if (runner->parts().contains(parts[i], scope))
                    byPart[i].push_back(runner.get());
            }
        }
    }

    // Returns where `reader` can fetch the part from: a store, since its contents are certain, or another runner with the same
    // weights; the one that would have sent it first.
    std::optional<Source> find(std::size_t i, const BackendState& reader) const
    {
        const auto version = reader.version(request.prompt->model);
        if (!version || i >= byPart.size())
            return std::nullopt;
        std::optional<Source> best;
        if (mechanisms.has(Mechanism::StoreFetches)) {
            for (const auto* store : storesOf(*version)[i])
                consider(best, sourceOf(*store, reader), request.prompt->parts[i].tokens);
        }
        if (best || !mechanisms.has(Mechanism::RunnerFetches))
            return best;
        for (const auto* holder : byPart[i]) {
            if (holder != &reader && holder->version(request.prompt->model) == version)
                consider(best, Source { holder->record().address, holder->record().dataCentre == reader.record().dataCentre, false, 1, 0, transferMsPerToken(limits, limits.linkMbps), 0 }, request.prompt->parts[i].tokens);
        }
        return best;
    }

    // Returns the stores that hold each part as made under this version, looked up once for all runners that have it.
    const std::vector<std::vector<const CacheContents*>>& storesOf(std::uint64_t version) const
    {
        const auto [it, isNew] = storesByVersion.try_emplace(version, byPart.size());
        if (!isNew)
            return it->second;
        const auto scopeOfVersion = cacheScope(request, version);
        for (const auto& store : stores) {
            if (!store->isConfirmed(context.bootNow))
                continue;
            for (std::size_t i = 0; i < byPart.size(); ++i) {
                if (store->contains(scopeOfVersion, request.prompt->parts[i].id))
                    it->second[i].push_back(store.get());
            }
        }
        return it->second;
    }

    Source sourceOf(const CacheContents& contents, const BackendState& reader) const
    {
        const auto& store = contents.store();
        // The slower of both links bounds a transfer.
        const auto linkMbps = store.linkMbps > 0 ? std::min(store.linkMbps, limits.linkMbps) : limits.linkMbps;
        return { store.address, store.dataCentre == reader.record().dataCentre, true, contents.speed().slowness(context.now), store.setUpMs, transferMsPerToken(limits, linkMbps),
            contents.queueMs(context.now) };
    }

    // Takes the source that would have sent the part earlier.
    static void consider(std::optional<Source>& best, Source source, std::int64_t tokens)
    {
        if (!best || source.sentMs(tokens) < best->sentMs(tokens))
            best = std::move(source);
    }

    const EngineRequest& request;
    const PlacementContext& context;
    const CacheStores& stores;
    const EngineLimits& limits;
    Mechanisms mechanisms;
    std::uint64_t scope;
    std::vector<std::vector<const BackendState*>> byPart;
    mutable std::map<std::uint64_t, std::vector<std::vector<const CacheContents*>>> storesByVersion;
};

CacheScope cacheScope(const EngineRequest& request, std::uint64_t version)
{
    return { request.prompt->model, version, request.dedicatedOrganisation };
}

std::uint64_t cacheScopeHash(const std::string& dedicatedOrganisation)
{
    return dedicatedOrganisation.empty() ? 0 : hash64(dedicatedOrganisation);
}

EnginePlacement::EnginePlacement(const EngineLimits& limits, Mechanisms mechanisms)
    : m_limits(limits)
    , m_mechanisms(mechanisms)
    , m_fetchMsPerToken(transferMsPerToken(limits, limits.linkMbps))
{
}

bool EnginePlacement::isCandidate(const EngineRequest& request, const PlacementContext& context, const BackendState& runner) const
{
    if (context.isExcluded(runner.record().id) || runner.isLoading(context.now) || !runner.isUsable(context.now))
        return false;
    return request.requiredVersion == 0 || runner.version(request.prompt->model).value_or(0) >= request.requiredVersion;
}

bool EnginePlacement::beginsInTime(const EngineRequest& request, const PlacementContext& context, const BackendState& runner, const Prediction& prediction)
{
    const auto version = runner.version(request.prompt->model);
    const auto end = version && request.weightsExpiry ? request.weightsExpiry(*version) : std::nullopt;
    return !end || toMilliseconds(*end - context.bootNow) > prediction.waitMs * queuePatience;
}

EnginePlacement::Prediction EnginePlacement::predict(const EngineRequest& request, const BackendState& runner, const PartHolders& holders,
    TimePoint now, std::chrono::milliseconds goal, double fallbackSpeed) const
{
    const auto& prompt = *request.prompt;
    const auto work = runner.totalWork(now);
    const auto slowdown = m_mechanisms.has(Mechanism::WorkTimes) ? runner.slowdown(now) : 1;
    const auto speed = runner.tokensPerMs(fallbackSpeed) / slowdown;
    Prediction out;
    const auto cached = runner.parts().cachedTokens(prompt.parts, holders.scope);
    const auto ownSlowness = runner.transfers().slowness(now);
    std::int64_t covered = 0;
    double queueMs = 0;
    for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
        const auto tokens = prompt.parts[i].tokens;
        if (covered + tokens > cached) {
            const auto source = holders.find(i, runner);
            if (!source)
                break;
            out.fetchTokens += tokens;
            const auto nominal = source->nominalMs(tokens);
            queueMs = std::max(queueMs, source->queueMs);
            out.nominalFetchMs += nominal;
            out.fetchMs += nominal * std::max(source->slowness, ownSlowness);
        }
        covered += tokens;
    }
    out.uncachedTokens = std::max<std::int64_t>(prompt.promptTokens - covered, 1);
    double aheadTokens = 0;
    double lessUrgentTokens = 0;
    for (std::size_t i = 0; i < priorityClassCount; ++i)
        (i <= priorityClass(request.priority) ? aheadTokens : lessUrgentTokens) += static_cast<double>(work.prefillTokens[i]);
    const auto peersMs = runner.peerQueue().prefillMs(request.priority, now);
    const auto allPeersMs = runner.peerQueue().totalPrefillMs(now);
    const auto ownLessUrgentTokens = lessUrgentTokens;
    lessUrgentTokens += (allPeersMs - peersMs) * speed;
    out.waitMs = peersMs + (aheadTokens + std::min(lessUrgentTokens, chunkTokens) / 2) / speed;
    out.busyMs = allPeersMs + (aheadTokens + ownLessUrgentTokens) / speed;
    out.lessUrgentMs = lessUrgentTokens / speed;
    const auto requests = runner.requests(now);
    out.requests = requests;
    const auto slots = static_cast<std::int32_t>(std::max(m_limits.slots, 1U));
    // The engine admits urgent prompts before others, and lets them take the place and memory of others.
    const auto ahead = requests - work.lessUrgentPrompts(request.priority);
    if (ahead >= slots)
        out.waitMs += residenceMs * (ahead - slots + 1) / slots;
    const auto memory = static_cast<double>(runner.memoryTokens()) * memoryShare;
    const auto taken = static_cast<double>(work.memoryUpTo(request.priority)) + urgentGrowth * static_cast<double>(work.memoryAbove(request.priority));
    const auto excess = taken + static_cast<double>(prompt.promptTokens + prompt.outputTokens) - memory;
    if (memory > 0 && excess > 0 && request.priority > 0)
        out.waitMs += residenceMs * excess / memory;
    out.readMs = static_cast<double>(out.uncachedTokens) / speed;
    // Transfers run beside the reading of other prompts, one after another.
    const auto ownLinkMs = static_cast<double>(work.fetchTokens) * m_fetchMsPerToken * ownSlowness + runner.peerQueue().fetchMs(now);
    const auto linkMs = std::max(ownLinkMs, queueMs);
    const auto fetchingMs = fixedMs + std::max(out.waitMs, linkMs + out.fetchMs) + out.readMs;
    const auto readAllMs = static_cast<double>(prompt.promptTokens - std::min(cached, prompt.promptTokens)) / speed;
    const auto readingMs = fixedMs + out.waitMs + readAllMs;
    // Reading again has the higher price, so it is chosen only where it is in time and fetching is not.
    const auto goalMs = toMilliseconds(goal);
    const bool mayReadInstead = m_mechanisms.has(Mechanism::ReadingInstead);
    if (mayReadInstead && out.fetchTokens > 0 && fetchingMs > goalMs * fetchGoalShare && readingMs < fetchingMs) {
        out.isReadingInstead = true;
        out.fetchTokens = 0;
        out.fetchMs = 0;
        out.nominalFetchMs = 0;
        out.uncachedTokens = std::max<std::int64_t>(prompt.promptTokens - cached, 1);
        out.readMs = readAllMs;
    }
    out.firstMs = out.fetchTokens > 0 ? fetchingMs : readingMs;
    // Fetching that takes longer than what the goal leaves, and than it is worth, is given up.
    out.fetchTimeMs = std::max({ goalMs * fetchGoalShare - readAllMs, out.fetchMs * fetchPatience, (readAllMs - out.readMs) * readPatience });
    out.isReadAtOnce = out.waitMs <= mostSampleWaitMs && out.fetchTokens == 0;
    return out;
}

double EnginePlacement::pauseCost(const Prediction& prediction, std::chrono::milliseconds longestPause)
{
    if (longestPause.count() == 0)
        return 0;
    const auto limitMs = toMilliseconds(longestPause) * pauseShare;
    double cost = 0;
    // Streams that pause too long already lose nothing by more prompts.
    if (prediction.busyMs <= limitMs && prediction.busyMs + prediction.readMs > limitMs)
        cost += pausedStreamMs * std::min(prediction.requests, mostPausedStreams);
    if (prediction.lessUrgentMs > limitMs)
        cost += ownPauseMs;
    return cost;
}

std::shared_ptr<BackendState> EnginePlacement::homeOf(const Choice& choice) const
{
    const auto& prompt = *choice.request.prompt;
    const auto part = sessionPart(prompt);
    const auto readMs = static_cast<double>(prompt.promptTokens) / choice.fallbackSpeed;
    const auto effect = m_separation.effect(readMs, prompt.outputTokens, choice.worstSlowdown, choice.context.longestPause);
    std::shared_ptr<BackendState> home;
    double leastCost = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < choice.candidates.size(); ++i) {
        const auto score = homeScore(part, *choice.candidates[i]);
        const auto cost = m_mechanisms.has(Mechanism::StreamSeparation) ? StreamSeparation::cost(effect, choice.streamShares[i]) : 0;
        if (!home || cost < leastCost || (cost == leastCost && score > bestScore)) {
            home = choice.candidates[i];
            leastCost = cost;
            bestScore = score;
        }
    }
    return home;
}

double EnginePlacement::costOf(const Choice& choice, const BackendState& runner, const Prediction& prediction) const
{
    const auto& context = choice.context;
    double cost = prediction.firstMs + readWeight * prediction.readMs + fetchWeight * prediction.fetchMs;
    if (runner.record().dataCentre != context.dataCentre)
        cost += otherDataCentreMs;
    if (m_mechanisms.has(Mechanism::FailureShares))
        cost += failureMs * std::max(runner.health().failureShare(context.now) - toleratedFailureShare, 0.0);
    if (runner.version(choice.request.prompt->model).value_or(0) < choice.request.newestVersion)
        cost += oldVersionMs;
    if (m_mechanisms.has(Mechanism::PauseCosts))
        cost += pauseCost(prediction, context.longestPause);
    return cost;
}

std::optional<EnginePlacement::Candidate> EnginePlacement::best(const Choice& choice, const PartHolders& holders, double random) const
{
    const auto& context = choice.context;
    const auto home = m_mechanisms.has(Mechanism::Homes) ? homeOf(choice) : nullptr;
    std::optional<Candidate> best;
    double draw = random;
    for (std::size_t i = 0; i < choice.candidates.size(); ++i) {
        const auto& runner = choice.candidates[i];
        Candidate candidate { runner, predict(choice.request, *runner, holders, context.now, context.goal, choice.fallbackSpeed), {}, 0 };
        const auto& prediction = candidate.prediction;
        if (!beginsInTime(choice.request, context, *runner, prediction))
            continue;
        candidate.cost = costOf(choice, *runner, prediction);
        if (runner == home)
            candidate.cost -= std::min(prediction.readMs * homeShare, homeMostMs);
        candidate.effect = m_separation.effect(
            prediction.readMs / runner->slowdown(context.now), choice.request.prompt->outputTokens, choice.worstSlowdown, context.longestPause);
        if (m_mechanisms.has(Mechanism::StreamSeparation))
            candidate.cost += StreamSeparation::cost(candidate.effect, choice.streamShares[i]);
        draw = nextDraw(draw);
        if (m_mechanisms.has(Mechanism::SpreadDraws))
            candidate.cost += (runner->record().dataCentre == context.dataCentre ? context.nearJitterMs : context.jitterMs) * draw;
        if (!best || candidate.cost < best->cost)
            best = std::move(candidate);
    }
    return best;
}

std::optional<PlacementRefusal> EnginePlacement::refusalOf(const PlacementContext& context, const Prediction& prediction, double random)
{
    const auto goalMs = toMilliseconds(context.goal);
    const bool isInTime = !context.isLate && prediction.firstMs <= goalMs;
    const bool isShortWait = prediction.waitMs <= goalMs * (context.isLate ? lateWaitShare : shortWaitShare);
    const bool isPossible = prediction.firstMs < toMilliseconds(context.timeLeft);
    if ((isInTime || isShortWait) && isPossible)
        return std::nullopt;
    const auto pause = roundedMs(std::max(prediction.waitMs - goalMs * lateWaitShare, 0.0));
    return PlacementRefusal { RefusalReason::Overloaded, jitteredRetryAfter(pause, context.timeLeft, random), roundedMs(prediction.firstMs) };
}

PlacementResult EnginePlacement::choose(const EngineRequest& request, const PlacementContext& context, const BackendDirectory::RunnerList& runners, const CacheStores& stores,
    double random) const
{
    const auto& prompt = *request.prompt;
    const PartHolders holders(request, context, runners, stores, m_limits, m_mechanisms);
    Choice choice { request, context, {}, {}, averageSpeed(runners), 1 };
    std::copy_if(runners.begin(), runners.end(), std::back_inserter(choice.candidates), [&](const auto& runner) { return isCandidate(request, context, *runner); });
    choice.streamShares = m_separation.shares(choice.candidates);
    choice.worstSlowdown = worstSlowdown(choice.candidates, context.now);
    const auto chosen = best(choice, holders, random);
    if (!chosen)
        return tl::unexpected(refuseWithoutRunner(context, runners, random));
    const auto& prediction = chosen->prediction;
    if (const auto refusal = refusalOf(context, prediction, random))
        return tl::unexpected(*refusal);
    Placement out;
    out.runner = chosen->runner;
    out.predicted = roundedMs(prediction.firstMs);
    out.wait = roundedMs(prediction.waitMs);
    out.prefill = roundedMs(prediction.readMs);
    out.streamEffect = chosen->effect;
    out.isSpeedSample = prediction.isReadAtOnce;
    out.work.requests = 1;
    out.work.prefillTokens[priorityClass(request.priority)] = prediction.uncachedTokens;
    out.work.fetchTokens = prediction.fetchTokens;
    out.work.prompts[priorityClass(request.priority)] = 1;
    out.work.memoryTokens[priorityClass(request.priority)] = prompt.promptTokens + prompt.outputTokens;
    out.predictedFetch = roundedMs(prediction.fetchMs);
    out.nominalFetchMs = prediction.nominalFetchMs;
    planTransfers(request, context, holders, stores, out);
    if (prediction.isReadingInstead) {
        out.fetchFrom.clear();
        out.storeFetches.clear();
    } else {
        out.maxFetchTime = roundedMs(prediction.fetchTimeMs);
    }
    return out;
}

void EnginePlacement::planTransfers(const EngineRequest& request, const PlacementContext& context, const PartHolders& holders, const CacheStores& stores,
    Placement& placement) const
{
    const auto& parts = request.prompt->parts;
    const auto& runner = *placement.runner;
    const auto version = runner.version(request.prompt->model);
    if (!version || parts.size() < 2)
        return;
    placement.fetchFrom.resize(parts.size());
    placement.saveTo.resize(parts.size());
    const auto scope = cacheScope(request, *version);
    const auto cached = runner.parts().cachedTokens(parts, holders.scope);
    std::int64_t covered = 0;
    bool isContinuous = true;
    // The last part is the request's own.
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        covered += parts[i].tokens;
        const auto source = isContinuous ? holders.find(i, runner) : std::nullopt;
        // A store's copy is named even where the runner is believed to have the part: it is not fetched then.
        if (source && (source->isStore || covered > cached))
            placement.fetchFrom[i] = source->address;
        if (source && source->isStore && covered > cached)
            placement.storeFetches.push_back({ source->address, source->nominalMs(parts[i].tokens) });
        isContinuous = isContinuous && (source || covered <= cached);
        const auto* store = !m_mechanisms.has(Mechanism::Saving) ? nullptr : chooseStore(stores, scope, parts[i], runner.record().dataCentre, context);
        if (store)
            placement.saveTo[i] = store->store().address;
    }
}

const CacheContents* EnginePlacement::chooseStore(const CacheStores& stores, const CacheScope& scope, const PromptPart& part, const std::string& dataCentre,
    const PlacementContext& context)
{
    const CacheContents* best = nullptr;
    bool isBestNear = false;
    std::uint64_t bestScore = 0;
    for (const auto& store : stores) {
        if (store->contains(scope, part.id) || store->isSaving(scope, part.id, context.now))
            return nullptr;
        if (!store->isConfirmed(context.bootNow) || !store->maySave(scope, part.id, part.tokens, context.now))
            continue;
        const bool isNear = store->store().dataCentre == dataCentre;
        const auto score = hash64(store->store().address.ip, part.id + store->store().address.port);
        if (!best || (isNear && !isBestNear) || (isNear == isBestNear && score > bestScore)) {
            best = store.get();
            isBestNear = isNear;
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
        if (tokens >= fewestSampleTokens && measuredMs > fixedMs)
            runner.learnSpeed(static_cast<double>(tokens) / (measuredMs - fixedMs) * runner.slowdown(now));
        return;
    }
    const auto fetchMs = toMilliseconds(placement.predictedFetch);
    if (placement.work.fetchTokens < fewestSampleTokens || fetchMs <= 0)
        return;
    const auto otherMs = toMilliseconds(placement.predicted) - fetchMs;
    const auto ratio = std::max(measuredMs - otherMs, 0.0) / placement.nominalFetchMs;
    const CacheContents* source = nullptr;
    for (const auto& store : stores) {
        const bool isSource = std::find(placement.fetchFrom.begin(), placement.fetchFrom.end(), std::optional(store->store().address)) != placement.fetchFrom.end();
        if (!isSource)
            continue;
        source = store.get();
        // What the runner's own slowness explains is not the store's.
        store->speed().measure(ratio / runner.transfers().slowness(now), now);
    }
    runner.transfers().learn(source ? ratio / source->speed().slowness(now) : ratio, now);
}

void EnginePlacement::recordSend(const EngineRequest& request, const Placement& placement, const CacheStores& stores, TimePoint now)
{
    const auto& parts = request.prompt->parts;
    m_separation.learn(placement.streamEffect, toMilliseconds(placement.prefill), request.prompt->outputTokens, now);
    for (const auto& part : parts)
        placement.runner->parts().touch(part, cacheScopeHash(request.dedicatedOrganisation));
    for (const auto& fetch : placement.storeFetches) {
        for (const auto& store : stores) {
            if (store->store().address == fetch.store)
                store->recordFetch(fetch.ms, now);
        }
    }
    const auto version = placement.runner->version(request.prompt->model);
    for (std::size_t i = 0; version && i < placement.saveTo.size(); ++i) {
        for (const auto& store : stores) {
            if (placement.saveTo[i] == store->store().address)
                store->recordSave(cacheScope(request, *version), parts[i].id, parts[i].tokens, now);
        }
    }
}

}
