#pragma once

#include "chiveshelf/core/Address.h"
#include "endtoend/Workload.h"

#include <functional>
#include <vector>

namespace bench {

// Result of a request. Times are in ms, -1 if the event did not occur.
struct Sample {
    chiveshelf::Priority priority = chiveshelf::Priority::Standard;
    bool isLargeOrganisation = false;
    unsigned status = 0;
    bool isComplete = false;
    double firstTokenMs = -1;
    double totalMs = -1;
    double tokenGapMs = -1;
    std::int64_t promptTokens = 0;
    // Prompt tokens read from the runner's cache or imported from a store.
    std::int64_t reusedTokens = 0;
    std::string errorCode;
};

// An action, such as a disturbance, that is executed at a given time after the start of the run.
struct TimedAction {
    std::chrono::milliseconds at { 0 };
    std::function<void()> run;
};

// Sends planned requests to entry hosts like a load balancer: to the hosts of the data centre in turn, and to the next one if a
// host refuses the connection. Returns when all requests have ended.
std::vector<Sample> runLoad(const std::vector<PlannedRequest>&, const std::vector<std::vector<chiveshelf::Address>>& hostsByDataCentre,
    std::vector<TimedAction> actions);

}
