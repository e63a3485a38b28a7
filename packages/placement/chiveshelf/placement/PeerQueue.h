#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/OutstandingWork.h"

#include <array>

namespace chiveshelf {

// A prompt that another host has just sent to a runner, as reported by that host.
struct PlacedPrompt {
    unsigned priority = 0;
    // Predicted time to prefill the uncached tokens, and to fetch the other parts.
    std::chrono::milliseconds prefill { 0 };
    std::chrono::milliseconds fetch { 0 };
    // Memory for the whole prompt and output, in tokens.
    std::int64_t memoryTokens = 0;

    auto operator<=>(const PlacedPrompt&) const = default;
};

// Prompts that other hosts have sent to a runner, as a queue that drains over time by the predicted durations, since hosts do not
// report the end of a prefill.
//
// Handles the load pattern "many hosts place long prompts at once": load figures as old as the duration of one prefill would make
// several hosts choose the same runner.
class PeerQueue {
public:
    void add(const PlacedPrompt&, TimePoint now);

    // Returns the time in ms until the prompts at least as urgent as `priority` are prefilled.
    double prefillMs(unsigned priority, TimePoint now) const;

    // Returns the time in ms until all prompts are prefilled.
    double totalPrefillMs(TimePoint now) const;

    // Returns the time in ms until all fetches are done.
    double fetchMs(TimePoint now) const;

private:
    // By priority class: end of the prefill of the prompts of that class and of more urgent ones.
    std::array<TimePoint, priorityClassCount> m_prefillEnd {};
    TimePoint m_fetchEnd {};
};

}
