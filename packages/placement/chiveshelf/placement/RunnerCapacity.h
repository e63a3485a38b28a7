#pragma once

#include "chiveshelf/core/Time.h"

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <vector>

namespace chiveshelf {

// Mean time of `count` finished requests at one range of loads of a runner, measured by one host.
struct CapacitySample {
    std::uint8_t range = 0;
    std::uint16_t count = 0;
    double meanMs = 0;

    auto operator<=>(const CapacitySample&) const = default;
};

// Expected times of a runner by the number of its requests, relative to a reference time of its pool.
class CapacityEstimate {
public:
    // Loads are divided into ranges that each cover a quarter of the runner's slots.
    static constexpr std::size_t rangeCount = 4;

    // `factors` are the expected times in the ranges, in units of the reference time.
    CapacityEstimate(std::array<double, rangeCount> factors, std::int32_t slots);

    // Returns the range that contains this number of requests. The last one also contains all higher numbers.
    static std::size_t rangeOf(std::int32_t requests, std::int32_t slots);

    // Returns the number of requests up to which the runner still works well: the lowest load at which it finishes nearly as many
    // requests per second as at its best load. Further requests only make all of them slower.
    std::int32_t limit() const { return m_limit; }

    // Returns the expected time of a request while the runner has this many, itself included and without the wait beyond limit().
    double factor(std::int32_t requests) const { return m_factors[rangeOf(std::min(requests, m_limit), m_slots)]; }

    // Returns the expected wait if the runner has this many requests, 0 up to limit().
    double waitFactor(std::int32_t requests) const;

private:
    std::array<double, rangeCount> m_factors;
    std::int32_t m_slots;
    std::int32_t m_limit;
};

// Learns how long requests take at one runner, depending on how many it has, from the finished requests of all hosts. Samples lose
// their weight over time, and each new one reduces the weight of the earlier ones, so that changes are tracked within seconds and a
// runner without recent samples is expected to be as fast as its pool.
//
// The unit of the times is up to the caller: ms per request for plain services, ms per 1,000 prefilled tokens for engines.
//
// Handles the load patterns "runners of one pool differ in speed", "a runner slows down long before its slots are full" and "the
// speed of a runner changes".
class RunnerCapacity {
public:
    // Time after which a sample has no weight if no later one arrives.
    static constexpr std::chrono::milliseconds sampleLifetime { 4'000 };
    // Time for which an estimate is used again, which saves most of the time of a choice among many runners.
    static constexpr std::chrono::milliseconds estimateLifetime { 50 };
    // Upper bound of the learned factors, and of their reciprocals.
    static constexpr double maxFactor = 4;

    // Adds a request of this host that took `ms` and was sent when the runner had `requests` requests, itself included. The sample is
    // also included in the next takeOwnSamples().
    void addOwnSample(std::int32_t requests, std::int32_t slots, double ms, TimePoint now);

    // Adds samples that another host measured.
    void addPeerSample(const CapacitySample&, TimePoint now);

    // Returns this host's samples since the last call, one entry for each range.
    std::vector<CapacitySample> takeOwnSamples();

    // Returns the expected times in units of `referenceMs`, the usual time in the pool. They may be those of a call up to
    // estimateLifetime earlier with nearly the same reference, unless a sample was added since.
    const CapacityEstimate& estimate(double referenceMs, std::int32_t slots, TimePoint now) const;

    // Returns the mean time at all loads, 0 without a sample.
    double meanMs() const { return m_meanMs; }

    // Time of the last sample.
    TimePoint lastSampleAt() const { return m_lastSampleAt; }

private:
    struct Range {
        double weight = 0;
        double meanMs = 0;
        // This host's samples that other hosts have not got yet.
        std::uint16_t ownCount = 0;
        double ownSumMs = 0;
    };

    // The estimate of the last call of estimate(), and its arguments.
    struct CachedEstimate {
        CapacityEstimate estimate { { 1, 1, 1, 1 }, 1 };
        double referenceMs = 0;
        std::int32_t slots = 0;
        TimePoint at {};
        bool isValid = false;
    };

    CapacityEstimate computeEstimate(double referenceMs, std::int32_t slots, TimePoint now) const;
    void add(Range&, double count, double meanMs, TimePoint now);
    // Returns the share of its weight that a sample still has at `now` if it was valid at the last sample.
    double remainingShare(TimePoint now) const;

    std::array<Range, CapacityEstimate::rangeCount> m_ranges;
    double m_meanMs = 0;
    TimePoint m_lastSampleAt {};
    mutable CachedEstimate m_cached;
};

}
