#pragma once

#include "chiveshelf/core/Address.h"
#include "endtoend/Workload.h"

#include <functional>
#include <vector>

namespace bench {

// What became of one request. Times in ms; -1 if not reached.
struct Sample {
    chiveshelf::Priority priority = chiveshelf::Priority::Standard;
    bool isLargeOrganisation = false;
    unsigned status = 0;
    bool isComplete = false;
    double firstTokenMs = -1;
    double totalMs = -1;
    double tokenGapMs = -1;
    std::int64_t promptTokens = 0;
    // Prompt tokens that came from the runner's cache or from a store.
    std::int64_t reusedTokens = 0;
    std::string errorCode;
};

// An action at a time of the run, for disturbances.
struct TimedAction {
    std::chrono::milliseconds at { 0 };
    std::function<void()> run;
};

// Sends planned requests to entry hosts as a balancer would: hosts of the data centre in turn, another one when a host
// refuses the connection. Returns when all have ended.
std::vector<Sample> runLoad(const std::vector<PlannedRequest>&, const std::vector<std::vector<chiveshelf::Address>>& hostsByDataCentre,
    std::vector<TimedAction> actions);

}
