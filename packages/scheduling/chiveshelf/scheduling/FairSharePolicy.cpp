#include "chiveshelf/scheduling/FairSharePolicy.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    // Maximum number of requests per assign() call that are evaluated and then left waiting for a busy runner. Limits the time of a
    // call, since each request is evaluated on every runner.
    constexpr std::size_t maximumEvaluations = 64;
    // Waiting requests are refused only if they miss their deadline even with the estimated wait divided by this factor:
    // estimates vary, and each request was already admitted once.
    constexpr double expiryToleranceFactor = 1.5;
    constexpr auto minimumRetryAfter = std::chrono::milliseconds(1'000);
    constexpr auto maximumRetryAfter = std::chrono::milliseconds(60'000);
    constexpr auto idleRemovalInterval = std::chrono::seconds(10);
    constexpr EstimatedTime waitWithoutRunners { 1'000 };

    EstimatedTime untilDeadline(const QueuedRequest& request, TimePoint now)
    {
        return request.deadline - now;
    }

    std::string milliseconds(EstimatedTime time)
    {
        return std::to_string(std::llround(time.count())) + " ms";
    }

    std::string reasonFor(const RunnerEstimate& estimate)
    {
        auto out = "first token in " + milliseconds(estimate.firstToken) + ": " + std::to_string(std::llround(estimate.cachedTokens)) + " tokens cached, ";
        if (estimate.import.blocks > 0)
            out += std::to_string(estimate.import.blocks) + " blocks imported over " + estimate.import.link + ", ";
        return out + std::to_string(estimate.computedTokens) + " computed";
    }

}

std::array<int, priorityCount> guaranteedSlots(const std::array<int, priorityCount>& shares, int slots)
{
    std::array<int, priorityCount> out {};
    int guaranteed = 0;
    for (const auto priority : { Priority::Standard, Priority::Batch }) {
        const auto share = shares[priorityIndex(priority)];
        out[priorityIndex(priority)] = share > 0 ? std::max(1, slots * share / 100) : 0;
        guaranteed += out[priorityIndex(priority)];
    }
    out[priorityIndex(Priority::Urgent)] = std::max(1, slots - guaranteed);
    return out;
}

FairSharePolicy::FairSharePolicy(FairShareSettings settings)
    : m_settings(std::move(settings))
    , m_cacheView(m_settings.cacheBlocksPerRunner, m_settings.cacheHalfLife)
    , m_links(m_settings.importsPerLink)
    , m_random(m_settings.seed)
{
}

std::optional<RunnerEstimate> FairSharePolicy::choose(const PoolSnapshot& pool, const QueuedRequest& request, TimePoint now) const
{
    std::vector<ImportOption> imports;
    if (m_links.mayStart(request.storeLink, request.priority))
        imports = importOptions(request, m_links.inFlight(request.storeLink));
    return chooseRunner(pool.runners, request, m_cacheView.lookup(request.blocks, now), imports);
}

std::optional<RunnerEstimate> FairSharePolicy::chooseFreeRunner(const PoolSnapshot& pool, const QueuedRequest& request, TimePoint now)
{
    auto best = choose(pool, request, now);
    if (!best || best->hasFreeSlot)
        return best;
    auto free = pool;
    std::erase_if(free.runners, [](const RunnerSnapshot& runner) { return !runner.hasFreeSlot(); });
    auto alternative = choose(free, request, now);
    if (!alternative)
        return std::nullopt;
    // The request waits for the busy runner no longer than the time that this is estimated to save. If the estimate of when the
    // runner becomes free is wrong, the request loses at most that time.
    const auto waitingSince = m_waitingForBusyRunnerSince.emplace(request.id, now).first->second;
    if (now - waitingSince < alternative->firstToken - best->firstToken)
        return std::nullopt;
    return alternative;
}

EstimatedTime FairSharePolicy::estimateWait(const PoolSnapshot& pool, Priority priority, std::size_t rank) const
{
    const auto slots = pool.totalSlots();
    EstimatedTime earliest = EstimatedTime::max();
    for (const auto& runner : pool.runners)
        earliest = std::min(earliest, runner.slotWait);
    if (pool.runners.empty())
        return waitWithoutRunners;
    if (slots == 0)
        return earliest + pool.serviceTime * static_cast<double>(rank);
    if (static_cast<std::size_t>(pool.freeSlots()) > rank && static_cast<std::size_t>(pool.freeSlots()) > size())
        return EstimatedTime(0);
    // Share of the freed slots that the class gets: all except the shares of lower classes with waiting requests, or only its own
    // share while many requests of more urgent classes are waiting.
    double fraction = 1;
    std::size_t waitingAbove = 0;
    for (const auto other : allPriorities) {
        const auto waiting = m_classes[priorityIndex(other)].size();
        if (other < priority)
            waitingAbove += waiting;
        else if (other > priority && waiting > 0)
            fraction -= pool.shares[priorityIndex(other)] / 100.0;
    }
    auto ahead = static_cast<double>(rank + 1);
    if (waitingAbove > static_cast<std::size_t>(slots) / 4)
        fraction = pool.shares[priorityIndex(priority)] / 100.0;
    else
        ahead += static_cast<double>(waitingAbove);
    fraction = std::max(fraction, 0.01);
    return std::max(pool.serviceTime * (ahead / (fraction * slots)), earliest);
}

std::size_t FairSharePolicy::preemptableCount(const PoolSnapshot& pool, Priority priority) const
{
    if (priority != Priority::Urgent)
        return 0;
    auto remaining = pool.runningByClass;
    const auto guaranteed = guaranteedSlots(pool.shares, pool.totalSlots());
    std::size_t n = 0;
    for (const auto& work : pool.running) {
        const auto index = priorityIndex(work.priority);
        if (work.priority == Priority::Urgent || !work.isPreemptable || remaining[index] <= guaranteed[index])
            continue;
        --remaining[index];
        ++n;
    }
    return n;
}

Refusal FairSharePolicy::refuse(const QueuedRequest& request, EstimatedTime expected, TimePoint now)
{
    const auto limit = untilDeadline(request, now);
    // Retry after the time by which the estimate exceeds the limit: the queue is then shorter by as much. The jitter keeps refused
    // callers from retrying at the same moment.
    const auto excess = std::chrono::duration_cast<std::chrono::milliseconds>(std::min<EstimatedTime>(expected - limit, maximumRetryAfter));
    const auto base = std::max(excess, minimumRetryAfter);
    std::uniform_int_distribution<std::int64_t> jitter(0, base.count());
    return { request.id,
        { ErrorCode::Overloaded, "first token expected in " + milliseconds(expected) + ", wanted in " + milliseconds(std::max(limit, EstimatedTime(0))),
            Verdict::NotRun, base + std::chrono::milliseconds(jitter(m_random)) } };
}

std::optional<Refusal> FairSharePolicy::enqueue(QueuedRequest request, PoolSnapshot& pool, TimePoint now)
{
    auto& queue = m_classes[priorityIndex(request.priority)];
    auto withFreeSlots = pool.runners;
    for (auto& runner : withFreeSlots)
        runner.slotWait = EstimatedTime(0);
    const auto best = chooseRunner(withFreeSlots, request, m_cacheView.lookup(request.blocks, now), importOptions(request, 0));
    const auto service = best ? best->firstToken : EstimatedTime(0);
    const auto rank = queue.rankOfNext(request.organisation);
    const auto wait = preemptableCount(pool, request.priority) > rank ? EstimatedTime(0) : estimateWait(pool, request.priority, rank);
    if (wait + service > untilDeadline(request, now))
        return refuse(request, wait + service, now);
    m_serviceEstimates[request.id] = service;
    queue.push(std::move(request));
    return std::nullopt;
}

bool FairSharePolicy::cancel(const std::string& requestId)
{
    m_serviceEstimates.erase(requestId);
    m_waitingForBusyRunnerSince.erase(requestId);
    for (auto& queue : m_classes) {
        if (queue.remove(requestId))
            return true;
    }
    return false;
}

std::vector<Priority> FairSharePolicy::classOrder(const PoolSnapshot& pool) const
{
    const auto guaranteed = guaranteedSlots(pool.shares, pool.totalSlots());
    std::vector<Priority> out(allPriorities.begin(), allPriorities.end());
    std::erase_if(out, [&](Priority priority) { return m_classes[priorityIndex(priority)].size() == 0; });
    std::stable_partition(out.begin(), out.end(),
        [&](Priority priority) { return pool.runningByClass[priorityIndex(priority)] < guaranteed[priorityIndex(priority)]; });
    return out;
}

std::optional<Assignment> FairSharePolicy::assignNext(PoolSnapshot& pool, Priority priority, TimePoint now, std::size_t& evaluations)
{
    std::optional<RunnerEstimate> estimate;
    const auto request = m_classes[priorityIndex(priority)].take([&](const QueuedRequest& candidate) -> std::optional<double> {
        if (evaluations >= maximumEvaluations)
            return std::nullopt;
        estimate = chooseFreeRunner(pool, candidate, now);
        if (!estimate) {
            ++evaluations;
            return std::nullopt;
        }
        return ClassQueue::cost(estimate->computedTokens, candidate.maxTokens, estimate->import.time);
    });
    if (!request)
        return std::nullopt;
    m_waitingForBusyRunnerSince.erase(request->id);
    auto& runner = *pool.find(estimate->runner);
    ++runner.running;
    ++pool.runningByClass[priorityIndex(priority)];
    const EstimatedTime prefill(1'000.0 * static_cast<double>(estimate->computedTokens) / std::max(runner.prefillTokensPerSecond, 1.0));
    for (auto index = priorityIndex(priority); index < priorityCount; ++index)
        runner.prefillWait[index] = std::max(runner.prefillWait[index], estimate->import.time) + prefill;
    if (!runner.hasFreeSlot())
        runner.slotWait = std::max(pool.serviceTime, EstimatedTime(1));
    m_cacheView.promptSent(runner.name, request->blocks, now);
    m_links.started(request->id, estimate->import);
    m_charges[request->id] = { request->organisation, runner.name, priority,
        ClassQueue::cost(estimate->computedTokens, request->maxTokens, estimate->import.time), estimate->cachedTokens / static_cast<double>(request->blockTokens), request->blockTokens, estimate->import };
    m_serviceEstimates.erase(request->id);
    const bool isExpectedInCache = estimate->import.blocks == 0 && estimate->cachedTokens > 0;
    const auto prefixBlocks = static_cast<std::int64_t>(estimate->import.firstBlock + estimate->import.blocks);
    return Assignment { request->id, runner.name, reasonFor(*estimate), priority, request->maxTokens, estimate->import, estimate->computedTokens,
        estimate->firstToken, isExpectedInCache ? -1 : prefixBlocks };
}

std::vector<Assignment> FairSharePolicy::assign(PoolSnapshot& pool, TimePoint now)
{
    std::vector<Assignment> out;
    std::size_t evaluations = 0;
    bool hasAssigned = true;
    for (int free = pool.freeSlots(); free > 0 && hasAssigned; --free) {
        hasAssigned = false;
        for (const auto priority : classOrder(pool)) {
            auto assignment = assignNext(pool, priority, now, evaluations);
            if (!assignment)
                continue;
            out.push_back(std::move(*assignment));
            hasAssigned = true;
            break;
        }
    }
    return out;
}

std::vector<Refusal> FairSharePolicy::expire(PoolSnapshot& pool, TimePoint now)
{
    std::vector<Refusal> out;
    for (const auto priority : allPriorities) {
        const auto preemptable = preemptableCount(pool, priority);
        m_classes[priorityIndex(priority)].forEach([&](const QueuedRequest& request, std::size_t rank) {
            const auto wait = preemptable > rank ? EstimatedTime(0) : estimateWait(pool, priority, rank);
            const auto expected = wait / expiryToleranceFactor + m_serviceEstimates[request.id];
            if (request.deadline <= now || expected > untilDeadline(request, now))
                out.push_back(refuse(request, expected, now));
        });
    }
    for (const auto& refusal : out)
        cancel(refusal.requestId);
    if (now - m_lastIdleRemoval > idleRemovalInterval) {
        m_lastIdleRemoval = now;
        for (auto& queue : m_classes)
            queue.removeIdleOrganisations();
    }
    return out;
}

std::vector<Preemption> FairSharePolicy::preempt(PoolSnapshot& pool, TimePoint now)
{
    std::size_t needed = 0;
    m_classes[priorityIndex(Priority::Urgent)].forEach([&](const QueuedRequest& request, std::size_t rank) {
        const auto expected = estimateWait(pool, Priority::Urgent, rank) + m_serviceEstimates[request.id];
        needed += expected > untilDeadline(request, now) ? 1 : 0;
    });
    // Preemptions in progress will free slots, so fewer further ones are needed.
    const auto inProgress = static_cast<std::size_t>(
        std::count_if(pool.running.begin(), pool.running.end(), [](const RunningWork& work) { return work.isPreempting; }));
    if (needed <= inProgress || pool.freeSlots() > 0)
        return {};
    needed -= inProgress;
    // Lowest class first, then the request that has run for the shortest time and so loses the least work.
    std::vector<const RunningWork*> candidates;
    for (const auto& work : pool.running) {
        if (work.priority != Priority::Urgent && work.isPreemptable)
            candidates.push_back(&work);
    }
    std::sort(candidates.begin(), candidates.end(), [](const RunningWork* a, const RunningWork* b) {
        return a->priority != b->priority ? a->priority > b->priority : a->startedAt > b->startedAt;
    });
    const auto guaranteed = guaranteedSlots(pool.shares, pool.totalSlots());
    auto remaining = pool.runningByClass;
    std::vector<Preemption> out;
    for (const auto* work : candidates) {
        const auto index = priorityIndex(work->priority);
        if (out.size() >= needed || remaining[index] <= guaranteed[index])
            continue;
        --remaining[index];
        out.push_back({ work->requestId, "urgent request would miss its target" });
    }
    return out;
}

void FairSharePolicy::finished(const FinishedWork& work)
{
    m_links.finished(work.requestId);
    const auto it = m_charges.find(work.requestId);
    if (it == m_charges.end())
        return;
    const auto charge = std::move(it->second);
    m_charges.erase(it);
    if (work.hasRunnerFailed) {
        m_cacheView.removeRunner(charge.runner);
        m_classes[priorityIndex(charge.priority)].correctCharge(charge.organisation, charge.cost, 0);
        return;
    }
    if (!work.hasSucceeded)
        return;
    m_cacheView.usageReported(charge.runner, charge.cachedBlocks, static_cast<double>(work.cachedTokens) / static_cast<double>(charge.blockTokens));
    const auto computed = std::max<std::int64_t>(work.promptTokens - work.cachedTokens - work.importedTokens, 0);
    const auto importTime = work.importedTokens > 0 ? charge.import.time : EstimatedTime(0);
    m_classes[priorityIndex(charge.priority)].correctCharge(charge.organisation, charge.cost, ClassQueue::cost(computed, work.completionTokens, importTime));
}

std::size_t FairSharePolicy::size() const
{
    std::size_t n = 0;
    for (const auto& queue : m_classes)
        n += queue.size();
    return n;
}

}
