#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace chiveshelf {

// A part of a prompt. Equal ids mean equal text; a part can be reused only if all parts before it are reused too.
struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    auto operator<=>(const PromptPart&) const = default;
};

// A prompt as a scheduler sees it: sizes and identities, without text.
struct Prompt {
    std::string model;
    std::int64_t promptTokens = 0;
    // Most tokens that the answer may have.
    std::int64_t outputTokens = 0;
    // In order. The last part belongs to this request alone.
    std::vector<PromptPart> parts;

    auto operator<=>(const Prompt&) const = default;
};

}
