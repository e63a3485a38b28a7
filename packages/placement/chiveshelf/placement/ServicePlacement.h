#pragma once

#include "chiveshelf/placement/BackendDirectory.h"
#include "chiveshelf/placement/Placement.h"

namespace chiveshelf {

// Chooses a runner of a plain service: the one with the least work per slot.
//
// Answers the load patterns "few slots and strict times", where two hosts must not pile onto one runner, and "a runner fails
// part of its requests", which counts as if it were slower.
class ServicePlacement {
public:
    // `random` is uniform in 0 to 1. It breaks near ties, so that hosts with the same figures choose different runners.
    PlacementResult choose(const PlacementContext&, const BackendDirectory::RunnerList&, double random) const;

    // Learns how long a request takes at the runner.
    void learnServiceTime(std::chrono::milliseconds);

private:
    double m_workMs = 50;
};

}
