#pragma once

#include "chiveshelf/placement/BackendDirectory.h"
#include "chiveshelf/placement/Placement.h"

namespace chiveshelf {

// Chooses a runner of a service without prompts: the one with the fewest requests per slot.
//
// Handles the load patterns "few slots and short time limits", in which several hosts must not choose the same runner, and "a runner
// fails part of its requests": failures increase the cost of a runner.
class ServicePlacement {
public:
    // Returns the runner with the least cost, or a refusal. `random` is uniform in 0 to 1 and adds jitter to the costs, so that hosts
    // with the same load figures choose different runners.
    PlacementResult choose(const PlacementContext&, const BackendDirectory::RunnerList&, double random) const;

    // Updates the moving average of the service time with that of a completed request.
    void learnServiceTime(std::chrono::milliseconds);

private:
    double m_serviceTimeMs = 50;
};

}
