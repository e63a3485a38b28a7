#include "chiveshelf/placement/StreamSeparation.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace chiveshelf {

namespace {

    // Decay time of the recorded work. In this time each host of a large fleet places some tens of prompts.
    constexpr double decayMs = 8'000;
    // Prefill times, as shares of the longest pause, between which the risk of a prompt to other streams rises from 0 to 1.
    constexpr double minRiskShare = 0.35;
    constexpr double certainRiskShare = 0.85;
    // Engine time reserved for streams per ms of their prefill, so that the prompts of streams that arrive together do not queue.
    constexpr double streamHeadroom = 2;
    // Cost in ms of a stream on an engine preferred for long prompts, and of a long prompt on an engine preferred for streams.
    constexpr double separationPenaltyMs = 60;

}

StreamEffect StreamSeparation::effect(double prefillMs, std::int64_t outputTokens, double slowdown, std::chrono::milliseconds longestPause) const
{
    if (longestPause.count() == 0)
        return {};
    const auto share = prefillMs * slowdown / toMilliseconds(longestPause);
    const auto meanOutputTokens = m_prompts > 0 ? m_outputTokens / m_prompts : 0;
    StreamEffect out;
    out.pauseRisk = std::clamp((share - minRiskShare) / (certainRiskShare - minRiskShare), 0.0, 1.0);
    out.relativeStreamLength = meanOutputTokens > 0 ? std::min(static_cast<double>(outputTokens) / meanOutputTokens, 1.0) : 1.0;
    return out;
}

double StreamSeparation::cost(const StreamEffect& effect, double streamShare)
{
    const auto prefillCost = effect.pauseRisk * streamShare;
    const auto streamCost = (1 - effect.pauseRisk) * effect.relativeStreamLength * (1 - streamShare);
    return separationPenaltyMs * (prefillCost + streamCost);
}

void StreamSeparation::learn(const StreamEffect& effect, double prefillMs, std::int64_t outputTokens, TimePoint now)
{
    const auto retained = m_prompts > 0 ? std::exp(-toMilliseconds(now - m_learnedAt) / decayMs) : 0;
    m_longPrefillMs = m_longPrefillMs * retained + effect.pauseRisk * prefillMs;
    m_streamPrefillMs = m_streamPrefillMs * retained + (1 - effect.pauseRisk) * effect.relativeStreamLength * prefillMs;
    m_outputTokens = m_outputTokens * retained + static_cast<double>(outputTokens);
    m_prompts = m_prompts * retained + 1;
    m_learnedAt = now;
}

StreamSeparation::StreamShares StreamSeparation::shares(const BackendDirectory::RunnerList& runners) const
{
    const auto streamWork = streamHeadroom * m_streamPrefillMs;
    const auto work = streamWork + m_longPrefillMs;
    if (work <= 0 || m_longPrefillMs <= 0)
        return StreamShares(runners.size(), 1.0);
    std::map<std::string_view, std::vector<std::size_t>> byDataCentre;
    for (std::size_t i = 0; i < runners.size(); ++i)
        byDataCentre[runners[i]->record().dataCentre].push_back(i);
    StreamShares out(runners.size());
    for (auto& [dataCentre, engines] : byDataCentre) {
        std::sort(engines.begin(), engines.end(), [&](auto a, auto b) { return runners[a]->number() < runners[b]->number(); });
        const auto streamEngines = static_cast<double>(engines.size()) * streamWork / work;
        for (std::size_t i = 0; i < engines.size(); ++i)
            out[engines[i]] = std::clamp(streamEngines - static_cast<double>(i), 0.0, 1.0);
    }
    return out;
}

}
