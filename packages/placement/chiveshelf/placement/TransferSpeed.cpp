#include "chiveshelf/placement/TransferSpeed.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    // Weight of the newest transfer in the moving average.
    constexpr double sampleWeight = 0.3;
    // Half-life of the excess over the nominal time.
    constexpr double halfLifeMs = 2'500;
    // Upper bound of a single sample, since a long wait can have other causes than a slow link.
    constexpr double maxLinkSlowdown = 20;

}

double TransferSpeed::linkSlowdown(TimePoint now) const
{
    if (m_linkSlowdown <= 1)
        return 1;
    return 1 + (m_linkSlowdown - 1) * std::exp2(-toMilliseconds(now - m_learnedAt) / halfLifeMs);
}

void TransferSpeed::learn(double ratio, TimePoint now)
{
    m_linkSlowdown = linkSlowdown(now) * (1 - sampleWeight) + std::clamp(ratio, 1.0, maxLinkSlowdown) * sampleWeight;
    m_learnedAt = now;
}

void TransferSpeed::addMeasurement(double ratio, TimePoint now)
{
    learn(ratio, now);
    m_measuredSum += std::clamp(ratio, 1.0, maxLinkSlowdown);
    ++m_measuredCount;
}

std::optional<double> TransferSpeed::takeMeanMeasurement()
{
    if (m_measuredCount == 0)
        return std::nullopt;
    const auto mean = m_measuredSum / m_measuredCount;
    m_measuredSum = 0;
    m_measuredCount = 0;
    return mean;
}

}
