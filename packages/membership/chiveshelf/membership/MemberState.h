#pragma once

#include <string_view>

namespace chiveshelf {

enum class MemberState {
    Live,
    // Did not answer direct and indirect probes, and may still refute the suspicion.
    Suspect,
    // Finishes accepted work and accepts no new work.
    Leaving,
    // Stopped, or did not refute a suspicion in time.
    Gone,
};

// Returns the state's name in lower case, as written to state dumps.
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
