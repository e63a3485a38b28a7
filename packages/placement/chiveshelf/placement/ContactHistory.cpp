#include "chiveshelf/placement/ContactHistory.h"

#include <algorithm>
#include <utility>

namespace chiveshelf {

void ContactHistory::tick(std::chrono::nanoseconds now)
{
    if (m_lastTick.count() > 0 && now - m_lastTick > stallThreshold) {
        m_gapStart = m_lastTick;
        m_gapEnd = now;
        m_contactStart = now;
    }
    m_lastTick = now;
}

void ContactHistory::onAnswer(std::chrono::nanoseconds now)
{
    // The answer may be processed before the first tick after a stall.
    tick(now);
    if (m_hasFailed) {
        m_gapStart = m_lastAnswer;
        m_gapEnd = now;
    }
    if (m_hasFailed || m_answers == 0)
        m_contactStart = now;
    m_hasFailed = false;
    ++m_answers;
    m_previousAnswer = std::exchange(m_lastAnswer, now);
}

void ContactHistory::onFailure()
{
    m_hasFailed = true;
}

std::optional<ContactSpan<std::chrono::nanoseconds>> ContactHistory::unbrokenContact() const
{
    if (m_hasFailed || m_answers == 0 || m_lastAnswer < m_contactStart)
        return std::nullopt;
    return ContactSpan<std::chrono::nanoseconds> { m_contactStart, m_lastAnswer };
}

std::chrono::nanoseconds ContactHistory::earliestChangeTime(std::chrono::nanoseconds now) const
{
    return m_gapEnd.count() > 0 && now - m_gapEnd <= lateChangeTime ? m_gapStart : now;
}

std::chrono::nanoseconds ContactHistory::earliestMissedChangeTime(std::chrono::nanoseconds now) const
{
    return std::min(m_previousAnswer, earliestChangeTime(now));
}

}
