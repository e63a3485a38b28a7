#pragma once

#include "chiveshelf/gateway/HostMessages.h"
#include "chiveshelf/placement/CrashEvidence.h"

#include <functional>

namespace chiveshelf {

// Shares the evidence of crashed runners among the hosts. A crash is announced at once, repeated a few times by the host that observed
// it, and repeated as long as it counts by one host for all others, so that lost notices and hosts that start later make no
// difference. Answers to suspected subjects are announced as their number doubles. A try of a quarantined subject is announced, so that the
// hosts try it one after the other.
class CrashNotices {
public:
    using CrashSender = std::function<void(const CrashNotice&)>;
    using AnswersSender = std::function<void(const AnswersNotice&)>;
    using TrySender = std::function<void(const TryNotice&)>;

    CrashNotices(CrashEvidence&, std::uint64_t hostHash, CrashSender, AnswersSender, TrySender);

    // Adds a request under which a runner was lost.
    void report(std::uint32_t runner, const CrashSuspect&, TimePoint now);

    // Withdraws the crash of a runner that sends data.
    void onRunnerData(std::uint32_t runner, TimePoint now);

    // Announces the try of quarantined subjects, if a request that is sent to a runner has some.
    void onSend(const std::vector<CrashSubject>&, TimePoint now);

    // Counts an answer to a request with these subjects.
    void onAnswer(const std::vector<CrashSubject>&, TimePoint now);

    void applyNotice(const CrashNotice&, TimePoint now);
    void applyNotice(const AnswersNotice&, TimePoint now);
    void applyNotice(const TryNotice&, TimePoint now);

    // Sends the repetitions that are due, and logs changes of the quarantine. Call it at short intervals. `isRepeater` tells whether
    // this host repeats the crash of a runner for all others.
    void sendRepetitions(const std::function<bool(std::uint32_t runner)>& isRepeater, TimePoint now);

private:
    struct Repetition {
        CrashNotice notice;
        TimePoint at;
        int left = 0;
    };

    void sendAnswers(const std::vector<CrashSubject>&);
    void repeatCrash(const RunnerCrash&, TimePoint now) const;
    // Sends a notice in as many datagrams as it needs.
    void send(const CrashNotice&) const;
    void repeatOwn(TimePoint now);
    void logQuarantine(TimePoint now);

    CrashEvidence& m_evidence;
    std::uint64_t m_hostHash;
    CrashSender m_sendCrash;
    AnswersSender m_sendAnswers;
    TrySender m_sendTry;
    std::vector<Repetition> m_repetitions;
    TimePoint m_repeatedAllAt {};
    std::set<CrashSubject> m_loggedQuarantine;
};

}
