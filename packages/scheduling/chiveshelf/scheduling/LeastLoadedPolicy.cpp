#include "chiveshelf/scheduling/LeastLoadedPolicy.h"

#include <algorithm>

namespace chiveshelf {

std::optional<Refusal> LeastLoadedPolicy::enqueue(QueuedRequest request, PoolSnapshot& pool, TimePoint)
{
    const bool hasRunner = std::any_of(pool.runners.begin(), pool.runners.end(), [&](const auto& runner) { return !request.excludes(runner.name); });
    if (!hasRunner)
        return Refusal { request.id, { ErrorCode::Unavailable, "no runner is left for the request", Verdict::NotRun, std::nullopt } };
    m_waiting.push_back(std::move(request));
    return std::nullopt;
}

bool LeastLoadedPolicy::cancel(const std::string& requestId)
{
    return std::erase_if(m_waiting, [&](const QueuedRequest& request) { return request.id == requestId; }) > 0;
}

RunnerSnapshot* LeastLoadedPolicy::pick(const QueuedRequest& request, PoolSnapshot& pool)
{
    RunnerSnapshot* best = nullptr;
    for (auto& runner : pool.runners) {
        if (request.excludes(runner.name))
            continue;
        // Requests sent by this host only break ties, because the next load report includes them.
        if (!best || std::pair(runner.reportedLoad, runner.running) < std::pair(best->reportedLoad, best->running))
            best = &runner;
    }
    return best;
}

std::vector<Assignment> LeastLoadedPolicy::assign(PoolSnapshot& pool, TimePoint)
{
    std::vector<Assignment> out;
    std::erase_if(m_waiting, [&](const QueuedRequest& request) {
        auto* runner = pick(request, pool);
        if (!runner)
            return false;
        ++runner->running;
        out.push_back({ request.id, runner->name, "least reported load", request.priority, request.maxTokens, {}, request.promptTokens, EstimatedTime(0) });
        return true;
    });
    return out;
}

}
