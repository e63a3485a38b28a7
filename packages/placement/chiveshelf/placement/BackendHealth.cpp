#include "chiveshelf/placement/BackendHealth.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    // Weight of the newest request in the share of failures: about the last seven requests count.
    constexpr double failureWeight = 0.15;
    // Time in which the share halves without news, so that a runner that was avoided is tried again.
    constexpr double failureHalfLifeMs = 3'000;
    // A silent runner is tried again with one request per this time.
    constexpr std::chrono::milliseconds silentRetry { 2'000 };

}

void BackendHealth::onSent(std::chrono::milliseconds predicted, TimePoint now)
{
    if (m_unanswered == 0 || now - m_silentSince > silentRetry + silenceMargin + m_allowance) {
        m_silentSince = now;
        m_allowance = std::chrono::milliseconds(0);
    }
    ++m_unanswered;
    m_allowance = std::max(m_allowance, 2 * predicted);
}

void BackendHealth::onDataReceived(TimePoint now)
{
    m_silentSince = now;
}

void BackendHealth::onEnded(bool isFailure, TimePoint now)
{
    m_unanswered = std::max(m_unanswered - 1, 0);
    m_failureShare = failureShare(now) * (1 - failureWeight) + (isFailure ? failureWeight : 0);
    m_failureAt = now;
    if (!isFailure)
        m_pause = firstPause;
}

void BackendHealth::onAbandoned()
{
    m_unanswered = std::max(m_unanswered - 1, 0);
}

void BackendHealth::onConnectionFailed(TimePoint now)
{
    // Requests that fail together count once.
    if (now < m_pausedUntil)
        return;
    m_pausedUntil = now + m_pause;
    m_pause = std::min(m_pause * 2, longestPause);
}

bool BackendHealth::isUsable(TimePoint now) const
{
    if (now < m_pausedUntil)
        return false;
    if (m_unanswered == 0)
        return true;
    const auto limit = silenceMargin + m_allowance;
    const auto silence = now - m_silentSince;
    return silence <= limit || silence > limit + silentRetry;
}

double BackendHealth::failureShare(TimePoint now) const
{
    if (m_failureShare == 0)
        return 0;
    return m_failureShare * std::exp2(-toMilliseconds(now - m_failureAt) / failureHalfLifeMs);
}

}
