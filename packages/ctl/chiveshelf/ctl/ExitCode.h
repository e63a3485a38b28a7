#pragma once

namespace chiveshelf {

// Exit codes of chivesctl, documented in docs/OPERATIONS.md.
enum class ExitCode : int {
    Success = 0,
    Failed = 1,
    Usage = 2,
    InvalidTables = 3,
    Conflict = 4,
    Unavailable = 5,
    Differs = 6,
    NotInForce = 7,
    OutcomeUnknown = 8,
};

}
