#include "chiveshelf/placement/RolloutSchedule.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Number of runners per concurrent load. More concurrent loads slow each other down.
    constexpr std::size_t runnersPerLoad = 5;
    // Number of concurrent loads allowed in a small pool.
    constexpr std::size_t minConcurrentLoads = 2;

}

std::vector<std::string> RolloutSchedule::next(std::vector<RolloutRunner> runners, std::uint64_t target, TimePoint now)
{
    std::erase_if(m_inProgress, [&](const auto& entry) {
        const auto it = std::find_if(runners.begin(), runners.end(), [&](const auto& runner) { return runner.id == entry.first; });
        return it == runners.end() || it->version >= target || now - entry.second > orderLifetime;
    });
    const auto maxLoads = std::max(runners.size() / runnersPerLoad, minConcurrentLoads);
    std::erase_if(runners, [&](const auto& runner) { return runner.version >= target || m_inProgress.contains(runner.id); });
    std::sort(runners.begin(), runners.end(), [](const auto& a, const auto& b) {
        return a.requests != b.requests ? a.requests < b.requests : a.id < b.id;
    });
    std::vector<std::string> out;
    for (const auto& runner : runners) {
        if (m_inProgress.size() >= maxLoads)
            break;
        m_inProgress.emplace(runner.id, now);
        out.push_back(runner.id);
    }
    return out;
}

}
