#pragma once

#include "chiveshelf/core/Time.h"

#include <optional>

namespace chiveshelf {

// How much slower than its link's nominal speed transfers to or from a place are, learned from first tokens that waited for
// them. Fades to the nominal speed, so that a place that was avoided is tried again.
//
// Hosts tell each other what they measure of stores: in a large fleet one host alone sees too few transfers of a store to notice in time.
//
// Answers the load pattern "the links of a store or of some runners turn slow for seconds".
class TransferSpeed {
public:
    // Returns the factor on the nominal time, 1 at least.
    double slowness(TimePoint now) const;

    // Learns from a transfer whose measured time was `ratio` times the nominal one.
    void learn(double ratio, TimePoint now);

    // Learns from a transfer that this host measured itself, and keeps it for the others.
    void measure(double ratio, TimePoint now);

    // Returns the mean of what this host has measured since the last call, or nothing.
    std::optional<double> takeMeasured();

private:
    double m_measuredSum = 0;
    int m_measuredCount = 0;
    double m_slowness = 1;
    TimePoint m_learnedAt {};
};

}
