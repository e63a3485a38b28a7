#pragma once

#include "chiveshelf/core/Time.h"

#include <cstdint>

namespace chiveshelf {

// Health of one runner, derived from the outcomes of this host's own requests. Health check endpoints are not used, since a
// runner can report healthy while its requests fail, and the reverse.
//
// Handles the load patterns "a runner fails a part of its requests", "a runner stops sending data" and "a runner fails and
// recovers".
class BackendHealth {
public:
    // Time without new requests after a failed connection. It doubles with each further failure up to `maxBackoff`.
    static constexpr std::chrono::milliseconds initialBackoff { 250 };
    static constexpr std::chrono::milliseconds maxBackoff { 2'000 };
    // A runner with unanswered requests is avoided once it sent no data for this time plus twice the predicted time to the first
    // token. The margin covers several decode steps that each include a whole chunk of another prompt.
    static constexpr std::chrono::milliseconds silenceMargin { 1'000 };

    // Records that a request was sent whose first token is expected within `predicted`.
    void onSent(std::chrono::milliseconds predicted, TimePoint now);

    // Records that data of any answer arrived.
    void onDataReceived(TimePoint now);

    // Records the end of a sent request. `isFailure` is true for failures that the runner caused.
    void onEnded(bool isFailure, TimePoint now);

    // Records that a sent request was cancelled for a reason unrelated to the runner's health.
    void onAbandoned();

    // Records that a connection could not be established, or was lost during a request.
    void onConnectionFailed(TimePoint now);

    // Returns whether the runner may get new requests.
    bool isUsable(TimePoint now) const;

    // Returns the share of failures among recent requests, from 0 to 1. It decays to 0 while there are no requests.
    double failureShare(TimePoint now) const;

private:
    std::int32_t m_unanswered = 0;
    // Time of the last data from the runner, or of the first unanswered request if that is later.
    TimePoint m_silentSince {};
    std::chrono::milliseconds m_responseAllowance { 0 };
    double m_failureShare = 0;
    TimePoint m_failureAt {};
    TimePoint m_backoffEnd {};
    std::chrono::milliseconds m_backoff = initialBackoff;
};

}
