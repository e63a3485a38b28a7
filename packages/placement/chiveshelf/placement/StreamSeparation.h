#pragma once

#include "chiveshelf/placement/BackendDirectory.h"

#include <vector>

namespace chiveshelf {

// Effect of a prompt on the other streams of an engine, and of their pauses on the prompt's own stream.
struct StreamEffect {
    // Probability from 0 to 1 that the prefill of the prompt pauses other streams for too long.
    double pauseRisk = 0;
    // Length of the prompt's own stream relative to the mean length of streams, at most 1. A longer stream is exposed to more pauses.
    double relativeStreamLength = 0;

    auto operator<=>(const StreamEffect&) const = default;
};

// Separates streams from prompts with a long prefill.
//
// An engine prefills prompts between the decode steps of its streams. A long prefill pauses all streams of the engine, especially
// on a machine that is slow at the moment. Therefore some engines of each data centre are preferred for streams and the others for
// prompts with a long prefill, in proportion to the work of both. All hosts use the same order of engines. It is only a preference:
// requests that would wait too long use the other engines, and the engines are not divided while no prefill is long enough to pause
// a stream.
//
// Handles the load pattern "many short prompts with long answers beside long prompts, on machines shared with others".
class StreamSeparation {
public:
    // For each engine of a list, its preference from 0 (long prompts) to 1 (streams).
    using StreamShares = std::vector<double>;

    // Returns the effect of a prompt whose prefill takes `prefillMs` on a machine of usual speed. `slowdown` is the factor by which
    // machines of the pool are slower at times. `longestPause` is the longest acceptable pause of a stream; 0 disables the separation.
    StreamEffect effect(double prefillMs, std::int64_t outputTokens, double slowdown, std::chrono::milliseconds longestPause) const;

    // Returns the cost in ms of a prompt on an engine with this share for streams.
    static double cost(const StreamEffect&, double streamShare);

    // Records a sent prompt.
    void learn(const StreamEffect&, double prefillMs, std::int64_t outputTokens, TimePoint now);

    // Returns the share of each engine for streams, in the order of the list.
    StreamShares shares(const BackendDirectory::RunnerList&) const;

private:
    // Decaying sums of the recorded work: prefill time in ms of long prompts and of streams, output tokens and number of prompts.
    double m_longPrefillMs = 0;
    double m_streamPrefillMs = 0;
    double m_outputTokens = 0;
    double m_prompts = 0;
    TimePoint m_learnedAt {};
};

}
