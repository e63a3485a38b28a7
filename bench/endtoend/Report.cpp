#include "endtoend/Report.h"

#include <algorithm>
#include <cstdio>

namespace bench {

using chiveshelf::Priority;

namespace {

    // Target of each class for the first-token time, in ms. Users require 0.45 s for urgent requests.
    constexpr std::array<double, chiveshelf::priorityCount> firstTokenTargetsMs { 450, 2'000, 30'000 };

    ClassResult evaluateClass(const std::vector<Sample>& samples, Priority priority)
    {
        ClassResult out;
        std::vector<double> firstTokens;
        std::vector<double> gaps;
        std::vector<double> refusals;
        std::size_t withinTargetCount = 0;
        for (const auto& sample : samples) {
            if (sample.priority != priority)
                continue;
            ++out.sent;
            if (sample.isComplete) {
                ++out.completed;
                firstTokens.push_back(sample.firstTokenMs);
                if (sample.tokenGapMs >= 0)
                    gaps.push_back(sample.tokenGapMs);
                if (sample.firstTokenMs <= firstTokenTargetsMs[priorityIndex(priority)])
                    ++withinTargetCount;
            } else if (sample.status == 429 || sample.status == 503) {
                ++out.refused;
                refusals.push_back(sample.totalMs);
            } else {
                ++out.failed;
            }
        }
        out.withinTargetShare = out.sent ? static_cast<double>(withinTargetCount) / static_cast<double>(out.sent) : 0;
        out.firstTokenP50Ms = percentile(firstTokens, 0.50);
        out.firstTokenP95Ms = percentile(firstTokens, 0.95);
        out.firstTokenP99Ms = percentile(firstTokens, 0.99);
        out.tokenGapP95Ms = percentile(gaps, 0.95);
        out.refusalP95Ms = percentile(refusals, 0.95);
        return out;
    }

    void evaluateFairness(const std::vector<Sample>& samples, RunResult& result)
    {
        std::vector<double> small;
        std::vector<double> large;
        std::size_t smallSent = 0;
        for (const auto& sample : samples) {
            if (sample.priority != Priority::Standard)
                continue;
            smallSent += sample.isLargeOrganisation ? 0 : 1;
            if (sample.isComplete)
                (sample.isLargeOrganisation ? large : small).push_back(sample.firstTokenMs);
        }
        result.smallFirstTokenP95Ms = percentile(small, 0.95);
        const auto largeP95 = percentile(large, 0.95);
        result.smallToLargeRatio = largeP95 > 0 ? result.smallFirstTokenP95Ms / largeP95 : 0;
        result.smallCompletedShare = smallSent ? static_cast<double>(small.size()) / static_cast<double>(smallSent) : 0;
    }

}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return -1;
    const auto n = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

RunResult evaluate(const std::string& scenario, const std::string& policy, const std::vector<Sample>& samples, std::chrono::milliseconds duration)
{
    RunResult result;
    result.scenario = scenario;
    result.policy = policy;
    std::int64_t prompt = 0;
    std::int64_t reused = 0;
    std::size_t inTarget = 0;
    for (const auto& sample : samples) {
        if (!sample.isComplete)
            continue;
        prompt += sample.promptTokens;
        reused += sample.reusedTokens;
        inTarget += sample.firstTokenMs <= firstTokenTargetsMs[priorityIndex(sample.priority)] ? 1 : 0;
    }
    result.recomputedShare = prompt ? 1.0 - static_cast<double>(reused) / static_cast<double>(prompt) : 0;
    result.goodputPerSecond = static_cast<double>(inTarget) * 1'000 / static_cast<double>(duration.count());
    for (const auto priority : chiveshelf::allPriorities)
        result.classes[priorityIndex(priority)] = evaluateClass(samples, priority);
    evaluateFairness(samples, result);
    return result;
}

nlohmann::ordered_json toJson(const RunResult& result)
{
    nlohmann::ordered_json out {
        { "scenario", result.scenario },
        { "policy", result.policy },
        { "recomputed_share", result.recomputedShare },
        { "small_to_large_ratio", result.smallToLargeRatio },
        { "small_first_token_p95_ms", result.smallFirstTokenP95Ms },
        { "small_completed_share", result.smallCompletedShare },
        { "goodput_per_s", result.goodputPerSecond },
        { "link_bytes", result.linkBytes },
        { "host_cpu_percent", result.hostCpuPercent },
        { "host_memory_mb", result.hostMemoryMb },
    };
    for (const auto priority : chiveshelf::allPriorities) {
        const auto& classResult = result.classes[priorityIndex(priority)];
        out["classes"][std::string(priorityName(priority))] = {
            { "sent", classResult.sent },
            { "completed", classResult.completed },
            { "refused", classResult.refused },
            { "failed", classResult.failed },
            { "within_target", classResult.withinTargetShare },
            { "first_token_p50_ms", classResult.firstTokenP50Ms },
            { "first_token_p95_ms", classResult.firstTokenP95Ms },
            { "first_token_p99_ms", classResult.firstTokenP99Ms },
            { "token_gap_p95_ms", classResult.tokenGapP95Ms },
            { "refusal_p95_ms", classResult.refusalP95Ms },
        };
    }
    return out;
}

std::string tableHeader()
{
    return "| scenario | policy | urgent p50/p95/p99 ms | urgent in target | standard p95 ms | batch p95 ms | completed u/s/b % | refused | "
           "refusal p95 ms | failed | recomputed % | small p95 ms | small/large | goodput/s | link MB |\n"
           "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

std::string tableRow(const RunResult& result)
{
    const auto& urgent = result.classes[0];
    const auto& standard = result.classes[1];
    const auto& batch = result.classes[2];
    const auto share = [](const ClassResult& classResult) { return classResult.sent ? 100.0 * static_cast<double>(classResult.completed) / static_cast<double>(classResult.sent) : 0; };
    char buf[512];
    std::snprintf(buf, sizeof(buf), "| %s | %s | %.0f/%.0f/%.0f | %.0f%% | %.0f | %.0f | %.0f/%.0f/%.0f | %zu | %.0f | %zu | %.0f | %.0f | %.2f | %.1f | %.1f |\n",
        result.scenario.c_str(), result.policy.c_str(), urgent.firstTokenP50Ms, urgent.firstTokenP95Ms, urgent.firstTokenP99Ms,
        100 * urgent.withinTargetShare, standard.firstTokenP95Ms, batch.firstTokenP95Ms, share(urgent), share(standard), share(batch),
        urgent.refused + standard.refused + batch.refused, std::max({ urgent.refusalP95Ms, standard.refusalP95Ms, batch.refusalP95Ms }),
        urgent.failed + standard.failed + batch.failed, 100 * result.recomputedShare, result.smallFirstTokenP95Ms, result.smallToLargeRatio,
        result.goodputPerSecond, static_cast<double>(result.linkBytes) / 1e6);
    return buf;
}

}
