#pragma once

#include "chiveshelf/placement/Placement.h"

#include <utility>

namespace chiveshelf {

// Accounts for one request at a runner, from the send to its end. The destructor removes the request's outstanding work from the
// runner on every exit path.
class RunnerUse {
public:
    RunnerUse(const Placement&, TimePoint now);
    ~RunnerUse();
    RunnerUse(const RunnerUse&) = delete;
    RunnerUse& operator=(const RunnerUse&) = delete;

    // Records the first byte of the final response, which means that the runner has processed the prompt. Returns the time since the
    // send.
    std::chrono::milliseconds recordFirstByte(TimePoint now);
    bool hasFirstByte() const { return m_firstByteAt.has_value(); }
    // Time of the first byte, or of the send if there was none.
    TimePoint firstByteAt() const { return m_firstByteAt.value_or(m_sentAt); }
    // Whether the response had begun at least this long before `now`.
    bool isAnswering(std::chrono::milliseconds duration, TimePoint now) const { return m_firstByteAt && now - *m_firstByteAt >= duration; }

    // Records that the request got an answer. Returns whether it had none before.
    bool recordAnswer() { return !std::exchange(m_hasAnswer, true); }

    // Records that the runner ended the request, with a response or a failure. If this is not called, the request counts as
    // abandoned.
    void end(bool isFailure, TimePoint now);

    TimePoint sentAt() const { return m_sentAt; }

    // Records that the request has left this host. Until then, writtenAt() is the time of the send.
    void recordWritten(TimePoint now) { m_writtenAt = now; }
    TimePoint writtenAt() const { return m_writtenAt; }

    BackendState& runner() { return *m_placement.runner; }
    const Placement& placement() const { return m_placement; }

private:
    Placement m_placement;
    OutstandingWork m_work;
    TimePoint m_sentAt;
    TimePoint m_writtenAt;
    std::optional<TimePoint> m_firstByteAt;
    bool m_hasAnswer = false;
    bool m_hasEnded = false;
};

}
