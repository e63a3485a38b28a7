#pragma once

#include "chiveshelf/core/Time.h"
#include "chiveshelf/placement/OutstandingWork.h"

#include <array>

namespace chiveshelf {

// What a host tells of a prompt that it has just sent to a runner.
struct PlacedPrompt {
    unsigned priority = 0;
    // Predicted time to read what has to be read, and to fetch the rest.
    std::chrono::milliseconds prefill { 0 };
    std::chrono::milliseconds fetch { 0 };
    // Memory that the request needs in full, in tokens.
    std::int64_t memoryTokens = 0;

    auto operator<=>(const PlacedPrompt&) const = default;
};

// The prompts that other hosts have sent to a runner, as a queue that drains with time: nobody tells when a prompt has been read.
//
// Answers the load pattern "many hosts place long prompts at once", in which figures that are as old as a prompt takes to read
// make several hosts choose the same runner.
class PeerQueue {
public:
    void add(const PlacedPrompt&, TimePoint now);

    // Returns the time until prompts of this priority and more urgent ones are read, in ms.
    double prefillMs(unsigned priority, TimePoint now) const;

    // Returns the same for all prompts.
    double totalPrefillMs(TimePoint now) const;

    // Returns the time until all fetches are done, in ms.
    double fetchMs(TimePoint now) const;

private:
    // By priority class: when the prompts of that class and more urgent ones are read.
    std::array<TimePoint, priorityClassCount> m_readAt {};
    TimePoint m_fetchedAt {};
};

}
