#pragma once

#include "chiveshelf/runner/RunnerPort.h"
#include "chiveshelf/tables/Tables.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace chiveshelf {

// What the controller of a pool knows of one of its runners.
struct ControlledRunner {
    std::string name;
    // The last reported status, or nothing if the runner does not answer.
    std::optional<RunnerStatus> status;
    // When the last command was sent, or nothing if its effect has been observed.
    std::optional<std::chrono::steady_clock::time_point> commandedAt;

    auto operator<=>(const ControlledRunner&) const = default;
};

// Upper bound of the duration of a command.
constexpr auto maxCommandDuration = std::chrono::milliseconds(5'000);

// The next actions of a controller.
struct RolloutPlan {
    // Runners to send a load command to now, in order.
    std::vector<std::string> runnersToLoad;
    // Number of runners that are or may be loading.
    std::size_t loadingCount = 0;
    // Number of runners that answer, are not loading and differ from the row.
    std::size_t outdatedCount = 0;

    bool isDone() const { return loadingCount == 0 && outdatedCount == 0; }
};

// Returns true if the runner has the row's version and adapter and is not loading. A row without a version matches any version.
bool isUpToDate(const RunnerStatus&, const Pool&);

// Plans the next commands. At most `maxConcurrentLoads` runners of the pool load at once, and at least one answering runner
// remains in service unless there is only one. A runner that does not answer is sent no command, but counts as loading while an
// earlier command to it may be running.
RolloutPlan planRollout(const std::vector<ControlledRunner>&, const Pool&, std::chrono::steady_clock::time_point now);

}
