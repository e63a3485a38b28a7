#include "chiveshelf/gateway/CrashNotices.h"

#include "chiveshelf/core/Log.h"

#include <algorithm>
#include <utility>

namespace chiveshelf {

namespace {

    // Repetitions of a host's own observation. With them, all hosts learn it even if a third of all datagrams are lost.
    constexpr int ownRepetitions = 3;
    constexpr std::chrono::milliseconds repeatAllInterval { 2'000 };
    // A request with more subjects is reported as several suspects.
    constexpr std::size_t maxSubjectsPerSuspect = 64;
    // Numbers of 8 bytes in the suspects of one notice, and entries of 12 bytes in one notice of answers, so that it fits into one
    // datagram.
    constexpr std::size_t maxNumbersPerNotice = 160;
    constexpr std::size_t maxAnswersPerNotice = 100;

    // The fingerprint, the number of subjects and the subjects.
    std::size_t encodedNumbers(const CrashNoticeEntry& entry)
    {
        return 2 + entry.subjects.size();
    }

    // Calls `visit` with the subjects in turn, at most `most` at a time.
    template <typename Visitor>
    void forEachPart(const std::vector<CrashSubject>& subjects, std::size_t most, Visitor visit)
    {
        for (auto it = subjects.begin(); it != subjects.end();) {
            const auto end = it + static_cast<std::ptrdiff_t>(std::min(most, static_cast<std::size_t>(subjects.end() - it)));
            visit(std::vector<CrashSubject>(it, end));
            it = end;
        }
    }

    std::uint32_t ageMs(TimePoint at, TimePoint now)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count(), 0));
    }

}

CrashNotices::CrashNotices(CrashEvidence& evidence, std::uint64_t hostHash, CrashSender sendCrashNotice, AnswersSender sendAnswersNotice, TrySender sendTryNotice)
    : m_evidence(evidence)
    , m_hostHash(hostHash)
    , m_sendCrash(std::move(sendCrashNotice))
    , m_sendAnswers(std::move(sendAnswersNotice))
    , m_sendTry(std::move(sendTryNotice))
{
}

void CrashNotices::report(std::uint32_t runner, const CrashSuspect& suspect, TimePoint now)
{
    CrashNotice notice { runner, 0, false, {} };
    forEachPart(suspect.subjects, maxSubjectsPerSuspect, [&](std::vector<CrashSubject> part) {
        if (m_evidence.addCrash(runner, { suspect.fingerprint, part }, now, now))
            notice.suspects.push_back({ suspect.fingerprint, std::move(part) });
    });
    if (notice.suspects.empty())
        return;
    send(notice);
    m_repetitions.push_back({ std::move(notice), now, ownRepetitions });
}

void CrashNotices::onRunnerData(std::uint32_t runner, TimePoint now)
{
    if (m_evidence.isEmpty())
        return;
    const auto at = m_evidence.withdrawIfRunning(runner, now);
    if (!at)
        return;
    logEvent(LogLevel::Info, "crash_withdrawn", { { "runner_number", runner }, { "age_ms", ageMs(*at, now) } });
    CrashNotice notice { runner, ageMs(*at, now), true, {} };
    m_sendCrash(notice);
    m_repetitions.push_back({ std::move(notice), *at, ownRepetitions });
}

void CrashNotices::onSend(const std::vector<CrashSubject>& subjects, TimePoint now)
{
    const auto tried = m_evidence.quarantinedAmong(subjects, now);
    if (tried.empty())
        return;
    m_evidence.recordTry(tried, now);
    forEachPart(tried, maxNumbersPerNotice, [this](std::vector<CrashSubject> part) { m_sendTry({ std::move(part) }); });
}

void CrashNotices::onAnswer(const std::vector<CrashSubject>& subjects, TimePoint now)
{
    sendAnswers(m_evidence.addAnswer(subjects, now));
}

void CrashNotices::sendAnswers(const std::vector<CrashSubject>& subjects)
{
    AnswersNotice notice { m_hostHash, {} };
    for (const auto subject : subjects) {
        if (const auto n = m_evidence.ownAnswers(subject); n > 0)
            notice.entries.push_back({ subject, static_cast<std::uint32_t>(n) });
        if (notice.entries.size() == maxAnswersPerNotice)
            m_sendAnswers(std::exchange(notice, { m_hostHash, {} }));
    }
    if (!notice.entries.empty())
        m_sendAnswers(notice);
}

void CrashNotices::applyNotice(const CrashNotice& notice, TimePoint now)
{
    const auto at = now - std::chrono::milliseconds(notice.ageMs);
    if (notice.isWithdrawn) {
        m_evidence.withdraw(notice.runner, at);
        return;
    }
    for (const auto& entry : notice.suspects) {
        if (m_evidence.addCrash(notice.runner, { entry.fingerprint, entry.subjects }, at, now))
            sendAnswers(entry.subjects);
    }
}

void CrashNotices::applyNotice(const AnswersNotice& notice, TimePoint now)
{
    for (const auto& entry : notice.entries)
        m_evidence.setAnswers(notice.host, entry.subject, entry.answers, now);
}

void CrashNotices::applyNotice(const TryNotice& notice, TimePoint now)
{
    m_evidence.recordTry(notice.subjects, now);
}

void CrashNotices::sendRepetitions(const std::function<bool(std::uint32_t runner)>& isRepeater, TimePoint now)
{
    if (m_evidence.isEmpty() && m_repetitions.empty() && m_loggedQuarantine.empty())
        return;
    repeatOwn(now);
    logQuarantine(now);
    if (now - m_repeatedAllAt < repeatAllInterval)
        return;
    m_repeatedAllAt = now;
    for (const auto& crash : m_evidence.crashes(now)) {
        if (isRepeater(crash.runner))
            repeatCrash(crash, now);
    }
}

void CrashNotices::repeatOwn(TimePoint now)
{
    for (auto& repetition : m_repetitions) {
        repetition.notice.ageMs = ageMs(repetition.at, now);
        send(repetition.notice);
        --repetition.left;
    }
    std::erase_if(m_repetitions, [](const Repetition& repetition) { return repetition.left == 0; });
}

void CrashNotices::repeatCrash(const RunnerCrash& crash, TimePoint now) const
{
    CrashNotice notice { crash.runner, ageMs(crash.at, now), false, {} };
    for (const auto& suspect : crash.suspects)
        notice.suspects.push_back({ suspect.fingerprint, suspect.subjects });
    send(notice);
}

void CrashNotices::send(const CrashNotice& notice) const
{
    CrashNotice part { notice.runner, notice.ageMs, notice.isWithdrawn, {} };
    std::size_t numbers = 0;
    for (const auto& suspect : notice.suspects) {
        const auto n = encodedNumbers(suspect);
        if (numbers + n > maxNumbersPerNotice) {
            m_sendCrash(part);
            part.suspects.clear();
            numbers = 0;
        }
        part.suspects.push_back(suspect);
        numbers += n;
    }
    m_sendCrash(part);
}

void CrashNotices::logQuarantine(TimePoint now)
{
    std::set<CrashSubject> quarantine;
    for (const auto& entry : m_evidence.quarantined(now)) {
        quarantine.insert(entry.subject);
        if (!m_loggedQuarantine.contains(entry.subject))
            logEvent(LogLevel::Warning, "quarantine_begins", { { "subject", entry.subject }, { "crashes", entry.crashes }, { "answers", entry.answers } });
    }
    for (const auto subject : m_loggedQuarantine) {
        if (!quarantine.contains(subject))
            logEvent(LogLevel::Info, "quarantine_ends", { { "subject", subject } });
    }
    m_loggedQuarantine = std::move(quarantine);
}

}
