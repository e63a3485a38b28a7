#pragma once

#include "chiveshelf/core/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

namespace chiveshelf {

// Limits the log lines of an event that may occur very often.
class LogThrottle {
public:
    explicit LogThrottle(std::chrono::milliseconds interval)
        : m_interval(interval)
    {
    }

    // Counts an event. Returns the number of events since the last line if a line may be written now.
    std::optional<std::uint64_t> record(TimePoint now)
    {
        ++m_events;
        if (now < m_next)
            return std::nullopt;
        m_next = now + m_interval;
        return std::exchange(m_events, 0);
    }

private:
    std::chrono::milliseconds m_interval;
    TimePoint m_next = TimePoint::min();
    std::uint64_t m_events = 0;
};

}
