#pragma once

#include "chiveshelf/core/Time.h"

#include <cstdint>
#include <deque>

namespace chiveshelf {

// Bounds the retries of all hosts together without messages between them. Each host may retry a share of its own requests, plus its
// part of a reserve that is divided by the number of hosts.
//
// Handles the load pattern "a pool fails and all hosts retry at the same time".
class FleetRetryBudget {
public:
    // All hosts together may make `share` retries per request, plus `reserve` retries, in each `window`.
    FleetRetryBudget(double share, double reserve, std::chrono::milliseconds window);

    void onRequest(TimePoint now);

    // Takes one retry from the budget. Returns false if none is left. `hosts` is the number of known hosts.
    bool take(std::size_t hosts, TimePoint now);

private:
    struct Bucket {
        TimePoint start;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Bucket& currentBucket(TimePoint now);

    double m_share;
    double m_reserve;
    std::chrono::milliseconds m_window;
    std::deque<Bucket> m_buckets;
};

}
