#include "chiveshelf/dispatch/PoolScheduler.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chiveshelf {

using nlohmann::json;

namespace {

    constexpr std::size_t maximumDecisions = 32;
    // Expected time until a runner that is loading weights can serve; loading takes 0.2 to 0.3 s.
    constexpr EstimatedTime expectedWeightLoadTime { 300 };
    // Table changes take effect within 4 s, so a runner may be available after that time.
    constexpr auto noRunnerRetryAfter = std::chrono::milliseconds(4'000);

}

PoolScheduler::PoolScheduler(PolicyKind kind, const FairShareSettings& settings, std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
    , m_blockTokens(settings.blockTokens)
    , m_policy(kind, settings)
{
}

void PoolScheduler::setPool(const Pool& pool, std::uint64_t tablesRevision)
{
    m_tablesRevision = tablesRevision;
    if (pool == m_pool)
        return;
    m_pool = pool;
    m_addresses.clear();
    std::vector<std::string> names;
    for (const auto& runner : pool.runners) {
        if (runner.dataCentre != m_dataCentre)
            continue;
        names.push_back(runner.name);
        m_addresses[runner.name] = runner.address;
    }
    m_statistics.setRunners(names, pool.slotsPerRunner);
}

PoolSnapshot PoolScheduler::snapshot(TimePoint now)
{
    auto out = m_statistics.snapshot(now);
    out.shares = m_pool.shares;
    for (auto& runner : out.runners) {
        if (weightsOf(runner.name).mayServe)
            continue;
        runner.isUsable = false;
        runner.slots = 0;
        runner.slotWait = std::max(runner.slotWait, expectedWeightLoadTime);
    }
    return out;
}

RunnerWeights PoolScheduler::weightsOf(const std::string& runner) const
{
    return m_weights ? m_weights(runner) : RunnerWeights {};
}

Result<void> PoolScheduler::enqueue(const Enqueue& message, TimePoint now)
{
    if (m_addresses.empty())
        return failure(ErrorCode::Overloaded, "pool '" + m_pool.name + "' has no runner in this data centre", Verdict::NotRun, noRunnerRetryAfter);
    QueuedRequest request;
    request.id = message.requestId;
    request.organisation = message.organisation;
    request.priority = static_cast<Priority>(std::clamp<std::int32_t>(message.priority, 0, priorityCount - 1));
    request.weight = message.weight;
    request.promptTokens = message.promptTokens;
    request.maxTokens = message.maxTokens;
    request.blocks = message.blocks;
    request.stored = message.stored;
    request.storeLink = message.store;
    request.blockTokens = m_blockTokens;
    request.enqueuedAt = now;
    request.deadline = now + std::min(std::chrono::milliseconds(message.deadlineMs), m_pool.targets[priorityIndex(request.priority)]);
    request.excludedRunners = message.excludedRunners;
    const auto priority = request.priority;
    auto pool = snapshot(now);
    auto refusal = m_policy.visit([&](auto& policy) { return policy.enqueue(std::move(request), pool, now); });
    if (refusal) {
        ++m_counters.refused[priorityIndex(priority)];
        recordDecision({ { "request_id", refusal->requestId }, { "refused", refusal->error.message } });
        return tl::unexpected(refusal->error);
    }
    m_priorities[message.requestId] = priority;
    return {};
}

void PoolScheduler::cancel(const std::string& requestId, TimePoint now)
{
    m_policy.visit([&](auto& policy) { return policy.cancel(requestId); });
    drop(requestId, now);
}

void PoolScheduler::drop(const std::string& requestId, TimePoint now)
{
    FinishedWork work;
    work.requestId = requestId;
    m_policy.visit([&](auto& policy) { policy.finished(work); });
    m_statistics.dropped(requestId, now);
    m_priorities.erase(requestId);
}

void PoolScheduler::finish(const Finished& message, TimePoint now)
{
    const FinishedWork work { message.requestId, message.runner, message.hasSucceeded, message.hasRunnerFailed, message.isRunnerUnreachable, message.promptTokens,
        message.cachedTokens, message.importedTokens, message.completionTokens, message.firstTokenMs, message.totalMs };
    m_statistics.finished(work, now);
    m_policy.visit([&](auto& policy) { policy.finished(work); });
    m_priorities.erase(message.requestId);
}

void PoolScheduler::adopt(const RunningRequest& request, TimePoint now)
{
    const auto priority = static_cast<Priority>(std::clamp<std::int32_t>(request.priority, 0, priorityCount - 1));
    m_statistics.adopted(request.requestId, request.runner, priority, now);
}

std::vector<PoolScheduler::Granted> PoolScheduler::assign(TimePoint now)
{
    std::vector<Granted> out;
    if (queued() == 0)
        return out;
    auto pool = snapshot(now);
    for (auto& assignment : m_policy.visit([&](auto& policy) { return policy.assign(pool, now); })) {
        m_statistics.started(assignment, now);
        ++m_counters.granted[priorityIndex(assignment.priority)];
        recordDecision({ { "request_id", assignment.requestId }, { "class", priorityName(assignment.priority) }, { "runner", assignment.runner },
            { "reason", assignment.reason } });
        // During a rollout a runner serves its present version until it loads that of the pool's row.
        const auto version = weightsOf(assignment.runner).version.value_or(m_pool.version);
        out.push_back({ assignment.requestId,
            { assignment.runner, toString(m_addresses[assignment.runner]), version, m_tablesRevision, assignment.reason,
                assignment.prefixBlocks } });
    }
    return out;
}

std::vector<Refusal> PoolScheduler::expire(TimePoint now)
{
    if (queued() == 0)
        return {};
    auto pool = snapshot(now);
    auto out = m_policy.visit([&](auto& policy) { return policy.expire(pool, now); });
    for (const auto& refusal : out) {
        const auto it = m_priorities.find(refusal.requestId);
        if (it != m_priorities.end()) {
            ++m_counters.refused[priorityIndex(it->second)];
            m_priorities.erase(it);
        }
        recordDecision({ { "request_id", refusal.requestId }, { "refused", refusal.error.message } });
    }
    return out;
}

std::vector<Preemption> PoolScheduler::preempt(TimePoint now)
{
    if (queued() == 0)
        return {};
    auto pool = snapshot(now);
    auto out = m_policy.visit([&](auto& policy) { return policy.preempt(pool, now); });
    for (const auto& preemption : out) {
        m_statistics.preemptionStarted(preemption.requestId);
        const auto it = m_priorities.find(preemption.requestId);
        if (it != m_priorities.end())
            ++m_counters.preempted[priorityIndex(it->second)];
        recordDecision({ { "request_id", preemption.requestId }, { "preempted", preemption.reason } });
    }
    return out;
}

std::size_t PoolScheduler::queued() const
{
    return m_policy.visit([](const auto& policy) { return policy.size(); });
}

void PoolScheduler::recordDecision(json decision)
{
    m_decisions.push_back(decision.dump(-1, ' ', false, json::error_handler_t::replace));
    if (m_decisions.size() > maximumDecisions)
        m_decisions.pop_front();
}

json PoolScheduler::state() const
{
    auto classes = json::object();
    for (const auto priority : allPriorities) {
        auto organisations = json::object();
        for (const auto& organisation : m_policy.visit([&](const auto& policy) { return policy.organisations(priority); }))
            organisations[organisation.organisation] = { { "waiting", organisation.waiting }, { "deficit", organisation.deficit } };
        const auto index = priorityIndex(priority);
        classes[std::string(priorityName(priority))] = { { "organisations", organisations }, { "granted", m_counters.granted[index] },
            { "refused", m_counters.refused[index] }, { "preempted", m_counters.preempted[index] } };
    }
    auto runners = json::object();
    for (const auto& runner : m_statistics.states())
        runners[runner.name] = { { "health", runnerHealthName(runner.health) }, { "slot_share", runner.slotShare },
            { "running", runner.running }, { "prefill_tokens_per_second", runner.prefillTokensPerSecond },
            { "overhead_ms", runner.overhead.count() }, { "ms_per_token", runner.timePerToken.count() }, { "reported_load", runner.reportedLoad } };
    auto decisions = json::array();
    for (const auto& decision : m_decisions)
        decisions.push_back(json::parse(decision));
    return { { "queued", queued() }, { "classes", classes }, { "runners", runners }, { "service_time_ms", m_statistics.serviceTime().count() },
        { "decisions", decisions } };
}

}
