#pragma once

#include "chiveshelf/core/Time.h"

#include <cstdint>

namespace chiveshelf {

// Belief about whether a runner does its work, from what this host's own requests met. Health answers are not asked for:
// they can be wrong either way.
//
// Answers the load patterns "a runner fails a part of its requests", "a runner went silent" and "a runner is down and comes
// back".
class BackendHealth {
public:
    // First pause after a failed connection; it doubles up to `longestPause`.
    static constexpr std::chrono::milliseconds firstPause { 250 };
    static constexpr std::chrono::milliseconds longestPause { 2'000 };
    // Silence on top of twice the predicted time to the first token after which a runner with unanswered requests is avoided.
    // Covers a decode step with a whole chunk of another prompt several times over.
    static constexpr std::chrono::milliseconds silenceMargin { 1'000 };

    // A request was sent that is expected to answer within `predicted`.
    void onSent(std::chrono::milliseconds predicted, TimePoint now);

    // Any byte of any answer arrived.
    void onDataReceived(TimePoint now);

    // A request that had been sent has ended. `isFailure` is true for failures that the runner caused.
    void onEnded(bool isFailure, TimePoint now);

    // A request that had been sent was given up for a reason that says nothing of the runner.
    void onAbandoned();

    // A connection could not be made, or broke together with the request on it.
    void onConnectionFailed(TimePoint now);

    // Whether new work may go there.
    bool isUsable(TimePoint now) const;

    // Share of failures among the recent requests, fading towards 0 without requests.
    double failureShare(TimePoint now) const;

private:
    std::int32_t m_unanswered = 0;
    // Since when nothing was heard although requests wait.
    TimePoint m_silentSince {};
    std::chrono::milliseconds m_allowance { 0 };
    double m_failureShare = 0;
    TimePoint m_failureAt {};
    TimePoint m_pausedUntil {};
    std::chrono::milliseconds m_pause = firstPause;
};

}
