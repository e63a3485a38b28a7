#pragma once

#include <chrono>

namespace chiveshelf {

// A moment of the steady clock, which decisions are given and never read by themselves.
using TimePoint = std::chrono::steady_clock::time_point;

// Returns the time since the machine's start, counting the time in which it was suspended, which the steady clock leaves out.
std::chrono::nanoseconds bootTime();

// Returns a duration in ms with its fraction.
constexpr double toMilliseconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

}
