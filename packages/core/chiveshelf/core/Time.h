#pragma once

#include <chrono>

namespace chiveshelf {

// A time of the steady clock. Code that makes decisions gets the current time as an argument and does not read the clock.
using TimePoint = std::chrono::steady_clock::time_point;

// Returns the time since the machine was booted. Unlike the steady clock, it includes the time in which the machine was suspended.
std::chrono::nanoseconds bootTime();

// Returns a duration in ms, including fractions.
constexpr double toMilliseconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

}
