#pragma once

#include "chiveshelf/core/Time.h"

namespace chiveshelf {

// How much slower than its link's nominal speed transfers to or from a place are, learned from first tokens that waited for
// them. Fades to the nominal speed, so that a place that was avoided is tried again.
//
// Answers the load pattern "the links of a store or of some runners turn slow for seconds".
class TransferSpeed {
public:
    // Returns the factor on the nominal time, 1 at least.
    double slowness(TimePoint now) const;

    // Learns from a transfer whose measured time was `ratio` times the nominal one.
    void learn(double ratio, TimePoint now);

private:
    double m_slowness = 1;
    TimePoint m_learnedAt {};
};

}
