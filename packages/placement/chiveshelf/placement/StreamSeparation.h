#pragma once

#include "chiveshelf/placement/BackendDirectory.h"

#include <vector>

namespace chiveshelf {

// What a prompt does to the streams beside it, and what it suffers itself, on one engine.
struct StreamEffect {
    // Chance from 0 to 1 that reading the prompt makes the streams beside it pause for too long.
    double pauseRisk = 0;
    // How much of a stream's usual length the prompt's own stream lasts, at most 1.
    double exposure = 0;

    auto operator<=>(const StreamEffect&) const = default;
};

// Keeps streams away from the engines that read long prompts.
//
// An engine reads prompts between the tokens of its streams. A prompt that takes long to read makes them all pause, above all on a
// machine that is slow at that moment. So in each data centre some engines are preferred for streams and the others for prompts
// that take long to read, in the proportion of the work that both bring. The order of the engines is the same on all hosts. It
// is a preference: work that would wait for longer than it is worth goes to the other engines, and nothing is set apart while no
// prompt takes long enough to make a stream pause.
//
// Answers the load pattern "many short prompts with long answers beside long prompts, on machines shared with others".
class StreamSeparation {
public:
    // For each engine of a list, the share from 0 to 1 in which it is preferred for streams.
    using StreamShares = std::vector<double>;

    // Returns what a prompt does that takes `readMs` to read on a machine of usual speed. `slowdown` is the factor by which
    // machines of the pool get slower at times.
    StreamEffect effect(double readMs, std::int64_t outputTokens, double slowdown, std::chrono::milliseconds longestPause) const;

    // Returns the cost in ms of a prompt on an engine that is preferred for streams in this share.
    static double cost(const StreamEffect&, double streamShare);

    // Records a prompt that was sent.
    void learn(const StreamEffect&, double readMs, std::int64_t outputTokens, TimePoint now);

    // Returns the share of each engine, in the order of the list.
    StreamShares shares(const BackendDirectory::RunnerList&) const;

private:
    // Work of the last seconds: ms to read prompts that streams wait for, and ms to read those of streams.
    double m_longReadMs = 0;
    double m_streamReadMs = 0;
    double m_outputTokens = 0;
    double m_prompts = 0;
    TimePoint m_learnedAt {};
};

}
