#pragma once

#include "chiveshelf/membership/MemberState.h"

#include <cstdint>
#include <memory>

namespace chiveshelf {

// The state of one member, merged from reports that may arrive in any order. A report is applied if its incarnation is higher
// than the known one, or if the incarnations are equal and the reported state comes later in the order Live, Suspect, Leaving,
// Gone. Only the member itself raises its incarnation, so only the member can revoke a suspicion, a leave or its removal.
class MemberStateMachine {
public:
    MemberStateMachine(MemberState initial, std::uint64_t incarnation);
    ~MemberStateMachine();
    MemberStateMachine(MemberStateMachine&&) noexcept;
    MemberStateMachine& operator=(MemberStateMachine&&) noexcept;
    MemberStateMachine(const MemberStateMachine&) = delete;
    MemberStateMachine& operator=(const MemberStateMachine&) = delete;

    // Applies a report. Returns true if the state or the incarnation changed.
    bool report(MemberState, std::uint64_t incarnation);

    MemberState state() const;
    std::uint64_t incarnation() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
