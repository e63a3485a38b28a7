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
    constexpr double maxSlowness = 20;

}

double TransferSpeed::slowness(TimePoint now) const
{
    if (m_slowness <= 1)
        return 1;
    return 1 + (m_slowness - 1) * std::exp2(-toMilliseconds(now - m_learnedAt) / halfLifeMs);
}

void TransferSpeed::learn(double ratio, TimePoint now)
{
    m_slowness = slowness(now) * (1 - sampleWeight) + std::clamp(ratio, 1.0, maxSlowness) * sampleWeight;
    m_learnedAt = now;
}

void TransferSpeed::measure(double ratio, TimePoint now)
{
    learn(ratio, now);
    m_measuredSum += std::clamp(ratio, 1.0, maxSlowness);
    ++m_measuredCount;
}

std::optional<double> TransferSpeed::takeMeasured()
{
    if (m_measuredCount == 0)
        return std::nullopt;
    const auto mean = m_measuredSum / m_measuredCount;
    m_measuredSum = 0;
    m_measuredCount = 0;
    return mean;
}

}
