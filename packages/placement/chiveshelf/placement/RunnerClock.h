#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace chiveshelf {

// Clock shared by runners and stores of cached parts, derived from their answers. Local times are of bootTime().
class RunnerClock {
public:
    // Records that an answer received at `at` contained the time `clockMs`.
    void set(std::int64_t clockMs, std::chrono::nanoseconds at)
    {
        m_offset = std::chrono::milliseconds(clockMs) - std::chrono::duration_cast<std::chrono::milliseconds>(at);
    }

    // Returns the time of the shared clock in ms, or nothing before the first set().
    std::optional<std::int64_t> read(std::chrono::nanoseconds now) const { return after(std::chrono::milliseconds(0), now); }

    // Returns the time of the shared clock `delay` after `now` in ms, or nothing before the first set().
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
