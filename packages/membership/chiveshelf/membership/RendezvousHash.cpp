#include "chiveshelf/membership/RendezvousHash.h"

#include "chiveshelf/core/Hash.h"

#include <algorithm>

namespace chiveshelf {

std::vector<std::string> rankByRendezvous(std::string_view key, std::vector<std::string> names)
{
    const auto keyHash = hash64(key);
    std::sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
        const auto scoreA = hash64(a, keyHash);
        const auto scoreB = hash64(b, keyHash);
        return scoreA != scoreB ? scoreA > scoreB : a < b;
    });
    return names;
}

const Member* ownerOf(std::string_view key, const std::vector<Member>& members)
{
    const auto keyHash = hash64(key);
    const Member* best = nullptr;
    const Member* bestLeaving = nullptr;
    const auto isBetter = [&](const Member& member, const Member* than) {
        if (!than)
            return true;
        const auto score = hash64(member.name, keyHash);
        const auto otherScore = hash64(than->name, keyHash);
        return score != otherScore ? score > otherScore : member.name < than->name;
    };
    for (const auto& member : members) {
        const bool acceptsNewWork = member.state == MemberState::Live || member.state == MemberState::Suspect;
        auto& slot = acceptsNewWork ? best : bestLeaving;
        if (member.state != MemberState::Gone && isBetter(member, slot))
            slot = &member;
    }
    return best ? best : bestLeaving;
}

}
