#include "chiveshelf/control/RolloutPlan.h"

#include <algorithm>

namespace chiveshelf {

bool isUpToDate(const RunnerStatus& status, const Pool& pool)
{
    return !status.isLoading && (pool.version.empty() || status.version == pool.version) && status.adapter == pool.adapter;
}

RolloutPlan planRollout(const std::vector<ControlledRunner>& runners, const Pool& pool, std::chrono::steady_clock::time_point now)
{
    RolloutPlan plan;
    std::vector<std::string> candidates;
    std::size_t answering = 0;
    for (const auto& runner : runners) {
        const bool isPending = runner.commandedAt && now - *runner.commandedAt < maxCommandDuration;
        answering += runner.status ? 1 : 0;
        if (isPending || (runner.status && runner.status->isLoading)) {
            ++plan.loadingCount;
        } else if (runner.status && !isUpToDate(*runner.status, pool)) {
            ++plan.outdatedCount;
            candidates.push_back(runner.name);
        }
    }
    const auto limit = static_cast<std::size_t>(std::clamp(pool.maxConcurrentLoads, 1, 2));
    const auto allowed = std::min(limit, answering > 1 ? answering - 1 : 1);
    for (const auto& name : candidates) {
        if (plan.loadingCount + plan.runnersToLoad.size() >= allowed)
            break;
        plan.runnersToLoad.push_back(name);
    }
    return plan;
}

}
