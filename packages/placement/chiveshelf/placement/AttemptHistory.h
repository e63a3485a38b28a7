#pragma once

#include "chiveshelf/core/Verdict.h"

namespace chiveshelf {

// Outcomes of all attempts to send one request to a runner. Decides whether the request may be retried.
//
// Handles the load pattern "connections break, answers are lost, runners refuse": a request that must not run twice is retried
// only if every attempt so far is known not to have run.
class AttemptHistory {
public:
    // Maximum number of sends per request, refused ones included. Keeps a request from being offered to every runner of a full
    // pool.
    static constexpr unsigned maxSends = 4;

    // `mayRepeat` is true if the request may run more than once. `runLimit` is the maximum number of runs in that case.
    AttemptHistory(bool mayRepeat, unsigned runLimit);

    // Records the outcome of one send to a runner, including connections that failed before anything was sent.
    void record(Verdict);

    // Returns whether the request may be sent once more.
    bool maySendAgain() const;

    // Returns the strongest of all outcomes, from which the answer to the caller is derived.
    Verdict verdict() const { return m_verdict; }

    // Number of sends so far, and of those that ran or may have run.
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
