#include "chiveshelf/placement/BackendHealth.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    // Weight of the newest request in the moving average of failures, which covers about the last seven requests.
    constexpr double failureSampleWeight = 0.15;
    // Half-life of the failure share while there are no requests, so that an avoided runner is tried again.
    constexpr double failureHalfLifeMs = 3'000;
    // A silent runner gets one request per this interval to detect its recovery.
    constexpr std::chrono::milliseconds silentRetryInterval { 2'000 };

}

void BackendHealth::onSent(std::chrono::milliseconds predicted, TimePoint now)
{
    if (m_unanswered == 0 || now - m_silentSince > silentRetryInterval + silenceMargin + m_responseAllowance) {
        m_silentSince = now;
        m_responseAllowance = std::chrono::milliseconds(0);
    }
    ++m_unanswered;
    m_responseAllowance = std::max(m_responseAllowance, 2 * predicted);
}

void BackendHealth::onDataReceived(TimePoint now)
{
    m_silentSince = now;
}

void BackendHealth::onEnded(bool isFailure, TimePoint now)
{
    m_unanswered = std::max(m_unanswered - 1, 0);
    m_failureShare = failureShare(now) * (1 - failureSampleWeight) + (isFailure ? failureSampleWeight : 0);
    m_failureAt = now;
    if (!isFailure)
        m_backoff = initialBackoff;
}

void BackendHealth::onAbandoned()
{
    m_unanswered = std::max(m_unanswered - 1, 0);
}

void BackendHealth::onConnectionFailed(TimePoint now)
{
    // Several requests on one lost connection fail together and count as one failure.
    if (now < m_backoffEnd)
        return;
    m_backoffEnd = now + m_backoff;
    m_backoff = std::min(m_backoff * 2, maxBackoff);
}

bool BackendHealth::isUsable(TimePoint now) const
{
    if (now < m_backoffEnd)
        return false;
    if (m_unanswered == 0)
        return true;
    const auto limit = silenceMargin + m_responseAllowance;
    const auto silence = now - m_silentSince;
    return silence <= limit || silence > limit + silentRetryInterval;
}

double BackendHealth::failureShare(TimePoint now) const
{
    if (m_failureShare == 0)
        return 0;
    return m_failureShare * std::exp2(-toMilliseconds(now - m_failureAt) / failureHalfLifeMs);
}

}
