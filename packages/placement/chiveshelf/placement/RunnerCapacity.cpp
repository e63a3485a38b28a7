#include "chiveshelf/placement/RunnerCapacity.h"

#include <algorithm>
#include <limits>

namespace chiveshelf {

namespace {

    // Weight of the assumption that a runner is as fast at a load as at the next lower one, or as its pool, in samples.
    constexpr double priorWeight = 2;
    // Upper bound of the weight of all samples of a range. With it the estimate follows a change after some 20 samples.
    constexpr double maxWeight = 16;
    // Upper bound of the weight of samples that arrive together, which may be seconds old, so that they don't replace all others.
    constexpr double maxAddedWeight = maxWeight / 2;
    // Largest change of the reference time with which an estimate is used again.
    constexpr double maxReferenceChange = 1.02;
    // The lowest load with at least this share of the best throughput is the limit of a runner.
    constexpr double limitThroughputShare = 0.9;

    // Returns the highest number of requests in a range.
    std::int32_t rangeEnd(std::size_t range, std::int32_t slots)
    {
        return std::max(slots * static_cast<std::int32_t>(range + 1) / static_cast<std::int32_t>(CapacityEstimate::rangeCount), 1);
    }

}

CapacityEstimate::CapacityEstimate(std::array<double, rangeCount> factors, std::int32_t slots)
    : m_factors(factors)
    , m_slots(std::max(slots, 1))
    , m_limit(m_slots)
{
    std::array<double, rangeCount> throughput {};
    for (std::size_t i = 0; i < rangeCount; ++i)
        throughput[i] = rangeEnd(i, m_slots) / m_factors[i];
    const auto needed = *std::max_element(throughput.begin(), throughput.end()) * limitThroughputShare;
    const auto it = std::find_if(throughput.begin(), throughput.end(), [&](double value) { return value >= needed; });
    m_limit = rangeEnd(static_cast<std::size_t>(it - throughput.begin()), m_slots);
}

std::size_t CapacityEstimate::rangeOf(std::int32_t requests, std::int32_t slots)
{
    std::size_t range = 0;
    while (range + 1 < rangeCount && requests > rangeEnd(range, slots))
        ++range;
    return range;
}

double CapacityEstimate::waitFactor(std::int32_t requests) const
{
    if (requests <= m_limit)
        return 0;
    // Requests beyond the limit share its throughput, unless a lower one was measured.
    const auto atLimit = factor(m_limit);
    const auto shared = atLimit * requests / m_limit;
    const auto measured = m_factors[rangeOf(requests, m_slots)] * std::max(static_cast<double>(requests) / m_slots, 1.0);
    return std::max(shared, measured) - atLimit;
}

double RunnerCapacity::remainingShare(TimePoint now) const
{
    return std::max(1 - toMilliseconds(now - m_lastSampleAt) / toMilliseconds(sampleLifetime), 0.0);
}

void RunnerCapacity::addOwnSample(std::int32_t requests, std::int32_t slots, double ms, TimePoint now)
{
    if (ms <= 0)
        return;
    // Requests beyond the slots wait in the runner's queue, which takes in proportion to their number.
    const auto usedMs = ms / std::max(static_cast<double>(requests) / std::max(slots, 1), 1.0);
    auto& range = m_ranges[CapacityEstimate::rangeOf(requests, std::max(slots, 1))];
    add(range, 1, usedMs, now);
    if (range.ownCount == std::numeric_limits<std::uint16_t>::max())
        return;
    ++range.ownCount;
    range.ownSumMs += usedMs;
}

void RunnerCapacity::addPeerSample(const CapacitySample& sample, TimePoint now)
{
    // Comparisons that are false for values that are not numbers.
    const bool isValid = sample.range < m_ranges.size() && sample.count > 0 && sample.meanMs > 0 && sample.meanMs < std::numeric_limits<double>::max();
    if (isValid)
        add(m_ranges[sample.range], sample.count, sample.meanMs, now);
}

std::vector<CapacitySample> RunnerCapacity::takeOwnSamples()
{
    std::vector<CapacitySample> out;
    for (std::size_t i = 0; i < m_ranges.size(); ++i) {
        auto& range = m_ranges[i];
        if (range.ownCount == 0)
            continue;
        out.push_back({ static_cast<std::uint8_t>(i), range.ownCount, range.ownSumMs / range.ownCount });
        range.ownCount = 0;
        range.ownSumMs = 0;
    }
    return out;
}

void RunnerCapacity::add(Range& range, double count, double meanMs, TimePoint now)
{
    const auto share = remainingShare(now);
    for (auto& each : m_ranges)
        each.weight *= share;
    m_lastSampleAt = std::max(m_lastSampleAt, now);
    const auto added = std::min(count, maxAddedWeight);
    range.weight = std::min(range.weight, maxWeight - added);
    range.meanMs = (range.meanMs * range.weight + meanMs * added) / (range.weight + added);
    range.weight += added;
    double sum = 0;
    double weights = 0;
    for (const auto& each : m_ranges) {
        sum += each.weight * each.meanMs;
        weights += each.weight;
    }
    m_meanMs = sum / weights;
    m_cached.isValid = false;
}

const CapacityEstimate& RunnerCapacity::estimate(double referenceMs, std::int32_t slots, TimePoint now) const
{
    auto& cached = m_cached;
    const bool isCurrent = cached.isValid && cached.slots == slots && now - cached.at < estimateLifetime && referenceMs < cached.referenceMs * maxReferenceChange
        && cached.referenceMs < referenceMs * maxReferenceChange;
    if (!isCurrent)
        cached = { computeEstimate(referenceMs, slots, now), referenceMs, slots, now, true };
    return cached.estimate;
}

CapacityEstimate RunnerCapacity::computeEstimate(double referenceMs, std::int32_t slots, TimePoint now) const
{
    std::array<double, CapacityEstimate::rangeCount> factors {};
    factors.fill(1);
    const auto share = remainingShare(now);
    if (share == 0 || referenceMs <= 0)
        return { factors, slots };
    std::array<double, CapacityEstimate::rangeCount> weights {};
    double prior = 1;
    for (std::size_t i = 0; i < m_ranges.size(); ++i) {
        const auto weight = m_ranges[i].weight * share;
        weights[i] = weight + priorWeight;
        factors[i] = std::clamp((prior * priorWeight + m_ranges[i].meanMs / referenceMs * weight) / weights[i], 1 / maxFactor, maxFactor);
        // Requests don't become faster with more load, so that a lower time at a higher load corrects the times at lower loads.
        for (auto j = i; j > 0 && factors[j] < factors[j - 1]; --j) {
            const auto mean = (factors[j] * weights[j] + factors[j - 1] * weights[j - 1]) / (weights[j] + weights[j - 1]);
            factors[j] = mean;
            factors[j - 1] = mean;
        }
        prior = factors[i];
    }
    return { factors, slots };
}

}
