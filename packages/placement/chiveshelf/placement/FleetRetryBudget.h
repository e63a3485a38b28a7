#pragma once

#include "chiveshelf/core/Time.h"

#include <cstdint>
#include <deque>

namespace chiveshelf {

// Bounds the repeats of all hosts together without a message per request: each host takes its share of the fixed part, and a
// share of its own requests.
//
// Answers the load pattern "a pool fails and every host repeats at once".
class FleetRetryBudget {
public:
    // Over each `window`, the fleet may make `share` repeats per request and `reserve` more.
    FleetRetryBudget(double share, double reserve, std::chrono::milliseconds window);

    void onRequest(TimePoint now);

    // Returns false if no repeat may be made now. `hosts` is the number of hosts known.
    bool take(std::size_t hosts, TimePoint now);

private:
    struct Second {
        TimePoint start;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Second& current(TimePoint now);

    double m_share;
    double m_reserve;
    std::chrono::milliseconds m_window;
    std::deque<Second> m_seconds;
};

}
