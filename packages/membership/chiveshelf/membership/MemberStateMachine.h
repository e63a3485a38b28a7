#pragma once

#include "chiveshelf/membership/MemberState.h"

#include <cstdint>
#include <memory>

namespace chiveshelf {

// The state of one member, as reports about it arrive in any order. A report counts if its incarnation is newer than the
// known one, or if it is equal and the reported state is the later one in the order live, suspect, leaving, gone. Only the
// member itself raises its incarnation, so that only the member can take back a suspicion, a leave or its removal.
class MemberStateMachine {
public:
    MemberStateMachine(MemberState initial, std::uint64_t incarnation);
    ~MemberStateMachine();
    MemberStateMachine(MemberStateMachine&&) noexcept;
    MemberStateMachine& operator=(MemberStateMachine&&) noexcept;
    MemberStateMachine(const MemberStateMachine&) = delete;
    MemberStateMachine& operator=(const MemberStateMachine&) = delete;

    // Takes a report. Returns whether the state or the incarnation changed.
    bool report(MemberState, std::uint64_t incarnation);

    MemberState state() const;
    std::uint64_t incarnation() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
