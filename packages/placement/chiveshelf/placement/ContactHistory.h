#pragma once

#include <chrono>
#include <cstdint>

namespace chiveshelf {

// Knows since when this host may have missed news of the store, so that what it learns late is dated early. Moments are of
// bootTime(), which counts the time in which the machine was suspended.
//
// Answers the load pattern "a host that was frozen or cut off wakes and finds a version named long ago".
class ContactHistory {
public:
    // A pause between two ticks from which on the process counts as having stood still.
    static constexpr std::chrono::milliseconds stallTime { 1'000 };
    // Time after a stall or a lost connection within which news may be old: they arrive with the first answers.
    static constexpr std::chrono::milliseconds lateNewsTime { 2'000 };

    // Call several times a second.
    void tick(std::chrono::nanoseconds now);

    // Tells that a call to the store succeeded or failed.
    void onAnswer(std::chrono::nanoseconds now);
    void onFailure();

    // Whether the store has answered before the present news.
    bool hasAnswered() const { return m_answers > 1; }

    // Returns the earliest moment at which news that arrive now may have been made.
    std::chrono::nanoseconds earliestChangeTime(std::chrono::nanoseconds now) const;

private:
    std::chrono::nanoseconds m_lastTick { 0 };
    std::chrono::nanoseconds m_lastAnswer { 0 };
    // The last time in which news could be missed.
    std::chrono::nanoseconds m_blindFrom { 0 };
    std::chrono::nanoseconds m_blindTo { 0 };
    std::uint64_t m_answers = 0;
    bool m_hasFailed = false;
};

}
