#pragma once

#include "chiveshelf/core/Time.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chiveshelf {

// Something that requests have in common and that may crash the runners which serve them: a part of a prompt, or the whole request.
// Identified by a hash.
using CrashSubject = std::uint64_t;

// The subjects of one request that was waiting for its response, or had just begun to get it, when its runner was lost.
struct CrashSuspect {
    std::uint64_t fingerprint = 0;
    std::vector<CrashSubject> subjects;

    auto operator<=>(const CrashSuspect&) const = default;
};

// A lost runner, by its number, and the requests that may have crashed it.
struct RunnerCrash {
    std::uint32_t runner = 0;
    TimePoint at;
    std::vector<CrashSuspect> suspects;
};

// A subject whose requests are refused, with the evidence for it.
struct QuarantinedSubject {
    CrashSubject subject = 0;
    std::size_t crashes = 0;
    std::size_t answers = 0;
    TimePoint lastCrash;
};

// Weighs the crashes of runners against the answers that the same subjects got, and quarantines the subjects that explain them. Used
// with the observations of all hosts: each adds crashes and answers, in any order and any number of times.
//
// Handles the load pattern "a few requests that share a subject crash each runner they reach, among many sound requests that share
// their other subjects". A runner serves several requests at once, so a crash alone accuses all of them; the subject that explains
// most crashes is quarantined, and the crashes that it explains no longer count against others.
class CrashEvidence {
public:
    // Crashes of different runners without any answer after which a subject is quarantined, and how many crashes one answer outweighs.
    static constexpr std::size_t minCrashes = 2;
    static constexpr double crashesPerAnswer = 0.5;
    // A request whose response began earlier than this before the crash didn't cause it.
    static constexpr std::chrono::milliseconds maxAnswerAge { 250 };
    // A runner that sends data within this time after it was reported lost has not crashed.
    static constexpr std::chrono::milliseconds maxDataInTransit { 200 };
    static constexpr std::chrono::milliseconds maxRestartTime { 1'500 };

    // Times for which crashes and answers count. Answers count for less time, so that a subject which begins to crash runners is not
    // excused for long by what it was before.
    CrashEvidence(std::chrono::milliseconds crashLifetime, std::chrono::milliseconds answerLifetime);

    // Adds a suspect of a crash that this host observed or another host reported. Reports of the same runner within a short time are
    // the same crash. Returns whether the suspect or one of its subjects was new.
    bool addCrash(std::uint32_t runner, CrashSuspect, TimePoint at, TimePoint now);

    // Removes the crash of a runner that has turned out to be running at `now`. Returns the time of the crash, if there was one.
    std::optional<TimePoint> withdrawIfRunning(std::uint32_t runner, TimePoint now);

    // Removes the crash of a runner around this time, because another host withdrew it.
    void withdraw(std::uint32_t runner, TimePoint at);

    // Counts an answer of this host to a request with these subjects. Returns those whose count other hosts need to know: they are
    // suspected, and the count has doubled.
    std::vector<CrashSubject> addAnswer(const std::vector<CrashSubject>&, TimePoint now);

    // Sets the number of answers that another host counted for a subject. Lower numbers than known ones are ignored.
    void setAnswers(std::uint64_t host, CrashSubject, std::size_t answers, TimePoint now);

    // Number of answers of this host for a subject.
    std::size_t ownAnswers(CrashSubject) const;

    // Returns the time until a request with these subjects may be sent, if one of them is quarantined and no try of it is due.
    std::optional<std::chrono::milliseconds> waitTime(const std::vector<CrashSubject>&, TimePoint now);

    // Returns those of the subjects that are quarantined.
    std::vector<CrashSubject> quarantinedAmong(const std::vector<CrashSubject>&, TimePoint now);

    // Whether one of the subjects is quarantined without a doubt, so that it isn't tried again.
    bool isProven(const std::vector<CrashSubject>&, TimePoint now);

    // Records that this or another host has sent a request with these quarantined subjects, to see whether it crashes its runner.
    void recordTry(const std::vector<CrashSubject>&, TimePoint now);

    // The quarantined subjects.
    std::vector<QuarantinedSubject> quarantined(TimePoint now);

    // The crashes that count, oldest first.
    const std::deque<RunnerCrash>& crashes(TimePoint now);

    bool isEmpty() const { return m_crashes.empty(); }

private:
    // Answers of this host, in a period of half their lifetime.
    using AnswerCounts = std::unordered_map<CrashSubject, std::uint32_t>;

    struct Withdrawal {
        std::uint32_t runner = 0;
        TimePoint at;
    };

    struct ReportedAnswers {
        std::size_t answers = 0;
        TimePoint at;
    };

    struct Accusation;

    void update(TimePoint now);
    void expire(TimePoint now);
    void rotateAnswers(TimePoint now);
    void evaluate();
    // Returns the subjects that have enough crashes among those at these positions, given the causes of all crashes.
    std::vector<Accusation> accuse(const std::vector<std::size_t>& positions, const std::vector<std::size_t>& causes) const;
    // Returns the cause of each crash, as the position of one crash with that cause. `positions` are those of all crashes, by their time.
    std::vector<std::size_t> findCauses(const std::vector<std::size_t>& positions) const;
    void removeCrash(std::deque<RunnerCrash>::iterator);
    bool isWithdrawn(std::uint32_t runner, TimePoint at) const;
    std::size_t answers(CrashSubject) const;
    std::deque<RunnerCrash>::iterator findCrash(std::uint32_t runner, TimePoint at);

    std::chrono::milliseconds m_crashLifetime;
    std::chrono::milliseconds m_answerLifetime;
    std::deque<RunnerCrash> m_crashes;
    // Repeated reports of these crashes are ignored.
    std::deque<Withdrawal> m_withdrawals;
    // The subjects of all suspects, some of which may have expired.
    std::unordered_set<CrashSubject> m_suspected;
    AnswerCounts m_newAnswers;
    AnswerCounts m_oldAnswers;
    TimePoint m_answersSince {};
    std::map<CrashSubject, std::map<std::uint64_t, ReportedAnswers>> m_reportedAnswers;
    std::map<CrashSubject, QuarantinedSubject> m_quarantined;
    std::map<CrashSubject, TimePoint> m_triedAt;
    bool m_isOutdated = false;
};

}
