#pragma once

#include "chiveshelf/scheduling/FairSharePolicy.h"
#include "chiveshelf/scheduling/RunnerStatistics.h"

#include <algorithm>
#include <map>

namespace chiveshelf {

// Outcome of a request in the model.
struct ModelOutcome {
    Priority priority = Priority::Standard;
    std::string organisation;
    int grants = 0;
    int refusals = 0;
    TimePoint submittedAt;
    TimePoint grantedAt;
    TimePoint firstTokenAt;
    TimePoint refusedAt;
    std::string runner;

    EstimatedTime timeToFirstToken() const { return firstTokenAt - submittedAt; }
};

// Deterministic model of a pool: prefills run one after the other on a runner, decoding runs in parallel. Time moves in steps
// of 1 ms by advance().
template <SchedulingPolicy Policy>
class PoolModel {
public:
    PoolModel(Policy chosen, int runners, int slots)
        : policy(std::move(chosen))
    {
        std::vector<std::string> names;
        for (int i = 0; i < runners; ++i)
            names.push_back("runner-" + std::to_string(100 + i));
        statistics.setRunners(names, slots);
    }

    void submit(const std::string& id, const std::string& organisation, Priority priority, std::int64_t promptTokens, std::int64_t maxTokens,
        std::chrono::milliseconds limit = std::chrono::hours(1))
    {
        QueuedRequest request;
        request.id = id;
        request.organisation = organisation;
        request.priority = priority;
        request.promptTokens = promptTokens;
        request.maxTokens = maxTokens;
        request.enqueuedAt = now;
        request.deadline = now + limit;
        auto& outcome = outcomes[id];
        outcome.priority = priority;
        outcome.organisation = organisation;
        outcome.submittedAt = now;
        auto pool = snapshot();
        if (const auto refusal = policy.enqueue(request, pool, now))
            recordRefusal(*refusal);
        startAssigned();
    }

    void advance(std::chrono::milliseconds time)
    {
        for (const auto end = now + time; now < end;) {
            now += std::chrono::milliseconds(1);
            for (auto it = m_active.begin(); it != m_active.end();) {
                if (it->second.endsAt > now) {
                    ++it;
                    continue;
                }
                auto work = it->second.work;
                it = m_active.erase(it);
                statistics.finished(work, now);
                policy.finished(work);
            }
            auto pool = snapshot();
            for (const auto& refusal : policy.expire(pool, now))
                recordRefusal(refusal);
            startAssigned();
        }
    }

    // Cancels a running request before its first token without queueing it again.
    void cancelRunning(const std::string& id)
    {
        auto work = m_active.at(id).work;
        work.hasSucceeded = false;
        m_active.erase(id);
        statistics.finished(work, now);
        policy.finished(work);
        startAssigned();
    }

    PoolSnapshot snapshot()
    {
        auto out = statistics.snapshot(now);
        out.shares = shares;
        return out;
    }

    void startAssigned()
    {
        auto pool = snapshot();
        for (const auto& assignment : policy.assign(pool, now)) {
            statistics.started(assignment, now);
            begin(assignment);
        }
    }

    std::vector<ModelOutcome> outcomesOf(const std::string& organisation) const
    {
        std::vector<ModelOutcome> out;
        for (const auto& [id, outcome] : outcomes) {
            if (outcome.organisation == organisation)
                out.push_back(outcome);
        }
        return out;
    }

    Policy policy;
    RunnerStatistics statistics;
    std::array<int, priorityCount> shares { 60, 30, 10 };
    double prefillTokensPerMs = 10;
    std::map<std::string, double> slowdown;
    std::map<std::string, ModelOutcome> outcomes;
    TimePoint now = TimePoint(std::chrono::hours(1));

private:
    struct Active {
        TimePoint endsAt;
        FinishedWork work;
    };

    void recordRefusal(const Refusal& refusal)
    {
        auto& outcome = outcomes[refusal.requestId];
        ++outcome.refusals;
        outcome.refusedAt = now;
    }

    void begin(const Assignment& assignment)
    {
        auto& outcome = outcomes[assignment.requestId];
        ++outcome.grants;
        outcome.grantedAt = now;
        outcome.runner = assignment.runner;
        const auto factor = slowdown.contains(assignment.runner) ? slowdown[assignment.runner] : 1.0;
        const auto toClock = [](EstimatedTime time) { return std::chrono::duration_cast<TimePoint::duration>(time); };
        auto& busyUntil = m_prefillBusyUntil[assignment.runner];
        busyUntil = std::max(busyUntil, now) + toClock(EstimatedTime(factor * static_cast<double>(assignment.computedTokens) / prefillTokensPerMs));
        outcome.firstTokenAt = busyUntil + toClock(EstimatedTime(5 * factor));
        const auto end = outcome.firstTokenAt + toClock(EstimatedTime(5 * factor * static_cast<double>(assignment.maxTokens)));
        FinishedWork work;
        work.requestId = assignment.requestId;
        work.runner = assignment.runner;
        work.hasSucceeded = true;
        work.promptTokens = assignment.computedTokens;
        work.completionTokens = assignment.maxTokens;
        work.firstTokenMs = std::chrono::duration_cast<std::chrono::milliseconds>(outcome.firstTokenAt - now).count();
        work.totalMs = std::chrono::duration_cast<std::chrono::milliseconds>(end - now).count();
        m_active[assignment.requestId] = { end, work };
    }

    std::map<std::string, Active> m_active;
    std::map<std::string, TimePoint> m_prefillBusyUntil;
};

}
