#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/membership/MemberState.h"

#include <string>

namespace chiveshelf {

// A host as this host knows it.
struct Member {
    std::string name;
    std::string dataCentre;
    Address peerAddress;
    MemberState state = MemberState::Live;
    // Grows each time the host starts or refutes a suspicion.
    std::uint64_t incarnation = 0;

    auto operator<=>(const Member&) const = default;
};

}
