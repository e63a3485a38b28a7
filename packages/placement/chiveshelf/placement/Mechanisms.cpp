#include "chiveshelf/placement/Mechanisms.h"

#include <algorithm>

namespace chiveshelf {

std::optional<Mechanism> parseMechanism(std::string_view name)
{
    const auto it = std::find(mechanismNames.begin(), mechanismNames.end(), name);
    if (it == mechanismNames.end())
        return std::nullopt;
    return static_cast<Mechanism>(it - mechanismNames.begin());
}

std::string listMechanismNames()
{
    std::string out;
    for (const auto name : mechanismNames)
        out.append(out.empty() ? "" : ", ").append(name);
    return out;
}

}
