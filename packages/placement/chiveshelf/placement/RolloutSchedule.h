#pragma once

#include "chiveshelf/core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chiveshelf {

// State of a runner that is relevant to a rollout.
struct RolloutRunner {
    std::string id;
    std::uint64_t version = 0;
    // Running requests, which have to end before the runner can load weights.
    std::int32_t requests = 0;
};

// Decides which runners are ordered to load new weights next. Only a part of the pool loads at the same time. Runners with the
// fewest requests go first, since their requests end soonest.
//
// Handles the load pattern "new weights are announced while the pool is busy", also in quick succession: runners that are loading
// finish that load, and all others load the newest version directly.
class RolloutSchedule {
public:
    // Time after which an order whose version was not reported no longer counts as in progress.
    static constexpr std::chrono::milliseconds orderLifetime { 4'000 };

    // Returns the ids of the runners to order now. `runners` are all runners of the pool except those that are leaving.
    std::vector<std::string> next(std::vector<RolloutRunner> runners, std::uint64_t target, TimePoint now);

    // Records that an order definitely failed, so that the runner can be ordered again.
    void onFailed(const std::string& id) { m_inProgress.erase(id); }

    std::size_t inProgressCount() const { return m_inProgress.size(); }

private:
    std::map<std::string, TimePoint> m_inProgress;
};

}
