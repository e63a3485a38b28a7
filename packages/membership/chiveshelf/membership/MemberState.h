#pragma once

#include <string_view>

namespace chiveshelf {

enum class MemberState {
    Live,
    Suspect,
    Leaving,
    Gone,
};

// Returns the state in lower case, as it stands in state dumps.
constexpr std::string_view memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Gone:
        return "gone";
    }
    return "gone";
}

}
