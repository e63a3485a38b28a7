#include "chiveshelf/gateway/RunnerUse.h"

namespace chiveshelf {

RunnerUse::RunnerUse(const Placement& placement, TimePoint now)
    : m_placement(placement)
    , m_work(placement.work)
    , m_sentAt(now)
    , m_writtenAt(now)
{
    runner().addWork(m_work);
    runner().health().onSent(placement.predicted, now);
}

RunnerUse::~RunnerUse()
{
    runner().removeWork(m_work);
    if (!m_hasEnded)
        runner().health().onAbandoned();
}

std::chrono::milliseconds RunnerUse::recordFirstByte(TimePoint now)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_sentAt);
    if (m_firstByteAt)
        return elapsed;
    m_firstByteAt = now;
    OutstandingWork finished;
    finished.prefillTokens = std::exchange(m_work.prefillTokens, {});
    finished.fetchTokens = std::exchange(m_work.fetchTokens, 0);
    runner().removeWork(finished);
    return elapsed;
}

void RunnerUse::end(bool isFailure, TimePoint now)
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    runner().health().onEnded(isFailure, now);
}

}
