#pragma once

#include "chiveshelf/placement/BackendDirectory.h"
#include "chiveshelf/placement/Placement.h"

namespace chiveshelf {

// Chooses a runner of a service without prompts: the one with the fewest requests per slot, or, if the capacity of runners is learned,
// the one with the least expected time.
//
// Handles the load patterns "few slots and short time limits", in which several hosts must not choose the same runner, and "a runner
// fails part of its requests": failures increase the cost of a runner. With learned capacities also "runners of one pool differ in
// speed", see RunnerCapacity.
class ServicePlacement {
public:
    // `learnsCapacity` tells whether the choice depends on learned capacities instead of slots.
    explicit ServicePlacement(bool learnsCapacity = false)
        : m_learnsCapacity(learnsCapacity)
    {
    }

    // Returns the runner with the least cost, or a refusal. `random` is uniform in 0 to 1 and adds jitter to the costs, so that hosts
    // with the same load figures choose different runners.
    PlacementResult choose(const PlacementContext&, const BackendDirectory::RunnerList&, double random) const;

    // Updates the moving average of the service time with that of a completed request.
    void learnServiceTime(std::chrono::milliseconds);

    // Adds a successful request to the learned capacity of its runner, if its placement asks for that.
    static void learnCapacity(const Placement&, TimePoint::duration serviceTime, TimePoint now);

    // Returns the mean of the learned times of the runners, or `fallback` if there are none.
    static double referenceMs(const BackendDirectory::RunnerList&, double fallback);

private:
    // Cost of a runner in units of the service time, and the predicted times. `expectedMs` is without the wait.
    struct Estimate {
        double cost = 0;
        double waitMs = 0;
        double expectedMs = 0;
    };

    Estimate estimateBySlots(const BackendState&, TimePoint now) const;
    static Estimate estimateByCapacity(const BackendState&, double referenceMs, TimePoint now);
    // Returns whether the next sample of a slow runner is due, and the runner has no request whose end would give one.
    static bool isProbeDue(const BackendState&, double expectedMs, double referenceMs, TimePoint now);

    bool m_learnsCapacity;
    double m_serviceTimeMs = 50;
};

}
