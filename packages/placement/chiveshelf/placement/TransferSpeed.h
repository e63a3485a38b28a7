#pragma once

#include "chiveshelf/core/Time.h"

#include <optional>

namespace chiveshelf {

// Speed of the transfers to a runner or from a store, relative to the nominal speed of its link. Learned from the time to the first
// token of requests that waited for a transfer. Decays to the nominal speed, so that an avoided runner or store is tried again.
//
// Hosts exchange their measurements of stores, since in a large fleet a single host sees too few transfers of a store to detect a
// slow link in time.
//
// Handles the load pattern "the links of a store or of some runners are slow for some seconds".
class TransferSpeed {
public:
    // Returns the factor by which transfers take longer than their nominal time, at least 1.
    double linkSlowdown(TimePoint now) const;

    // Adds a transfer that took `ratio` times its nominal time.
    void learn(double ratio, TimePoint now);

    // Adds a transfer that this host measured itself, and includes it in the next takeMeanMeasurement() for other hosts.
    void addMeasurement(double ratio, TimePoint now);

    // Returns the mean ratio that this host measured since the last call, or nothing if it measured none.
    std::optional<double> takeMeanMeasurement();

private:
    double m_measuredSum = 0;
    int m_measuredCount = 0;
    double m_linkSlowdown = 1;
    TimePoint m_learnedAt {};
};

}
