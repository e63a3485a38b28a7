#include "chiveshelf/scheduling/FirstComePolicy.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    constexpr auto retryAfterExpiry = std::chrono::milliseconds(1'000);

}

std::optional<Refusal> FirstComePolicy::enqueue(QueuedRequest request, PoolSnapshot&, TimePoint)
{
    m_waiting.push_back(std::move(request));
    return std::nullopt;
}

bool FirstComePolicy::cancel(const std::string& requestId)
{
    return std::erase_if(m_waiting, [&](const QueuedRequest& request) { return request.id == requestId; }) > 0;
}

std::vector<Assignment> FirstComePolicy::assign(PoolSnapshot& pool, TimePoint)
{
    std::vector<Assignment> out;
    for (auto it = m_waiting.begin(); it != m_waiting.end() && pool.freeSlots() > 0;) {
        RunnerSnapshot* best = nullptr;
        for (auto& runner : pool.runners) {
            if (runner.hasFreeSlot() && !it->excludes(runner.name) && (!best || runner.running < best->running))
                best = &runner;
        }
        if (!best) {
            ++it;
            continue;
        }
        ++best->running;
        out.push_back({ it->id, best->name, "first come, fewest running requests", it->priority, it->maxTokens, {}, it->promptTokens, EstimatedTime(0) });
        it = m_waiting.erase(it);
    }
    return out;
}

std::vector<Refusal> FirstComePolicy::expire(PoolSnapshot&, TimePoint now)
{
    std::vector<Refusal> out;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (it->deadline > now) {
            ++it;
            continue;
        }
        out.push_back({ it->id, { ErrorCode::Overloaded, "no runner became free in time", Verdict::NotRun, retryAfterExpiry } });
        it = m_waiting.erase(it);
    }
    return out;
}

}
