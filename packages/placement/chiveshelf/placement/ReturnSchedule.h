#pragma once

#include "chiveshelf/core/Time.h"

namespace chiveshelf {

// Spreads the returns of callers that are refused because all runners of a pool are at their limit. Each caller that can wait for its
// turn gets one, so that callers come back at the rate at which the runners take requests, and in the order of their refusal.
class ReturnSchedule {
public:
    // Returns the time after which a refused caller should retry. `wait` is the time until a runner takes a request again,
    // `perSecond` the rate at which callers of this host can return. A caller that would have to wait longer than `longestWait` is told
    // so, but gets no turn, since it will not come back.
    std::chrono::milliseconds next(std::chrono::milliseconds wait, double perSecond, std::chrono::milliseconds longestWait, TimePoint now);

private:
    // When the next turn begins.
    TimePoint m_nextReturnAt {};
};

}
