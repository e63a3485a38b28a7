#pragma once

#include <cstdint>

namespace chiveshelf::peer {

// Request types. The numbers are part of the wire format and are never reused.
enum class MessageType : std::uint16_t {
    Enqueue = 1,
    Finished = 2,
    InFlight = 3,
    PullTables = 4,
    ClaimKey = 5,
    CompleteKey = 6,
    Probe = 7,
    SchedulerReport = 8,
    CancelQueued = 9,
    Preempt = 10,
    // 11 was a request for the text of the routing tables.
    PullStoreChanges = 12,
    PullItems = 13,
    PullTablesPiece = 14,
};

}
