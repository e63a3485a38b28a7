#include "chiveshelf/placement/FleetRetryBudget.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Part of the allowance that is used: hosts do not know each other's counts, and windows overlap.
    constexpr double usedPart = 0.6;
    constexpr std::chrono::seconds bucket { 1 };

}

FleetRetryBudget::FleetRetryBudget(double share, double reserve, std::chrono::milliseconds window)
    : m_share(share)
    , m_reserve(reserve)
    , m_window(window)
{
}

FleetRetryBudget::Second& FleetRetryBudget::current(TimePoint now)
{
    while (!m_seconds.empty() && now - m_seconds.front().start > m_window + bucket)
        m_seconds.pop_front();
    if (m_seconds.empty() || now - m_seconds.back().start >= bucket)
        m_seconds.push_back({ now });
    return m_seconds.back();
}

void FleetRetryBudget::onRequest(TimePoint now)
{
    ++current(now).requests;
}

bool FleetRetryBudget::take(std::size_t hosts, TimePoint now)
{
    auto& second = current(now);
    double requests = 0;
    double repeats = 0;
    for (const auto& it : m_seconds) {
        requests += it.requests;
        repeats += it.repeats;
    }
    const auto allowed = usedPart * (m_share * requests + m_reserve / static_cast<double>(std::max<std::size_t>(hosts, 1)));
    if (repeats + 1 > allowed)
        return false;
    ++second.repeats;
    return true;
}

}
