#pragma once

#include "chiveshelf/placement/Placement.h"

namespace chiveshelf {

// A request's use of a runner, from the send to its end. Keeps the runner's figures right on every way out.
class RunnerUse {
public:
    RunnerUse(const Placement&, TimePoint now);
    ~RunnerUse();
    RunnerUse(const RunnerUse&) = delete;
    RunnerUse& operator=(const RunnerUse&) = delete;

    // The first byte of the answer proper arrived: the prompt has been read. Returns the time since the send.
    std::chrono::milliseconds firstByte(TimePoint now);
    bool hasFirstByte() const { return m_hasFirstByte; }

    // The request ended by the runner's doing.
    void end(bool isFailure, TimePoint now);

    BackendState& runner() { return *m_placement.runner; }
    const Placement& placement() const { return m_placement; }

private:
    Placement m_placement;
    OutstandingWork m_work;
    TimePoint m_sentAt;
    bool m_hasFirstByte = false;
    bool m_hasEnded = false;
};

}
