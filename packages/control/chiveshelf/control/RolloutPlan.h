#pragma once

#include "chiveshelf/runner/RunnerPort.h"
#include "chiveshelf/tables/Tables.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

// A runner as its controller knows it.
struct ControlledRunner {
    std::string name;
    // The last report; nothing if the runner does not answer.
    std::optional<RunnerStatus> status;
    // When a command was sent whose effect has not been seen yet.
    std::optional<std::chrono::steady_clock::time_point> commandedAt;

    auto operator<=>(const ControlledRunner&) const = default;
};

// Time after which a command has ended in any case.
constexpr auto longestCommand = std::chrono::milliseconds(5'000);

// What a controller should do next.
struct RolloutPlan {
    // Runners to command now, in order.
    std::vector<std::string> load;
    // Runners that load or may be loading.
    std::size_t loading = 0;
    // Runners that answer and differ from the row.
    std::size_t outdated = 0;

    bool isDone() const { return loading == 0 && outdated == 0; }
};

// True if the runner has what the row asks for and is not loading.
bool isUpToDate(const RunnerStatus&, const Pool&);

// Plans the next commands. At most `maxConcurrentLoads` runners of the pool load at once, and at least one runner that answers
// is left to serve unless there is only one. A runner that does not answer is not commanded; it counts as loading while a
// command to it may be running.
RolloutPlan planRollout(const std::vector<ControlledRunner>&, const Pool&, std::chrono::steady_clock::time_point now);

}
