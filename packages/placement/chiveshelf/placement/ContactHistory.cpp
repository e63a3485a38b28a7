#include "chiveshelf/placement/ContactHistory.h"

namespace chiveshelf {

void ContactHistory::tick(std::chrono::nanoseconds now)
{
    if (m_lastTick.count() > 0 && now - m_lastTick > stallTime) {
        m_blindFrom = m_lastTick;
        m_blindTo = now;
    }
    m_lastTick = now;
}

void ContactHistory::onAnswer(std::chrono::nanoseconds now)
{
    // The answer may be the first thing that a process does after it stood still.
    tick(now);
    if (m_hasFailed) {
        m_blindFrom = m_lastAnswer;
        m_blindTo = now;
    }
    m_hasFailed = false;
    ++m_answers;
    m_lastAnswer = now;
}

void ContactHistory::onFailure()
{
    m_hasFailed = true;
}

std::chrono::nanoseconds ContactHistory::earliestChangeTime(std::chrono::nanoseconds now) const
{
    return m_blindTo.count() > 0 && now - m_blindTo <= lateNewsTime ? m_blindFrom : now;
}

}
