#include "chiveshelf/placement/AttemptHistory.h"

#include <algorithm>

namespace chiveshelf {

AttemptHistory::AttemptHistory(bool mayRepeat, unsigned runLimit)
    : m_mayRepeat(mayRepeat)
    , m_runLimit(std::max(runLimit, 1U))
{
}

void AttemptHistory::record(Verdict verdict)
{
    ++m_sends;
    if (verdict != Verdict::NotRun)
        ++m_runs;
    m_verdict = std::max(m_verdict, verdict);
}

bool AttemptHistory::maySendAgain() const
{
    if (m_sends >= maxSends)
        return false;
    return m_runs == 0 || (m_mayRepeat && m_runs < m_runLimit);
}

}
