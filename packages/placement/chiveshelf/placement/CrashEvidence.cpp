#include "chiveshelf/placement/CrashEvidence.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <numeric>
#include <utility>

namespace chiveshelf {

namespace {

    // Reports of the same runner within this time are the same crash; a restarted runner takes longer to crash again.
    constexpr std::chrono::milliseconds sameCrashTime { 1'500 };
    // A subject with the minimum number of crashes may be sound and have met them by chance, so that one request is tried after this
    // time. Requests that were on their way at the last crash have crashed their runners by then. More crashes leave no doubt that is
    // worth a further runner.
    constexpr std::chrono::milliseconds tryDelay { 2'000 };
    // Runners that crash within this time, at least so many, have a common cause, such as a loss of power, unless one subject was at
    // most of them.
    constexpr std::chrono::milliseconds commonCauseTime { 100 };
    constexpr std::size_t minCommonCauseCrashes = 3;
    constexpr std::size_t maxCrashes = 128;
    constexpr std::size_t maxSuspectsPerCrash = 512;
    // About 2 MB in both periods.
    constexpr std::size_t maxAnsweredSubjects = 16'384;
    constexpr std::size_t maxReportedSubjects = 4'096;

    std::size_t countCauses(const std::vector<std::size_t>& crashes, const std::vector<std::size_t>& causes)
    {
        std::set<std::size_t> out;
        for (const auto i : crashes)
            out.insert(causes[i]);
        return out.size();
    }

}

// The crashes of one subject, given by their positions, and its answers.
struct CrashEvidence::Accusation {
    CrashSubject subject = 0;
    std::vector<std::size_t> crashes;
    // Number of crashes, where those with a common cause count once.
    std::size_t causes = 0;
    std::size_t answers = 0;
    std::set<std::uint64_t> requests;

    // Number of crashes beyond those that the answers outweigh.
    double weight() const { return static_cast<double>(causes) - crashesPerAnswer * static_cast<double>(answers); }

    bool isWeakerThan(const Accusation& other) const { return std::pair(weight(), requests.size()) < std::pair(other.weight(), other.requests.size()); }
};

CrashEvidence::CrashEvidence(std::chrono::milliseconds crashLifetime, std::chrono::milliseconds answerLifetime)
    : m_crashLifetime(crashLifetime)
    , m_answerLifetime(answerLifetime)
{
}

std::deque<RunnerCrash>::iterator CrashEvidence::findCrash(std::uint32_t runner, TimePoint at)
{
    return std::find_if(m_crashes.begin(), m_crashes.end(), [&](const RunnerCrash& crash) {
        return crash.runner == runner && std::chrono::abs(crash.at - at) < sameCrashTime;
    });
}

bool CrashEvidence::addCrash(std::uint32_t runner, CrashSuspect suspect, TimePoint at, TimePoint now)
{
    expire(now);
    if (isWithdrawn(runner, at))
        return false;
    auto it = findCrash(runner, at);
    if (it == m_crashes.end()) {
        if (m_crashes.size() >= maxCrashes)
            m_crashes.pop_front();
        it = m_crashes.insert(m_crashes.end(), { runner, at, {} });
    }
    auto& suspects = it->suspects;
    if (suspects.size() >= maxSuspectsPerCrash || std::find(suspects.begin(), suspects.end(), suspect) != suspects.end())
        return false;
    m_suspected.insert(suspect.subjects.begin(), suspect.subjects.end());
    suspects.push_back(std::move(suspect));
    m_isOutdated = true;
    return true;
}

void CrashEvidence::removeCrash(std::deque<RunnerCrash>::iterator it)
{
    m_withdrawals.push_back({ it->runner, it->at });
    m_crashes.erase(it);
    m_isOutdated = true;
}

bool CrashEvidence::isWithdrawn(std::uint32_t runner, TimePoint at) const
{
    return std::any_of(m_withdrawals.begin(), m_withdrawals.end(), [&](const Withdrawal& withdrawal) {
        return withdrawal.runner == runner && std::chrono::abs(withdrawal.at - at) < sameCrashTime;
    });
}

std::optional<TimePoint> CrashEvidence::withdrawIfRunning(std::uint32_t runner, TimePoint now)
{
    const auto it = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const RunnerCrash& crash) {
        return crash.runner == runner && now - crash.at > maxDataInTransit && now - crash.at < maxRestartTime;
    });
    if (it == m_crashes.end())
        return std::nullopt;
    const auto at = it->at;
    removeCrash(it);
    return at;
}

void CrashEvidence::withdraw(std::uint32_t runner, TimePoint at)
{
    const auto it = findCrash(runner, at);
    if (it != m_crashes.end())
        removeCrash(it);
    else
        m_withdrawals.push_back({ runner, at });
}

std::vector<CrashSubject> CrashEvidence::addAnswer(const std::vector<CrashSubject>& subjects, TimePoint now)
{
    rotateAnswers(now);
    std::vector<CrashSubject> out;
    for (const auto subject : subjects) {
        ++m_newAnswers[subject];
        // The verdict is reconsidered, and other hosts are told, each time the number doubles.
        if (m_crashes.empty() || !m_suspected.contains(subject) || !std::has_single_bit(ownAnswers(subject)))
            continue;
        m_isOutdated = true;
        out.push_back(subject);
    }
    return out;
}

void CrashEvidence::setAnswers(std::uint64_t host, CrashSubject subject, std::size_t answers, TimePoint now)
{
    if (m_reportedAnswers.size() >= maxReportedSubjects && !m_reportedAnswers.contains(subject))
        return;
    auto& reported = m_reportedAnswers[subject][host];
    reported.answers = std::max(reported.answers, answers);
    reported.at = now;
    m_isOutdated = true;
}

std::size_t CrashEvidence::ownAnswers(CrashSubject subject) const
{
    std::size_t out = 0;
    for (const auto* counts : { &m_newAnswers, &m_oldAnswers }) {
        const auto it = counts->find(subject);
        out += it == counts->end() ? 0 : it->second;
    }
    return out;
}

std::optional<std::chrono::milliseconds> CrashEvidence::waitTime(const std::vector<CrashSubject>& subjects, TimePoint now)
{
    std::chrono::milliseconds longest { 0 };
    for (const auto subject : quarantinedAmong(subjects, now)) {
        const auto& entry = m_quarantined.at(subject);
        const auto end = entry.lastCrash + m_crashLifetime;
        const auto tried = m_triedAt.find(subject);
        const auto since = tried == m_triedAt.end() ? entry.lastCrash : std::max(entry.lastCrash, tried->second);
        const auto next = entry.crashes > minCrashes ? end : std::min<TimePoint>(end, since + tryDelay);
        longest = std::max(longest, std::chrono::ceil<std::chrono::milliseconds>(next - now));
    }
    return longest.count() > 0 ? std::optional(longest) : std::nullopt;
}

std::vector<CrashSubject> CrashEvidence::quarantinedAmong(const std::vector<CrashSubject>& subjects, TimePoint now)
{
    std::vector<CrashSubject> out;
    if (m_crashes.empty())
        return out;
    update(now);
    std::copy_if(subjects.begin(), subjects.end(), std::back_inserter(out), [this](CrashSubject subject) { return m_quarantined.contains(subject); });
    return out;
}

bool CrashEvidence::isProven(const std::vector<CrashSubject>& subjects, TimePoint now)
{
    const auto quarantined = quarantinedAmong(subjects, now);
    return std::any_of(quarantined.begin(), quarantined.end(), [this](CrashSubject subject) { return m_quarantined.at(subject).crashes > minCrashes; });
}

void CrashEvidence::recordTry(const std::vector<CrashSubject>& subjects, TimePoint now)
{
    for (const auto subject : subjects)
        m_triedAt[subject] = now;
}

void CrashEvidence::update(TimePoint now)
{
    expire(now);
    if (std::exchange(m_isOutdated, false))
        evaluate();
}

std::vector<QuarantinedSubject> CrashEvidence::quarantined(TimePoint now)
{
    update(now);
    std::vector<QuarantinedSubject> out;
    for (const auto& [subject, entry] : m_quarantined)
        out.push_back(entry);
    return out;
}

const std::deque<RunnerCrash>& CrashEvidence::crashes(TimePoint now)
{
    expire(now);
    return m_crashes;
}

void CrashEvidence::expire(TimePoint now)
{
    const auto isOver = [&](const auto& entry) { return now - entry.at > m_crashLifetime; };
    m_isOutdated = std::erase_if(m_crashes, isOver) > 0 || m_isOutdated;
    rotateAnswers(now);
    std::erase_if(m_withdrawals, isOver);
    std::erase_if(m_triedAt, [&](const auto& entry) { return now - entry.second > m_crashLifetime; });
    for (auto& [subject, hosts] : m_reportedAnswers)
        std::erase_if(hosts, [&](const auto& entry) { return now - entry.second.at > m_answerLifetime; });
    std::erase_if(m_reportedAnswers, [](const auto& entry) { return entry.second.empty(); });
}

void CrashEvidence::rotateAnswers(TimePoint now)
{
    const auto age = now - m_answersSince;
    if (age < m_answerLifetime / 2 && m_newAnswers.size() < maxAnsweredSubjects)
        return;
    m_oldAnswers = std::exchange(m_newAnswers, {});
    if (age >= m_answerLifetime)
        m_oldAnswers.clear();
    m_answersSince = now;
    m_isOutdated = true;
}

std::size_t CrashEvidence::answers(CrashSubject subject) const
{
    auto out = ownAnswers(subject);
    const auto reported = m_reportedAnswers.find(subject);
    if (reported != m_reportedAnswers.end()) {
        for (const auto& [host, entry] : reported->second)
            out += entry.answers;
    }
    return out;
}

std::vector<CrashEvidence::Accusation> CrashEvidence::accuse(const std::vector<std::size_t>& positions, const std::vector<std::size_t>& causes) const
{
    // Pairs of a subject and the order of a crash that it is accused of.
    std::vector<std::pair<CrashSubject, std::size_t>> accused;
    for (std::size_t order = 0; order < positions.size(); ++order) {
        for (const auto& suspect : m_crashes[positions[order]].suspects) {
            for (const auto subject : suspect.subjects)
                accused.emplace_back(subject, order);
        }
    }
    std::sort(accused.begin(), accused.end());
    accused.erase(std::unique(accused.begin(), accused.end()), accused.end());
    std::vector<Accusation> out;
    for (auto it = accused.begin(); it != accused.end();) {
        const auto end = std::find_if(it, accused.end(), [&](const auto& pair) { return pair.first != it->first; });
        Accusation accusation { it->first, {}, 0, 0, {} };
        if (end - it >= static_cast<std::ptrdiff_t>(minCrashes)) {
            std::transform(it, end, std::back_inserter(accusation.crashes), [&](const auto& pair) { return positions[pair.second]; });
            accusation.causes = countCauses(accusation.crashes, causes);
            accusation.answers = answers(accusation.subject);
            if (accusation.weight() >= static_cast<double>(minCrashes))
                out.push_back(std::move(accusation));
        }
        it = end;
    }
    for (auto& accusation : out) {
        for (const auto i : accusation.crashes) {
            for (const auto& suspect : m_crashes[i].suspects) {
                if (std::find(suspect.subjects.begin(), suspect.subjects.end(), accusation.subject) != suspect.subjects.end())
                    accusation.requests.insert(suspect.fingerprint);
            }
        }
    }
    return out;
}

std::vector<std::size_t> CrashEvidence::findCauses(const std::vector<std::size_t>& positions) const
{
    std::vector<std::size_t> out(m_crashes.size());
    std::iota(out.begin(), out.end(), std::size_t(0));
    for (auto it = positions.begin(); it != positions.end();) {
        const auto end = std::find_if(it, positions.end(), [&](std::size_t i) { return m_crashes[i].at - m_crashes[*it].at > commonCauseTime; });
        const std::vector<std::size_t> group(it, end);
        it = end;
        if (group.size() < minCommonCauseCrashes)
            continue;
        const auto accusations = accuse(group, out);
        const bool isExplained = std::any_of(accusations.begin(), accusations.end(), [&](const auto& accusation) { return 2 * accusation.weight() > static_cast<double>(group.size()); });
        for (const auto i : group)
            out[i] = isExplained ? out[i] : group.front();
    }
    return out;
}

void CrashEvidence::evaluate()
{
    m_quarantined.clear();
    m_suspected.clear();
    for (const auto& crash : m_crashes) {
        for (const auto& suspect : crash.suspects)
            m_suspected.insert(suspect.subjects.begin(), suspect.subjects.end());
    }
    // The crashes that are not explained, by their time.
    std::vector<std::size_t> positions(m_crashes.size());
    std::iota(positions.begin(), positions.end(), std::size_t(0));
    std::sort(positions.begin(), positions.end(), [this](auto a, auto b) { return m_crashes[a].at < m_crashes[b].at; });
    const auto causes = findCauses(positions);
    while (true) {
        const auto accusations = accuse(positions, causes);
        const auto strongest = std::max_element(accusations.begin(), accusations.end(), [](const auto& a, const auto& b) { return a.isWeakerThan(b); });
        if (strongest == accusations.end())
            return;
        // Subjects that only ever came together can't be told apart.
        for (const auto& accusation : accusations) {
            if (accusation.crashes == strongest->crashes && accusation.requests == strongest->requests)
                m_quarantined[accusation.subject] = { accusation.subject, accusation.causes, accusation.answers, m_crashes[accusation.crashes.back()].at };
        }
        std::erase_if(positions, [&](std::size_t i) { return std::find(strongest->crashes.begin(), strongest->crashes.end(), i) != strongest->crashes.end(); });
    }
}

}
