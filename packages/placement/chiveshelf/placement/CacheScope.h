#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chiveshelf {

// Requests share cached parts within one scope only: one version of a model's weights, and for organisations that are kept
// apart, one organisation.
struct CacheScope {
    std::string model;
    std::uint64_t version = 0;
    // Empty for organisations that share with others.
    std::string organisation;

    auto operator<=>(const CacheScope&) const = default;

    // Returns the text under which runners and stores keep the parts.
    std::string text() const;

    // Returns the scope of a text, or nothing if it is not one of ours.
    static std::optional<CacheScope> parse(std::string_view text);
};

}
