#include "chiveshelf/scheduling/RoundRobinPolicy.h"

#include <algorithm>

namespace chiveshelf {

std::optional<Refusal> RoundRobinPolicy::enqueue(QueuedRequest request, PoolSnapshot& pool, TimePoint)
{
    const bool hasRunner = std::any_of(pool.runners.begin(), pool.runners.end(), [&](const auto& runner) { return !request.excludes(runner.name); });
    if (!hasRunner)
        return Refusal { request.id, { ErrorCode::Unavailable, "no runner is left for the request", Verdict::NotRun, std::nullopt } };
    m_waiting.push_back(std::move(request));
    return std::nullopt;
}

bool RoundRobinPolicy::cancel(const std::string& requestId)
{
    return std::erase_if(m_waiting, [&](const QueuedRequest& request) { return request.id == requestId; }) > 0;
}

RunnerSnapshot* RoundRobinPolicy::pick(const QueuedRequest& request, PoolSnapshot& pool)
{
    for (std::size_t i = 0; i < pool.runners.size(); ++i) {
        auto& runner = pool.runners[m_next++ % pool.runners.size()];
        if (!request.excludes(runner.name))
            return &runner;
    }
    return nullptr;
}

std::vector<Assignment> RoundRobinPolicy::assign(PoolSnapshot& pool, TimePoint)
{
    std::vector<Assignment> out;
    std::erase_if(m_waiting, [&](const QueuedRequest& request) {
        auto* runner = pick(request, pool);
        if (!runner)
            return false;
        ++runner->running;
        out.push_back({ request.id, runner->name, "next in turn", request.priority, request.maxTokens, {}, request.promptTokens, EstimatedTime(0) });
        return true;
    });
    return out;
}

}
