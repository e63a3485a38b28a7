#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chiveshelf {

// Scope within which requests share cached parts: one version of a model's weights and, for an organisation that does not share
// with others, only that organisation.
struct CacheScope {
    std::string model;
    std::uint64_t version = 0;
    // Empty for organisations that share cached parts with others.
    std::string organisation;

    auto operator<=>(const CacheScope&) const = default;

    // Returns the scope as runners and stores write it in the names of parts.
    std::string text() const;

    // Parses the result of text(). Returns nothing if the text has another form.
    static std::optional<CacheScope> parse(std::string_view text);
};

}
