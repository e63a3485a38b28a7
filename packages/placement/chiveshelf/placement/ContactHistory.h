#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

namespace chiveshelf {

// A time of unbroken contact with the store, from the first to the latest answer.
template <typename Time>
struct ContactSpan {
    Time start {};
    Time lastAnswer {};

    auto operator<=>(const ContactSpan&) const = default;
};

// Records gaps in this host's contact with the store. A change that is received after a gap may have been made at any time during
// it, so it is dated to the start of the gap. All times are of bootTime(), which includes the time in which the machine was
// suspended.
//
// Handles the load pattern "a host that was suspended or disconnected receives a version that was announced long ago".
class ContactHistory {
public:
    // Time between two ticks from which on the process is considered to have been stalled.
    static constexpr std::chrono::milliseconds stallThreshold { 1'000 };
    // Time after a gap within which received changes may date from the gap. They arrive with the first answers.
    static constexpr std::chrono::milliseconds lateChangeTime { 2'000 };

    // Detects stalls of the process. To be called several times a second.
    void tick(std::chrono::nanoseconds now);

    // Records that a call to the store succeeded or failed.
    void onAnswer(std::chrono::nanoseconds now);
    void onFailure();

    // Returns whether the store had answered before the answer that is being processed.
    bool hasAnswered() const { return m_answers > 1; }

    // Returns the contact since the last gap, or nothing while calls fail.
    std::optional<ContactSpan<std::chrono::nanoseconds>> unbrokenContact() const;

    // Returns the earliest time at which a change that is received now can have been made.
    std::chrono::nanoseconds earliestChangeTime(std::chrono::nanoseconds now) const;

    // Returns the earliest time at which a change can have been made that an answer with only the newest state hides: since the answer
    // before the one that is being processed, or the start of a gap. To be called only if hasAnswered().
    std::chrono::nanoseconds earliestMissedChangeTime(std::chrono::nanoseconds now) const;

private:
    std::chrono::nanoseconds m_lastTick { 0 };
    std::chrono::nanoseconds m_lastAnswer { 0 };
    // The answer before m_lastAnswer.
    std::chrono::nanoseconds m_previousAnswer { 0 };
    // The first answer after the last gap.
    std::chrono::nanoseconds m_contactStart { 0 };
    // The last gap, in which changes could be missed.
    std::chrono::nanoseconds m_gapStart { 0 };
    std::chrono::nanoseconds m_gapEnd { 0 };
    std::uint64_t m_answers = 0;
    bool m_hasFailed = false;
};

}
