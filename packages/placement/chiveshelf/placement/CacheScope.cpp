#include "chiveshelf/placement/CacheScope.h"

#include <charconv>

namespace chiveshelf {

namespace {

    constexpr char separator = '/';

}

std::string CacheScope::text() const
{
    return "v" + std::to_string(version) + separator + model + separator + organisation;
}

std::optional<CacheScope> CacheScope::parse(std::string_view text)
{
    const auto first = text.find(separator);
    const auto second = first == std::string_view::npos ? first : text.find(separator, first + 1);
    if (second == std::string_view::npos || text.front() != 'v')
        return std::nullopt;
    CacheScope out;
    const auto [end, status] = std::from_chars(text.data() + 1, text.data() + first, out.version);
    if (status != std::errc() || end != text.data() + first)
        return std::nullopt;
    out.model = text.substr(first + 1, second - first - 1);
    out.organisation = text.substr(second + 1);
    return out;
}

}
