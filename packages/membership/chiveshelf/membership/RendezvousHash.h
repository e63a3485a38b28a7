#pragma once

#include "chiveshelf/membership/Member.h"

#include <string>
#include <string_view>
#include <vector>

namespace chiveshelf {

// Returns the names ordered by their rendezvous score for `key`, best first.
std::vector<std::string> rankByRendezvous(std::string_view key, std::vector<std::string> names);

// Returns the member with the best score for `key` among those that take new work, or nullptr if there is none. Suspect
// members count: a suspicion is refuted or confirmed within seconds, and moving roles at once would move them back.
// Leaving members count only if there is no other: what the last host of a data centre has accepted still needs an owner.
const Member* ownerOf(std::string_view key, const std::vector<Member>& members);

}
