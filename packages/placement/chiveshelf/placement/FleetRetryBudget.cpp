#include "chiveshelf/placement/FleetRetryBudget.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Share of the allowance that is used, since hosts do not know each other's counts and their windows overlap.
    constexpr double usableShare = 0.6;
    constexpr std::chrono::seconds bucketLength { 1 };

}

FleetRetryBudget::FleetRetryBudget(double share, double reserve, std::chrono::milliseconds window)
    : m_share(share)
    , m_reserve(reserve)
    , m_window(window)
{
}

FleetRetryBudget::Bucket& FleetRetryBudget::currentBucket(TimePoint now)
{
    while (!m_buckets.empty() && now - m_buckets.front().start > m_window + bucketLength)
        m_buckets.pop_front();
    if (m_buckets.empty() || now - m_buckets.back().start >= bucketLength)
        m_buckets.push_back({ now });
    return m_buckets.back();
}

void FleetRetryBudget::onRequest(TimePoint now)
{
    ++currentBucket(now).requests;
}

bool FleetRetryBudget::take(std::size_t hosts, TimePoint now)
{
    auto& newest = currentBucket(now);
    double requests = 0;
    double retries = 0;
    for (const auto& it : m_buckets) {
        requests += it.requests;
        retries += it.retries;
    }
    const auto allowed = usableShare * (m_share * requests + m_reserve / static_cast<double>(std::max<std::size_t>(hosts, 1)));
    if (retries + 1 > allowed)
        return false;
    ++newest.retries;
    return true;
}

}
