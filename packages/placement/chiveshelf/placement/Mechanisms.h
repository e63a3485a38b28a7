#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chiveshelf {

// Mechanisms of the choice of runners that can be switched off, to measure what each is worth.
enum class Mechanism : std::uint8_t {
    // One runner is preferred for parts that no host remembers.
    Homes,
    // Parts are fetched from stores, and from other runners.
    StoreFetches,
    RunnerFetches,
    // Parts are saved to stores.
    Saving,
    // Parts are read where fetching them would be late.
    ReadingInstead,
    // Prompts keep away from engines whose streams they would make pause.
    PauseCosts,
    // Streams and prompts that take long to read are kept apart.
    StreamSeparation,
    // Less is expected of a runner whose machine is slow at the moment.
    WorkTimes,
    // Runners that fail part of their requests get fewer.
    FailureShares,
    // Hosts with the same figures choose differently.
    SpreadDraws,
    // Hosts tell each other at once of each prompt.
    PromptNotices,
    // Hosts tell each other how slow transfers of stores are.
    StoreSpeedNotices,
};

constexpr std::array<std::string_view, 12> mechanismNames { "homes", "store-fetches", "runner-fetches", "saving", "reading-instead", "pause-costs",
    "stream-separation", "work-times", "failure-shares", "spread-draws", "prompt-notices", "store-speed-notices" };

// The mechanisms that are on.
class Mechanisms {
public:
    bool has(Mechanism mechanism) const { return (m_off & bit(mechanism)) == 0; }

    Mechanisms without(Mechanism mechanism) const
    {
        Mechanisms out = *this;
        out.m_off |= bit(mechanism);
        return out;
    }

    auto operator<=>(const Mechanisms&) const = default;

private:
    static constexpr std::uint32_t bit(Mechanism mechanism) { return 1U << static_cast<unsigned>(mechanism); }

    std::uint32_t m_off = 0;
};

// Returns the mechanism of this name, or nothing.
std::optional<Mechanism> parseMechanism(std::string_view name);

// Returns all names, separated by commas.
std::string listMechanismNames();

}
