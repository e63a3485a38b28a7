#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chiveshelf {

// Mechanisms of the choice of a runner. Each can be switched off to measure its effect.
enum class Mechanism : std::uint8_t {
    // Prompts whose parts are not known to be cached prefer the runner that rendezvous hashing selects.
    PreferredRunners,
    // Cached parts are fetched from stores, or from other runners.
    StoreFetches,
    RunnerFetches,
    // Cached parts are saved to stores.
    StoreSaves,
    // Cached parts are computed again if fetching them would exceed the goal of the request.
    SkippedFetches,
    // Prompts avoid engines whose running streams would pause during their prefill.
    PauseCosts,
    // Streams and prompts with a long prefill prefer different engines.
    StreamSeparation,
    // Predictions include the reported slowdown of a runner's machine.
    MachineSlowdowns,
    // Runners with a high share of failed requests get fewer requests.
    FailureShares,
    // Costs get a random jitter, so that hosts with the same load figures choose different runners.
    CostJitter,
    // Hosts notify each other immediately of each placed prompt.
    PromptNotices,
    // Hosts exchange the measured transfer speed of stores.
    StoreSpeedNotices,
    // Hosts of other data centres are notified, too, where cached parts move cheaply between engines.
    WideNotices,
};

constexpr std::array<std::string_view, 13> mechanismNames { "homes", "store-fetches", "runner-fetches", "saving", "reading-instead", "pause-costs",
    "stream-separation", "work-times", "failure-shares", "spread-draws", "prompt-notices", "store-speed-notices", "wide-notices" };

// Set of the mechanisms that are switched on. All are on by default.
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

// Returns the mechanism with this name, or nothing if there is none.
std::optional<Mechanism> parseMechanism(std::string_view name);

// Returns all names, separated by commas.
std::string listMechanismNames();

}
