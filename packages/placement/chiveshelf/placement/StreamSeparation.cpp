#include "chiveshelf/placement/StreamSeparation.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace chiveshelf {

namespace {

    // Time over which work is forgotten: long enough for some tens of prompts on each host of a large fleet.
    constexpr double memoryMs = 8'000;
    // Reading time as a share of the longest pause at which a prompt begins to count as a risk, and at which it surely is one.
    constexpr double leastRiskShare = 0.35;
    constexpr double sureRiskShare = 0.85;
    // Engine time that streams are given for each ms of their reading: prompts of streams that come together must not queue.
    constexpr double streamHeadroom = 2;
    // ms that a stream beside long prompts counts as slower, and a long prompt beside streams.
    constexpr double separationMs = 60;

}

StreamEffect StreamSeparation::effect(double readMs, std::int64_t outputTokens, double slowdown, std::chrono::milliseconds longestPause) const
{
    if (longestPause.count() == 0)
        return {};
    const auto share = readMs * slowdown / toMilliseconds(longestPause);
    const auto usualTokens = m_prompts > 0 ? m_outputTokens / m_prompts : 0;
    StreamEffect out;
    out.pauseRisk = std::clamp((share - leastRiskShare) / (sureRiskShare - leastRiskShare), 0.0, 1.0);
    out.exposure = usualTokens > 0 ? std::min(static_cast<double>(outputTokens) / usualTokens, 1.0) : 1.0;
    return out;
}

double StreamSeparation::cost(const StreamEffect& effect, double streamShare)
{
    const auto asReader = effect.pauseRisk * streamShare;
    const auto asStream = (1 - effect.pauseRisk) * effect.exposure * (1 - streamShare);
    return separationMs * (asReader + asStream);
}

void StreamSeparation::learn(const StreamEffect& effect, double readMs, std::int64_t outputTokens, TimePoint now)
{
    const auto kept = m_prompts > 0 ? std::exp(-toMilliseconds(now - m_learnedAt) / memoryMs) : 0;
    m_longReadMs = m_longReadMs * kept + effect.pauseRisk * readMs;
    m_streamReadMs = m_streamReadMs * kept + (1 - effect.pauseRisk) * effect.exposure * readMs;
    m_outputTokens = m_outputTokens * kept + static_cast<double>(outputTokens);
    m_prompts = m_prompts * kept + 1;
    m_learnedAt = now;
}

StreamSeparation::StreamShares StreamSeparation::shares(const BackendDirectory::RunnerList& runners) const
{
    const auto streamWork = streamHeadroom * m_streamReadMs;
    const auto work = streamWork + m_longReadMs;
    if (work <= 0 || m_longReadMs <= 0)
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
