#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chiveshelf {

// The organisation, and the model weights with which the block was computed. Two prompts share a block only if all four fields are equal.
struct BlockIdentity {
    std::string organisation;
    std::string model;
    std::string adapter;
    std::string version;

    auto operator<=>(const BlockIdentity&) const = default;
};

// Default size of a block in tokens.
constexpr std::int64_t defaultBlockTokens = 4'000;

// Estimated bytes of prompt text per token.
constexpr std::size_t estimatedBytesPerToken = 4;

// Returns the keys of the prompt's complete blocks, in prompt order. Each key is a 128-bit hash over the identity, the text of the
// block and the text of all blocks before it, so that equal keys imply equal prefixes of one organisation. `blockBytes` must be
// greater than 0.
std::vector<std::string> computeBlockKeys(const BlockIdentity&, std::string_view prompt, std::size_t blockBytes);

}
