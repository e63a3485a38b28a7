#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace chiveshelf {

// The clock that runners and stores of cached parts share, as read from their answers. Moments are of bootTime().
class RunnerClock {
public:
    // Records that an answer which was received at `at` showed the time `clockMs`.
    void set(std::int64_t clockMs, std::chrono::nanoseconds at)
    {
        m_offset = std::chrono::milliseconds(clockMs) - std::chrono::duration_cast<std::chrono::milliseconds>(at);
    }

    // Returns the time on that clock, or nothing if it was never read.
    std::optional<std::int64_t> read(std::chrono::nanoseconds now) const { return after(std::chrono::milliseconds(0), now); }

    // Returns the time on that clock `delay` after `now`, or nothing if it was never read.
    std::optional<std::int64_t> after(std::chrono::milliseconds delay, std::chrono::nanoseconds now) const
    {
        if (!m_offset)
            return std::nullopt;
        return (std::chrono::duration_cast<std::chrono::milliseconds>(now) + *m_offset + delay).count();
    }

private:
    std::optional<std::chrono::milliseconds> m_offset;
};

}
