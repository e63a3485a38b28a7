#include "chiveshelf/core/LoopMonitor.h"

#include "chiveshelf/core/Log.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Short enough to notice stalls of the order of the log limit, long enough to cost little processor time.
    constexpr std::chrono::milliseconds interval { 100 };
    // A host that is overloaded for long logs its stalls at most so often.
    constexpr std::chrono::milliseconds logInterval { 500 };

}

LoopDelays withDelay(LoopDelays delays, double delayMs)
{
    const auto& limits = LoopDelays::bucketLimitsMs;
    const auto it = std::find_if(limits.begin(), limits.end(), [&](int limit) { return delayMs <= limit; });
    ++delays.counts[static_cast<std::size_t>(it - limits.begin())];
    delays.totalMs += delayMs;
    delays.longestMs = std::max(delays.longestMs, delayMs);
    return delays;
}

LoopMonitor::LoopMonitor(boost::asio::io_context& context)
    : m_timer(context)
{
}

void LoopMonitor::start()
{
    m_startedAt = std::chrono::steady_clock::now();
    m_bootTimeAtStart = bootTime();
    m_timer.expires_at(m_startedAt + interval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            measure();
    });
}

void LoopMonitor::stop()
{
    m_timer.cancel();
}

void LoopMonitor::measure()
{
    const auto now = std::chrono::steady_clock::now();
    const auto delayMs = toMilliseconds(now - m_timer.expiry());
    // The steady clock doesn't count the time in which the machine was suspended.
    const auto suspended = bootTime() - m_bootTimeAtStart - (now - m_startedAt);
    const auto suspendedMs = std::max(toMilliseconds(std::chrono::duration_cast<std::chrono::steady_clock::duration>(suspended)), 0.0);
    m_delays = withDelay(m_delays, delayMs + suspendedMs);
    const bool isStalled = delayMs + suspendedMs >= static_cast<double>(logLimit.count());
    if (isStalled && now - m_lastLoggedAt >= logInterval) {
        m_lastLoggedAt = now;
        logEvent(LogLevel::Info, "loop_stalled", { { "delay_ms", static_cast<std::int64_t>(delayMs) }, { "suspended_ms", static_cast<std::int64_t>(suspendedMs) } });
    }
    start();
}

}
