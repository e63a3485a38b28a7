#include "chiveshelf/gateway/SuspicionNotices.h"

#include "chiveshelf/core/Log.h"

#include <algorithm>
#include <utility>

namespace chiveshelf {

namespace {

    // Repetitions of an observation. With them, nine of ten hosts learn it at least once even if half of all datagrams are lost.
    constexpr int repetitionsPerObservation = 3;
    // An observation that this host has announced within this time is not announced again at once.
    constexpr std::chrono::milliseconds minAnnounceInterval { 500 };
    // The rule is evaluated again after this time, since the list of hosts may have changed.
    constexpr std::chrono::milliseconds tryDecisionLifetime { 1'000 };
    // Entries of 9 bytes, so that a notice fits into one datagram.
    constexpr std::size_t maxEntriesPerNotice = 140;

    std::uint32_t ageMs(TimePoint at, TimePoint now)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count(), 0));
    }

}

SuspicionNotices::SuspicionNotices(bool isEnabled, std::uint64_t hostHash, std::uint64_t dataCentre, Sender sender, TryRule tryRule)
    : m_isEnabled(isEnabled)
    , m_hostHash(hostHash)
    , m_dataCentre(dataCentre)
    , m_send(std::move(sender))
    , m_tryRule(std::move(tryRule))
    , m_suspicions(dataCentre)
{
}

void SuspicionNotices::onConnectionFailed(std::uint32_t runner, TimePoint startedAt, TimePoint now)
{
    if (!m_isEnabled)
        return;
    ++m_events["failed"];
    if (m_suspicions.addReport(runner, m_hostHash, m_dataCentre, startedAt))
        announce(runner, false, startedAt, now);
}

void SuspicionNotices::onRunnerData(std::uint32_t runner, TimePoint now)
{
    if (!m_isEnabled || !m_suspicions.recordReached(runner, now))
        return;
    ++m_events["reached"];
    announce(runner, true, now, now);
}

void SuspicionNotices::announce(std::uint32_t runner, bool isReached, TimePoint at, TimePoint now)
{
    const auto it = m_observations.find(runner);
    const bool isRecent = it != m_observations.end() && it->second.isReached == isReached && now - it->second.announcedAt < minAnnounceInterval;
    if (isRecent)
        return;
    m_observations[runner] = { at, now, isReached, repetitionsPerObservation };
    if (takeFromBudget(now))
        send({ m_hostHash, m_dataCentre, { { runner, ageMs(at, now), isReached } } });
}

bool SuspicionNotices::takeFromBudget(TimePoint now)
{
    m_budget = std::min(m_budget + noticesPerSecond * toMilliseconds(now - m_budgetUpdatedAt) / 1'000, noticesPerSecond);
    m_budgetUpdatedAt = now;
    if (m_budget < 1)
        return false;
    m_budget -= 1;
    return true;
}

void SuspicionNotices::send(const SuspicionNotice& notice)
{
    ++m_events["notices"];
    m_send(notice);
}

void SuspicionNotices::applyNotice(const SuspicionNotice& notice, TimePoint now)
{
    if (!m_isEnabled)
        return;
    for (const auto& entry : notice.entries) {
        const auto at = now - std::chrono::milliseconds(entry.ageMs);
        if (entry.isReached)
            m_events["withdrawn"] += m_suspicions.recordReached(entry.runner, at) ? 1 : 0;
        else
            ++m_events[m_suspicions.addReport(entry.runner, notice.host, notice.dataCentre, at) ? "reported" : "outdated"];
    }
}

void SuspicionNotices::sendRepetitions(TimePoint now)
{
    if (!m_isEnabled)
        return;
    SuspicionNotice notice { m_hostHash, m_dataCentre, {} };
    for (auto& [runner, observation] : m_observations) {
        if (observation.repetitions == 0 || notice.entries.size() == maxEntriesPerNotice)
            continue;
        --observation.repetitions;
        notice.entries.push_back({ runner, ageMs(observation.at, now), observation.isReached });
    }
    if (!notice.entries.empty())
        send(notice);
    std::erase_if(m_observations, [&](const auto& entry) { return entry.second.repetitions == 0 && now - entry.second.announcedAt >= minAnnounceInterval; });
    std::erase_if(m_tries, [&](const auto& entry) { return now - entry.second.at >= tryDecisionLifetime; });
    m_suspicions.sweep(now);
    logChanges(now);
}

void SuspicionNotices::logChanges(TimePoint now)
{
    auto suspected = m_suspicions.suspected(now);
    for (const auto runner : suspected) {
        if (!std::binary_search(m_logged.begin(), m_logged.end(), runner))
            logEvent(LogLevel::Info, "runner_suspected", { { "runner_number", runner } });
    }
    for (const auto runner : m_logged) {
        if (!std::binary_search(suspected.begin(), suspected.end(), runner))
            logEvent(LogLevel::Info, "runner_suspicion_ended", { { "runner_number", runner } });
    }
    m_logged = std::move(suspected);
}

bool SuspicionNotices::isTrying(std::uint32_t runner, TimePoint now)
{
    const auto it = m_tries.find(runner);
    if (it != m_tries.end() && now - it->second.at < tryDecisionLifetime)
        return it->second.isTrying;
    const bool isTrying = m_tryRule(runner);
    m_tries[runner] = { now, isTrying };
    return isTrying;
}

bool SuspicionNotices::isAvoided(std::uint32_t runner, TimePoint now)
{
    return m_suspicions.isSuspected(runner, now) && !isTrying(runner, now);
}

BackendDirectory::RunnerList SuspicionNotices::selectRunners(const BackendDirectory::RunnerList& runners, const PlacementContext& context)
{
    BackendDirectory::RunnerList out;
    bool isOtherUsable = false;
    for (const auto& runner : runners) {
        const bool isSuspected = m_suspicions.isSuspected(runner->number(), context.now);
        isOtherUsable = isOtherUsable || (!isSuspected && runner->isUsable(context.now) && !context.isExcluded(runner->record().id));
        if (!isSuspected || isTrying(runner->number(), context.now))
            out.push_back(runner);
    }
    return isOtherUsable ? out : runners;
}

}
