#include "chiveshelf/placement/BackendState.h"

#include "chiveshelf/core/Hash.h"

#include <cmath>
#include <utility>

namespace chiveshelf {

namespace {

    // Weight of the newest sample in the moving average of the prefill speed.
    constexpr double speedSampleWeight = 0.2;
    // Plausible range of prefill speeds; samples outside are treated as measurement errors.
    constexpr double minTokensPerMs = 5;
    constexpr double maxTokensPerMs = 1'000;
    // A sample below this share of the known speed means that the runner had evicted parts that were assumed to be cached.
    constexpr double minSampleShare = 0.4;
    // Decay time of the worst slowdown of a machine, many times the length of one slow period.
    constexpr double worstSlowdownDecayMs = 10'000;

}

std::uint32_t runnerNumber(const RunnerRecord& record)
{
    return static_cast<std::uint32_t>(hash64(record.id, static_cast<std::uint64_t>(record.bornMs)));
}

BackendState::BackendState(RunnerRecord record, std::int64_t memoryTokens)
    : m_record(std::move(record))
    , m_number(runnerNumber(m_record))
    , m_memoryTokens(memoryTokens)
    , m_cachedParts(memoryTokens)
{
}

void BackendState::update(RunnerRecord record)
{
    for (const auto& [model, version] : record.modelVersions) {
        const auto known = m_record.modelVersions.find(model);
        // Answers report new weights sooner than the registry does.
        if (known != m_record.modelVersions.end() && known->second > version)
            record.modelVersions[model] = known->second;
        else if (known != m_record.modelVersions.end() && known->second < version)
            m_cachedParts.clear();
    }
    m_isColdLeftNew = m_isColdLeftNew || record.sequence != m_record.sequence;
    m_record = std::move(record);
}

void BackendState::setWarmUpBound(const std::optional<WarmUpBound>& bound, TimePoint now)
{
    m_warmUpBound = bound;
    if (std::exchange(m_isColdLeftNew, false))
        m_warmUpEnd = std::max(m_warmUpEnd, now + m_record.coldLeft);
}

void BackendState::suspectRestart(TimePoint now)
{
    if (m_warmUpBound)
        m_warmUpEnd = std::max(m_warmUpEnd, now + m_warmUpBound->duration);
}

void BackendState::setPeerWork(std::uint64_t host, const OutstandingWork& work, TimePoint now, std::chrono::milliseconds lifetime)
{
    // Removes the expired work of hosts that have left.
    if (!m_peers.contains(host))
        std::erase_if(m_peers, [&](const auto& entry) { return now > entry.second.expiry; });
    m_peers[host] = { work, now + lifetime };
    m_peerRequests.isValid = false;
}

void BackendState::addPeerPrompt(std::uint64_t host, const PlacedPrompt& prompt, TimePoint now)
{
    m_peerQueue.add(prompt, now);
    auto& peer = m_peers[host];
    if (now > peer.expiry)
        peer = { {}, now + loadLifetime };
    ++peer.work.requests;
    m_peerRequests.isValid = false;
    ++peer.work.prompts[priorityClass(prompt.priority)];
    peer.work.memoryTokens[priorityClass(prompt.priority)] += prompt.memoryTokens;
}

OutstandingWork BackendState::totalWork(TimePoint now) const
{
    auto sum = m_ownWork;
    for (const auto& [host, peer] : m_peers) {
        if (now <= peer.expiry)
            sum += peer.work;
    }
    return sum;
}

void BackendState::setLoadReport(const LoadReport& report, TimePoint now)
{
    m_loadReport = report;
    m_loadReportAt = now;
    setWorkTime(report.workPercent, now);
}

void BackendState::setWorkTime(std::int32_t percent, TimePoint at)
{
    if (at <= m_workTimeAt || percent <= 0)
        return;
    m_workPercent = percent;
    m_workTimeAt = at;
    const auto factor = percent / 100.0;
    if (factor < worstSlowdown(at))
        return;
    m_worstSlowdown = factor;
    m_worstSlowdownAt = at;
}

double BackendState::worstSlowdown(TimePoint now) const
{
    return 1 + (m_worstSlowdown - 1) * std::exp(-toMilliseconds(now - m_worstSlowdownAt) / worstSlowdownDecayMs);
}

double BackendState::slowdown(TimePoint now) const
{
    const auto age = now - m_workTimeAt;
    if (age >= workTimeLifetime)
        return 1;
    const auto weight = 1 - toMilliseconds(age) / toMilliseconds(workTimeLifetime);
    return 1 + (m_workPercent / 100.0 - 1) * weight;
}

std::int32_t BackendState::peerRequests(TimePoint now) const
{
    auto& sum = m_peerRequests;
    if (sum.isValid && now >= sum.from && now <= sum.until)
        return sum.requests;
    sum = { 0, now, TimePoint::max(), true };
    for (const auto& [host, peer] : m_peers) {
        if (now > peer.expiry)
            continue;
        sum.requests += peer.work.requests;
        sum.until = std::min(sum.until, peer.expiry);
    }
    return sum.requests;
}

std::int32_t BackendState::requests(TimePoint now) const
{
    const auto known = m_ownWork.requests + peerRequests(now);
    // A report shows the load at the time of one answer, so its weight decreases with its age.
    const auto age = now - m_loadReportAt;
    if (age > loadLifetime)
        return known;
    const auto weight = 1 - toMilliseconds(age) / toMilliseconds(loadLifetime);
    const auto reported = static_cast<std::int32_t>((m_loadReport.running + m_loadReport.waiting) * weight);
    return std::max(known, reported);
}

std::optional<std::uint64_t> BackendState::version(const std::string& model) const
{
    const auto it = m_record.modelVersions.find(model);
    return it == m_record.modelVersions.end() ? std::nullopt : std::optional(it->second);
}

void BackendState::setVersion(const std::string& model, std::uint64_t version)
{
    auto& known = m_record.modelVersions[model];
    if (known == version)
        return;
    known = version;
    m_cachedParts.clear();
}

bool BackendState::learnSpeed(double tokensPerMs)
{
    if (tokensPerMs < minTokensPerMs || tokensPerMs > maxTokensPerMs || tokensPerMs < m_tokensPerMs * minSampleShare)
        return false;
    m_tokensPerMs = m_tokensPerMs == 0 ? tokensPerMs : m_tokensPerMs * (1 - speedSampleWeight) + tokensPerMs * speedSampleWeight;
    return true;
}

}
