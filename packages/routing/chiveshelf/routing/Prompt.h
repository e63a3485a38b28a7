#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace chiveshelf {

// A part of a prompt. Parts with equal ids have equal text. The cached data of a part can be reused only together with that of
// all parts before it.
struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;

    auto operator<=>(const PromptPart&) const = default;
};

// The sizes and part ids of a prompt, without its text. Used to choose the runner of a request.
struct Prompt {
    std::string model;
    std::int64_t promptTokens = 0;
    // Maximum number of tokens of the response.
    std::int64_t outputTokens = 0;
    // In the order of the prompt. The last part is never shared with other requests.
    std::vector<PromptPart> parts;

    auto operator<=>(const Prompt&) const = default;
};

}
