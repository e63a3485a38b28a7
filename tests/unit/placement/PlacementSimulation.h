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

// Simulates load patterns in virtual time: modelled engines, several hosts that choose runners with the production code, and the
// notices between the hosts. Runs with the same seed give the same results.
namespace simulation {

using chiveshelf::TimePoint;

// Model of the engines: continuous batching, chunked prefill between the decode steps of all streams, and machines that are slow at
// times.
struct EngineModel {
    int count = 6;
    int dataCentres = 1;
    double stepMs = 5;
    double stepMsPerStream = 0.03;
    double tokensPerMs = 50;
    // Factors by which the engines are slower, used in turn.
    std::vector<double> slowness { 1 };
    std::int64_t chunkTokens = 2'048;
    int tokensPerEvent = 4;
    int slots = 48;
    std::int64_t memoryTokens = 51'000;
    double slowShare = 0;
    double slowFactor = 2.5;
    std::chrono::milliseconds slowPeriod { 600 };
    // The first engines of the list, which do not answer in this period.
    int silentCount = 0;
    std::chrono::milliseconds silentFrom { 0 };
    std::chrono::milliseconds silentUntil { 0 };
};

// Requests of one kind. Each request shares one part with the requests of the same conversation.
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
    bool learnsCapacity = false;
};

// Outcomes of the requests of one kind.
struct Outcome {
    int requests = 0;
    int inTime = 0;
    int lateFirstToken = 0;
    int latePause = 0;
    int refused = 0;

    double inTimeShare() const { return requests == 0 ? 1 : static_cast<double>(inTime) / requests; }
    auto operator<=>(const Outcome&) const = default;
};

// Runs a scenario and returns the outcomes of each kind, in the order of the scenario's kinds.
std::vector<Outcome> simulate(const Scenario&);

}
