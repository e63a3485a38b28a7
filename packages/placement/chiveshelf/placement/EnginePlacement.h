#pragma once

#include "chiveshelf/placement/BackendBoard.h"
#include "chiveshelf/placement/Placement.h"
#include "chiveshelf/routing/Prompt.h"

#include <optional>

namespace chiveshelf {

// A prompt that wants a model runner.
struct EngineRequest {
    const Prompt* prompt = nullptr;
    // Prompts of different scopes share no cached parts.
    std::uint64_t scope = 0;
    unsigned rank = 0;
    // The newest version that the operator wants, and since when this host knows; 0 if none was named.
    std::uint64_t targetVersion = 0;
    TimePoint targetSince {};
};

// Chooses a model runner by the earliest predicted first token and the least prompt to be read.
//
// A model of the engine: prompts are read one after another, more urgent ones first, at a speed learned from answers; less
// urgent prompts delay by the chunk in progress; requests beyond the slots or the memory wait for others to end.
//
// Answers the load patterns "returning prompts with long shared parts", "a burst of long cheap prompts" (refused once their
// first token would be late, so that those admitted are in time), "a burst of short urgent prompts" (which wait only for
// their like), and "a quarter of the runners vanish" (the same rule over fewer runners).
class EnginePlacement {
public:
    // `versionGrace` is the time after the naming of a version in which older weights may still be used.
    EnginePlacement(std::chrono::milliseconds versionGrace, unsigned slots);

    // `random` is uniform in 0 to 1 and spreads the returns of refused callers.
    PlacementResult choose(const EngineRequest&, const PlacementContext&, const BackendBoard::RunnerList&, double random) const;

    // Records that a placement was made, here or on another host, so that later prompts find the parts.
    static void recordParts(BackendState&, const std::vector<PromptPart>&, std::uint64_t scope);

    // Learns the runner's speed from the measured first token of a placement that is a sample of it.
    static void learnSpeed(BackendState&, const Placement&, std::chrono::milliseconds firstToken);

private:
    struct Prediction {
        double firstMs = 0;
        double waitMs = 0;
        double readMs = 0;
        std::int64_t uncachedTokens = 0;
        bool isIdle = false;
    };

    Prediction predict(const EngineRequest&, const BackendState&, TimePoint now, double fallbackSpeed) const;
    bool isCandidate(const EngineRequest&, const PlacementContext&, const BackendState&) const;

    std::chrono::milliseconds m_versionGrace;
    unsigned m_slots;
};

}
