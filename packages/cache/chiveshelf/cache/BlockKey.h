#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chiveshelf {

// Whose blocks they are. Two prompts share a block only if all four are equal.
struct BlockIdentity {
    std::string organisation;
    std::string model;
    std::string adapter;
    std::string version;

    auto operator<=>(const BlockIdentity&) const = default;
};

// Tokens of a block unless a setting says otherwise.
constexpr std::int64_t defaultBlockTokens = 4'000;

// Estimated bytes of text for each token.
constexpr std::size_t estimatedBytesPerToken = 4;

// Returns the keys of the prompt's whole blocks, first block first. Each key is a 128-bit hash over the identity and the text
// of the block and of all blocks before it, so that equal keys mean equal prefixes of one organisation. `blockBytes` is above 0.
std::vector<std::string> computeBlockKeys(const BlockIdentity&, std::string_view prompt, std::size_t blockBytes);

}
