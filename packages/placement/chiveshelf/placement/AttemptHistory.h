#pragma once

#include "chiveshelf/core/Verdict.h"

namespace chiveshelf {

// What became of the sends of one request, and the only place from which a repeat or a refusal is derived.
//
// Answers the load pattern "connections break, answers are lost, runners refuse": a request that must not run twice is sent
// again only after proof that it has not run.
class AttemptHistory {
public:
    // Sends that a request may cost at most, refused ones included, so that a full pool is not asked in turn.
    static constexpr unsigned maxSends = 4;

    // `mayRepeat` tells whether the request may run more than once, `runLimit` on how many runners then.
    AttemptHistory(bool mayRepeat, unsigned runLimit);

    // Records the outcome of one send to a runner. Failed connections, over which nothing was sent, are recorded too.
    void record(Verdict);

    // Whether the request may be sent once more.
    bool maySendAgain() const;

    // The strongest of all outcomes: what a caller may be told.
    Verdict verdict() const { return m_verdict; }

    // Sends so far, and how many of them may have run.
    unsigned sends() const { return m_sends; }
    unsigned runs() const { return m_runs; }

private:
    bool m_mayRepeat;
    unsigned m_runLimit;
    unsigned m_sends = 0;
    unsigned m_runs = 0;
    Verdict m_verdict = Verdict::NotRun;
};

}
