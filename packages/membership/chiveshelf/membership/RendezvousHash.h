#pragma once

#include "chiveshelf/membership/Member.h"

#include <string>
#include <string_view>
#include <vector>

namespace chiveshelf {

// Returns the names sorted by their rendezvous score for `key`, best first.
std::vector<std::string> rankByRendezvous(std::string_view key, std::vector<std::string> names);

// Returns the member with the best rendezvous score for `key`, or nullptr if all members are Gone. Suspect members are eligible,
// since a suspicion is refuted or confirmed within seconds and a refuted one would move each role twice. Leaving members are
// chosen only if there is no other, because the work accepted by the last host of a data centre still needs an owner.
const Member* ownerOf(std::string_view key, const std::vector<Member>& members);

}
