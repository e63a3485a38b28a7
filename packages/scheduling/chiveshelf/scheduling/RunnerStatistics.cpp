#include "chiveshelf/scheduling/RunnerStatistics.h"

#include "chiveshelf/core/Log.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace chiveshelf {

namespace {

    // Weight of the newest sample in the moving averages.
    constexpr double smoothingFactor = 0.2;
    constexpr double defaultPrefillSpeed = 10'000;
    // Prompts below this size measure the fixed part of the time to first token, longer ones the prefill speed.
    constexpr std::int64_t shortPromptTokens = 256;
    // A request is slow if it takes this many times the time that the pool's median runner would need.
    constexpr double slowFactor = 3;
    // A request is not slow if it exceeds that time by less than this: such differences are network and timer noise.
    constexpr EstimatedTime slowMargin { 100 };
    constexpr auto sampleHalfLife = std::chrono::seconds(20);
    constexpr auto firstProbePause = std::chrono::milliseconds(1'000);
    constexpr int maximumProbeDoublings = 5;

    template <typename Value>
    void updateAverage(Value& value, Value sample)
    {
        value = value == Value {} ? sample : value + (sample - value) * smoothingFactor;
    }

    std::chrono::steady_clock::duration toClock(EstimatedTime time)
    {
        return std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
    }

    // Returns the weight at `now` of measurements whose last sample was taken at `sampledAt`. It halves every sampleHalfLife.
    double sampleWeight(TimePoint sampledAt, TimePoint now)
    {
        return std::exp2(-(now - sampledAt) / std::chrono::duration<double>(sampleHalfLife));
    }

    template <typename Value>
    Value median(std::vector<Value> values, Value fallback)
    {
        if (values.empty())
            return fallback;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

}

void RunnerStatistics::setRunners(const std::vector<std::string>& names, int slotsPerRunner)
{
    m_slotsPerRunner = slotsPerRunner;
    if (names.size() == m_runners.size() && std::all_of(names.begin(), names.end(), [&](const auto& name) { return m_runners.contains(name); }))
        return;
    std::map<std::string, Runner> kept;
    for (const auto& name : names) {
        const auto it = m_runners.find(name);
        kept[name] = it == m_runners.end() ? Runner {} : std::move(it->second);
    }
    m_runners = std::move(kept);
}

int RunnerStatistics::slotsOf(const Runner& runner) const
{
    if (runner.health.health() == RunnerHealth::Probing)
        return 1;
    const auto share = runner.health.slotShare();
    return share <= 0 ? 0 : std::max(1, static_cast<int>(std::floor(share * m_slotsPerRunner)));
}

void RunnerStatistics::started(const Assignment& assignment, TimePoint now)
{
    const auto it = m_runners.find(assignment.runner);
    if (it == m_runners.end() || m_running.contains(assignment.requestId))
        return;
    auto& runner = it->second;
    const auto speed = runner.prefillTokensPerSecond > 0 ? runner.prefillTokensPerSecond : medianPrefillSpeed();
    const auto perToken = runner.timePerToken.count() > 0 ? runner.timePerToken : medianTimePerToken();
    Running running;
    running.runner = assignment.runner;
    running.priority = assignment.priority;
    running.startedAt = now;
    running.maxTokens = assignment.maxTokens;
    running.prefillWait = std::max(EstimatedTime(runner.prefillBusyUntil[priorityIndex(assignment.priority)] - now), EstimatedTime(0));
    running.prefill = EstimatedTime(1'000.0 * static_cast<double>(assignment.computedTokens) / speed);
    for (auto index = priorityIndex(assignment.priority); index < priorityCount; ++index) {
        auto& busyUntil = runner.prefillBusyUntil[index];
        busyUntil = std::max({ now, busyUntil, now + toClock(assignment.import.time) }) + toClock(running.prefill);
    }
    running.firstTokenExpected = runner.prefillBusyUntil[priorityIndex(assignment.priority)] + toClock(runner.overhead);
    running.endExpected = running.firstTokenExpected + toClock(perToken * (m_outputShare * static_cast<double>(assignment.maxTokens)));
    m_running[assignment.requestId] = std::move(running);
}

void RunnerStatistics::adopted(const std::string& requestId, const std::string& runner, Priority priority, TimePoint now)
{
    if (m_running.contains(requestId))
        return;
    Running running;
    running.runner = runner;
    running.priority = priority;
    running.startedAt = running.firstTokenExpected = now;
    running.endExpected = now + toClock(m_serviceTime);
    m_running[requestId] = std::move(running);
}

void RunnerStatistics::finished(const FinishedWork& work, TimePoint now)
{
    const auto running = m_running.find(work.requestId);
    if (running == m_running.end())
        return;
    const auto entry = running->second;
    m_running.erase(running);
    const auto it = m_runners.find(entry.runner);
    if (it == m_runners.end())
        return;
    releasePrefill(entry, now);
    if (work.hasRunnerFailed) {
        updateHealth(it->first, it->second, work.isRunnerUnreachable ? HealthSignal::Unreachable : HealthSignal::Failure, now);
        return;
    }
    if (!work.hasSucceeded)
        return;
    const bool wasSlow = isSlow(entry, work);
    updateSpeeds(it->second, entry, work, now);
    updateHealth(it->first, it->second, wasSlow ? HealthSignal::Slow : HealthSignal::Success, now);
}

void RunnerStatistics::releasePrefill(const Running& running, TimePoint now)
{
    const auto it = m_runners.find(running.runner);
    if (it == m_runners.end() || running.firstTokenExpected <= now)
        return;
    const auto left = std::min(EstimatedTime(running.firstTokenExpected - now), running.prefill);
    for (auto index = priorityIndex(running.priority); index < priorityCount; ++index)
        it->second.prefillBusyUntil[index] -= toClock(left);
}

void RunnerStatistics::dropped(const std::string& requestId, TimePoint now)
{
    const auto it = m_running.find(requestId);
    if (it == m_running.end())
        return;
    releasePrefill(it->second, now);
    m_running.erase(it);
}

void RunnerStatistics::preemptionStarted(const std::string& requestId)
{
    const auto it = m_running.find(requestId);
    if (it != m_running.end())
        it->second.isPreempting = true;
}

void RunnerStatistics::setReportedLoad(const std::string& runner, int load)
{
    const auto it = m_runners.find(runner);
    if (it != m_runners.end())
        it->second.reportedLoad = load;
}

void RunnerStatistics::updateHealth(const std::string& name, Runner& runner, HealthSignal healthSignal, TimePoint now)
{
    const auto before = runner.health.health();
    runner.health.handle(healthSignal);
    const auto after = runner.health.health();
    if (before == after)
        return;
    if (after == RunnerHealth::Ejected) {
        const auto doublings = std::min(runner.health.ejections() - 1, maximumProbeDoublings);
        runner.probeAt = now + firstProbePause * (1 << std::max(doublings, 0));
        runner.prefillBusyUntil.fill(now);
    }
    logEvent(after == RunnerHealth::Ejected ? LogLevel::Warning : LogLevel::Info, "runner_health",
        { { "runner", name }, { "from", runnerHealthName(before) }, { "to", runnerHealthName(after) } });
}

double RunnerStatistics::medianPrefillSpeed() const
{
    std::vector<double> values;
    for (const auto& [name, runner] : m_runners) {
        if (runner.prefillTokensPerSecond > 0)
            values.push_back(runner.prefillTokensPerSecond);
    }
    return median(std::move(values), defaultPrefillSpeed);
}

EstimatedTime RunnerStatistics::medianTimePerToken() const
{
    std::vector<EstimatedTime> values;
    for (const auto& [name, runner] : m_runners) {
        if (runner.timePerToken.count() > 0)
            values.push_back(runner.timePerToken);
    }
    // 0 without a measurement, so that decoding adds no time to the expected end. With an assumed 20 ms per token admission
    // refused requests that had seconds left until their deadline.
    return median(std::move(values), EstimatedTime(0));
}

void RunnerStatistics::updateSpeeds(Runner& runner, const Running& running, const FinishedWork& work, TimePoint now)
{
    if (work.totalMs < 0 || work.firstTokenMs < 0)
        return;
    const auto weight = sampleWeight(runner.lastSampleAt, now);
    if (runner.prefillTokensPerSecond > 0) {
        const auto speed = medianPrefillSpeed();
        runner.prefillTokensPerSecond = speed + (runner.prefillTokensPerSecond - speed) * weight;
    }
    runner.overhead *= weight;
    runner.lastSampleAt = now;
    updateAverage(m_serviceTime, EstimatedTime(static_cast<double>(std::max<std::int64_t>(work.totalMs, 1))));
    if (running.maxTokens > 0)
        m_outputShare += smoothingFactor * (std::min(1.0, static_cast<double>(work.completionTokens) / static_cast<double>(running.maxTokens)) - m_outputShare);
    const auto computed = std::max<std::int64_t>(work.promptTokens - work.cachedTokens - work.importedTokens, 0);
    const auto prefill = std::max(EstimatedTime(static_cast<double>(work.firstTokenMs)) - running.prefillWait, EstimatedTime(0.1));
    if (computed < shortPromptTokens)
        updateAverage(runner.overhead, prefill);
    else if (work.importedTokens == 0)
        updateAverage(runner.prefillTokensPerSecond, 1'000.0 * static_cast<double>(computed) / std::max(prefill - runner.overhead, prefill / 4).count());
    if (work.completionTokens > 1)
        updateAverage(runner.timePerToken, EstimatedTime(static_cast<double>(work.totalMs - work.firstTokenMs) / static_cast<double>(work.completionTokens - 1)));
}

bool RunnerStatistics::isSlow(const Running& running, const FinishedWork& work) const
{
    // A single runner cannot be compared with others, and using it less would only reduce the pool's capacity.
    if (m_runners.size() < 2 || work.firstTokenMs < 0 || work.totalMs < 0 || medianTimePerToken().count() <= 0)
        return false;
    const auto computed = static_cast<double>(std::max<std::int64_t>(work.promptTokens - work.cachedTokens - work.importedTokens, 0));
    const auto expected = running.prefillWait + EstimatedTime(1'000.0 * computed / medianPrefillSpeed())
        + medianTimePerToken() * static_cast<double>(work.completionTokens);
    return EstimatedTime(static_cast<double>(work.totalMs)) > expected * slowFactor + slowMargin;
}

PoolSnapshot RunnerStatistics::snapshot(TimePoint now)
{
    const auto speed = medianPrefillSpeed();
    PoolSnapshot out;
    out.serviceTime = m_serviceTime;
    out.runners.reserve(m_runners.size());
    std::unordered_map<std::string, std::size_t> runnerIndices;
    for (auto& [name, runner] : m_runners) {
        if (runner.health.health() == RunnerHealth::Ejected && runner.probeAt <= now)
            updateHealth(name, runner, HealthSignal::ProbeDue, now);
        RunnerSnapshot snapshot;
        snapshot.name = name;
        snapshot.slots = slotsOf(runner);
        snapshot.isUsable = snapshot.slots > 0;
        // Measurements decay towards the pool's median, so that a runner that is avoided for being slow is tried again.
        const auto weight = sampleWeight(runner.lastSampleAt, now);
        const auto own = runner.prefillTokensPerSecond > 0 ? runner.prefillTokensPerSecond : speed;
        snapshot.prefillTokensPerSecond = speed + (own - speed) * weight;
        snapshot.overhead = runner.overhead * weight;
        for (std::size_t index = 0; index < priorityCount; ++index)
            snapshot.prefillWait[index] = std::max(EstimatedTime(runner.prefillBusyUntil[index] - now), EstimatedTime(0));
        snapshot.reportedLoad = runner.reportedLoad;
        if (!snapshot.isUsable)
            snapshot.slotWait = std::max(EstimatedTime(runner.probeAt - now), EstimatedTime(0));
        runnerIndices[name] = out.runners.size();
        out.runners.push_back(std::move(snapshot));
    }
    std::vector<TimePoint> nextEnd(out.runners.size(), TimePoint::max());
    for (const auto& [id, running] : m_running) {
        ++out.runningByClass[priorityIndex(running.priority)];
        out.running.push_back({ id, running.runner, running.priority, running.startedAt, !running.isPreempting && now < running.firstTokenExpected, running.isPreempting });
        const auto runnerIndex = runnerIndices.find(running.runner);
        if (runnerIndex == runnerIndices.end())
            continue;
        ++out.runners[runnerIndex->second].running;
        nextEnd[runnerIndex->second] = std::min(nextEnd[runnerIndex->second], running.endExpected);
    }
    for (std::size_t i = 0; i < out.runners.size(); ++i) {
        if (out.runners[i].isUsable && !out.runners[i].hasFreeSlot() && nextEnd[i] != TimePoint::max())
            out.runners[i].slotWait = std::max(EstimatedTime(nextEnd[i] - now), EstimatedTime(1));
    }
    return out;
}

std::vector<RunnerState> RunnerStatistics::states() const
{
    std::map<std::string, int> counts;
    for (const auto& [id, running] : m_running)
        ++counts[running.runner];
    std::vector<RunnerState> out;
    for (const auto& [name, runner] : m_runners)
        out.push_back({ name, runner.health.health(), runner.health.slotShare(), runner.prefillTokensPerSecond, runner.overhead, runner.timePerToken,
            counts[name], runner.reportedLoad });
    return out;
}

}
