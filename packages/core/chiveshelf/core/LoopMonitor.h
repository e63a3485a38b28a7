#pragma once

#include "chiveshelf/core/Time.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>

namespace chiveshelf {

// How late an event loop ran its timers, since the process started.
struct LoopDelays {
    // Upper bounds of the buckets, in ms. Longer delays are in the last bucket, which has no bound.
    static constexpr std::array<int, 6> bucketLimitsMs { 5, 20, 50, 100, 200, 500 };

    std::array<std::uint64_t, bucketLimitsMs.size() + 1> counts {};
    double totalMs = 0;
    double longestMs = 0;

    auto operator<=>(const LoopDelays&) const = default;
};

// Returns the delays with one more measurement of `delayMs`.
LoopDelays withDelay(LoopDelays, double delayMs);

// Measures how late the event loop runs its timers, because handlers take long, the processor is busy or the process is suspended. Logs
// `loop_stalled` for delays beyond `logLimit`.
class LoopMonitor {
public:
    // Delay from which on it is logged. Time-outs of calls to other hosts and runners are of this order.
    static constexpr std::chrono::milliseconds logLimit { 150 };

    explicit LoopMonitor(boost::asio::io_context&);
    LoopMonitor(const LoopMonitor&) = delete;
    LoopMonitor& operator=(const LoopMonitor&) = delete;

    void start();
    void stop();

    const LoopDelays& delays() const { return m_delays; }

private:
    void measure();

    boost::asio::steady_timer m_timer;
    LoopDelays m_delays;
    std::chrono::nanoseconds m_bootTimeAtStart { 0 };
    TimePoint m_startedAt {};
    TimePoint m_lastLoggedAt {};
};

}
