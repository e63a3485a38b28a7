#pragma once

#include "chiveshelf/placement/EnginePlacement.h"

#include <array>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

// Plays load patterns in virtual time: engines as a model, several hosts with the real choice of runners, and what they tell
// each other. Each seed repeats.
namespace replay {

using chiveshelf::TimePoint;

// Model engines: continuous batches, prompts read in chunks between the tokens of all streams, machines that are slow at times.
struct EngineModel {
    int count = 6;
    int dataCentres = 1;
    double stepMs = 5;
    double stepMsPerStream = 0.03;
    double tokensPerMs = 50;
    std::int64_t chunkTokens = 2'048;
    int tokensPerEvent = 4;
    int slots = 48;
    std::int64_t memoryTokens = 51'000;
    double slowShare = 0;
    double slowFactor = 2.5;
    std::chrono::milliseconds slowSpell { 600 };
    // Engines that answer nothing in this time, the first of the list.
    int silentCount = 0;
    std::chrono::milliseconds silentFrom { 0 };
    std::chrono::milliseconds silentUntil { 0 };
};

// Requests of one kind. Each has one part that it shares with those of the same conversation.
struct RequestKind {
    std::string name;
    double perSecond = 0;
    int conversations = 1;
    std::int64_t sharedTokens = 0;
    std::int64_t ownTokens = 0;
    std::int64_t outputTokens = 0;
    unsigned priority = 3;
    std::chrono::milliseconds goal { 400 };
    std::chrono::milliseconds longestPause { 300 };
    std::chrono::milliseconds timeLimit { 10'000 };
};

struct Scenario {
    EngineModel engines;
    std::vector<RequestKind> kinds;
    int hosts = 3;
    std::chrono::milliseconds length { 20'000 };
    std::uint64_t seed = 1;
    chiveshelf::Mechanisms mechanisms;
};

// What the callers of one kind got.
struct Outcome {
    int asked = 0;
    int inTime = 0;
    int lateFirst = 0;
    int latePause = 0;
    int refused = 0;

    double inTimeShare() const { return asked == 0 ? 1 : static_cast<double>(inTime) / asked; }
    auto operator<=>(const Outcome&) const = default;
};

// Returns what the callers of each kind got, in the order of the scenario's kinds.
std::vector<Outcome> play(const Scenario&);

}
