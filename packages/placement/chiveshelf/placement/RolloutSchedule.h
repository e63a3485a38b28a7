#pragma once

#include "chiveshelf/core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chiveshelf {

// A runner as the schedule of a rollout sees it.
struct RolloutRunner {
    std::string id;
    std::uint64_t version = 0;
    // Requests that have to end before new weights can be loaded.
    std::int32_t requests = 0;
};

// Decides which runners are ordered to load new weights next. A part of the pool is out of service at any time, and runners
// with little to do go first, since their requests end soonest.
//
// Answers the load pattern "new weights are named while the pool is busy", also in quick succession: runners in progress are
// left alone, all others go straight to the newest version.
class RolloutSchedule {
public:
    // Time after which an order without effect no longer counts as in progress.
    static constexpr std::chrono::milliseconds orderLifetime { 4'000 };

    // Returns the runners to order now. `runners` are those of the pool; those that are leaving are not among them.
    std::vector<std::string> next(std::vector<RolloutRunner> runners, std::uint64_t target, TimePoint now);

    // Records that an order failed for certain, so that the runner may be ordered again.
    void onFailed(const std::string& id) { m_inProgress.erase(id); }

    std::size_t inProgressCount() const { return m_inProgress.size(); }

private:
    std::map<std::string, TimePoint> m_inProgress;
};

}
