#pragma once

#include "chiveshelf/core/Address.h"
#include "chiveshelf/membership/MemberState.h"

#include <string>

namespace chiveshelf {

// A host of the cluster, in this host's view.
struct Member {
    std::string name;
    std::string dataCentre;
    Address peerAddress;
    MemberState state = MemberState::Live;
    // Increases each time the host starts, returns or refutes a suspicion.
    std::uint64_t incarnation = 0;

    auto operator<=>(const Member&) const = default;
};

}
