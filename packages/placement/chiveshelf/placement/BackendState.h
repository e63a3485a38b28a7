#pragma once

#include "chiveshelf/placement/BackendHealth.h"
#include "chiveshelf/placement/OutstandingWork.h"
#include "chiveshelf/placement/PartCacheModel.h"
#include "chiveshelf/placement/PeerQueue.h"
#include "chiveshelf/placement/RequestLimit.h"
#include "chiveshelf/placement/RunnerCapacity.h"
#include "chiveshelf/placement/RunnerRecord.h"
#include "chiveshelf/placement/TransferSpeed.h"
#include "chiveshelf/placement/WarmUpQuota.h"

#include <algorithm>
#include <optional>

namespace chiveshelf {

// Load that a runner reports in the headers of an answer.
struct LoadReport {
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    std::int32_t slots = 0;
    // Current duration of work in per cent of its usual duration.
    std::int32_t workPercent = 100;

    auto operator<=>(const LoadReport&) const = default;
};

// Bound of the requests of all hosts to a runner while it warms up.
struct WarmUpBound {
    // Time for which a runner warms up after its start.
    std::chrono::milliseconds duration { 0 };
    // Requests that it may get in any second meanwhile.
    double perSecond = 0;

    auto operator<=>(const WarmUpBound&) const = default;
};

// Returns the hash that identifies one incarnation of a runner in messages between hosts.
std::uint32_t runnerNumber(const RunnerRecord&);

// This host's state of one incarnation of a runner: load, health, speed and estimated cache contents.
class BackendState {
public:
    // Lifetime of another host's load figures and of a runner's load report. Long enough that several lost notices do not matter.
    static constexpr std::chrono::milliseconds loadLifetime { 2'500 };

    // `memoryTokens` is the size of the engine's memory in tokens, 0 for plain services.
    BackendState(RunnerRecord, std::int64_t memoryTokens);

    const RunnerRecord& record() const { return m_record; }
    // Returns the runnerNumber() of the record. It changes when the runner restarts.
    std::uint32_t number() const { return m_number; }
    std::int64_t memoryTokens() const { return m_memoryTokens; }

    // Replaces the record by a newer one of the same incarnation.
    void update(RunnerRecord);

    // Adds work that this host sent, and removes it when it has ended. Both calls get the same values, except that the tokens to
    // prefill and to fetch are removed at the first token already.
    void addWork(const OutstandingWork& work) { m_ownWork += work; }
    void removeWork(const OutstandingWork& work) { m_ownWork -= work; }

    const OutstandingWork& ownWork() const { return m_ownWork; }

    // Sets the outstanding work that another host reports for this runner. It expires after `lifetime` unless it is replaced.
    void setPeerWork(std::uint64_t host, const OutstandingWork&, TimePoint now, std::chrono::milliseconds lifetime = loadLifetime);

    // Adds a prompt that another host has just sent. It counts as that host's work until the next setPeerWork() of the host.
    void addPeerPrompt(std::uint64_t host, const PlacedPrompt&, TimePoint now);
    const PeerQueue& peerQueue() const { return m_peerQueue; }

    // Returns the number of other hosts whose work is stored.
    std::size_t peerCount() const { return m_peers.size(); }

    // Records that another host has no work at this runner.
    void clearPeerWork(std::uint64_t host)
    {
        m_peers.erase(host);
        m_peerRequests.isValid = false;
    }

    // Returns the known work of all hosts, this one included.
    OutstandingWork totalWork(TimePoint now) const;

    void setLoadReport(const LoadReport&, TimePoint now);

    // Time over which a reported work time loses its weight. Work times change several times a second.
    static constexpr std::chrono::milliseconds workTimeLifetime { 600 };

    // Sets the duration of work at time `at` in per cent of its usual duration, unless a later value is known.
    void setWorkTime(std::int32_t percent, TimePoint at);
    std::int32_t workPercent() const { return m_workPercent; }
    TimePoint workTimeAt() const { return m_workTimeAt; }

    // Returns the factor by which work is expected to take longer than usual, 1 without a recent value.
    double slowdown(TimePoint now) const;

    // Returns the largest recent factor by which work took longer than usual, at least 1. It decays over time.
    double worstSlowdown(TimePoint now) const;

    // Returns the number of requests at the runner: the greater of the hosts' sum and the runner's own, time-weighted report.
    std::int32_t requests(TimePoint now) const;

    // Returns the version of the model's weights, or nothing if it is unknown.
    std::optional<std::uint64_t> version(const std::string& model) const;

    // Sets the version of the model's weights. If it changes, the cached parts of the former weights are cleared.
    void setVersion(const std::string& model, std::uint64_t version);

    // Marks the runner as loading weights until this version of the model is recorded or `end` is reached.
    void setLoading(std::string model, std::uint64_t version, TimePoint end) { m_load = { std::move(model), version, end }; }
    bool isLoading(TimePoint now) const { return now < m_load.end && version(m_load.model).value_or(0) < m_load.version; }

    // Adds a prefill speed sample in tokens per ms, measured on a prompt that did not wait. The speed includes the slowdown by
    // streams that run at the same time. Returns false if the sample was ignored as a measurement error.
    bool learnSpeed(double tokensPerMs);

    // Returns the prefill speed in tokens per ms, or `fallback` if there is no sample yet.
    double tokensPerMs(double fallback) const { return m_tokensPerMs > 0 ? m_tokensPerMs : fallback; }

    // Records that the runner announced its shutdown. It gets no new work from then on, even if the registry still lists it.
    void setLeaving() { m_isLeaving = true; }
    bool isLeaving() const { return m_isLeaving || m_record.isLeaving; }

    // Excludes the runner from new work until `end`, as it requested. Never shortens a known pause.
    void pauseUntil(TimePoint end) { m_pauseEnd = std::max(m_pauseEnd, end); }
    TimePoint pauseEnd() const { return m_pauseEnd; }
    bool isPaused(TimePoint now) const { return now < m_pauseEnd; }

    // Limit of requests that the runner states for all hosts together.
    RequestLimit& requestLimit() { return m_requestLimit; }
    const RequestLimit& requestLimit() const { return m_requestLimit; }

    // Sets the bound that applies while the runner warms up, if any, and applies the warm-up time that its latest entry states.
    void setWarmUpBound(const std::optional<WarmUpBound>&, TimePoint now);
    const std::optional<WarmUpBound>& warmUpBound() const { return m_warmUpBound; }
    // Records that the runner may have restarted under its id, which its entry doesn't show yet.
    void suspectRestart(TimePoint now);
    // Whether the runner warms up, or may do so, and has a bound for that time.
    bool isWarmingUp(TimePoint now) const { return m_warmUpBound && now < m_warmUpEnd; }

    // Sets whether the operator has ordered that the runner gets no requests.
    void setEvacuated(bool isEvacuated) { m_isEvacuated = isEvacuated; }
    bool isEvacuated() const { return m_isEvacuated; }

    // Returns whether the runner may get new work.
    bool isUsable(TimePoint now) const { return !isLeaving() && !isPaused(now) && !m_isEvacuated && m_health.isUsable(now); }

    // This host's share of the requests to the runner while it warms up.
    WarmUpQuota& warmUpQuota() { return m_warmUpQuota; }
    const WarmUpQuota& warmUpQuota() const { return m_warmUpQuota; }

    // Returns whether the limits of the runner's requests allow one.
    bool hasPermit(TimePoint now) const { return m_requestLimit.hasPermit(now) && (!isWarmingUp(now) || m_warmUpQuota.hasRoom(now)); }

    // Returns whether this host may send the runner a request now, also within the limits that apply to the runner.
    bool mayReceive(TimePoint now) const { return isUsable(now) && hasPermit(now); }

    // Records that the registry lists a later start of this runner.
    void setSuperseded() { m_isSuperseded = true; }
    bool isSuperseded() const { return m_isSuperseded; }

    // Learned times of requests. Empty unless the deployment learns the capacity of its runners.
    RunnerCapacity& capacity() { return m_capacity; }
    const RunnerCapacity& capacity() const { return m_capacity; }

    BackendHealth& health() { return m_health; }
    const BackendHealth& health() const { return m_health; }
    // Speed of transfers to the runner.
    TransferSpeed& transferSpeed() { return m_transferSpeed; }
    const TransferSpeed& transferSpeed() const { return m_transferSpeed; }
    PartCacheModel& cachedParts() { return m_cachedParts; }
    const PartCacheModel& cachedParts() const { return m_cachedParts; }

private:
    std::int32_t peerRequests(TimePoint now) const;

    struct PeerWork {
        OutstandingWork work;
        TimePoint expiry;
    };

    // Sum of the requests of other hosts. Kept, since each choice needs it for each runner.
    struct PeerRequests {
        std::int32_t requests = 0;
        // Times from which and up to which no stored work expires.
        TimePoint from {};
        TimePoint until {};
        bool isValid = false;
    };

    struct WeightLoad {
        std::string model;
        std::uint64_t version = 0;
        TimePoint end {};
    };

    RunnerRecord m_record;
    std::uint32_t m_number;
    std::int64_t m_memoryTokens;
    OutstandingWork m_ownWork;
    std::map<std::uint64_t, PeerWork> m_peers;
    mutable PeerRequests m_peerRequests;
    PeerQueue m_peerQueue;
    LoadReport m_loadReport;
    TimePoint m_loadReportAt {};
    std::int32_t m_workPercent = 100;
    TimePoint m_workTimeAt {};
    // Largest slowdown and its time, from which on it decays.
    double m_worstSlowdown = 1;
    TimePoint m_worstSlowdownAt {};
    WeightLoad m_load;
    double m_tokensPerMs = 0;
    std::optional<WarmUpBound> m_warmUpBound;
    TimePoint m_warmUpEnd {};
    WarmUpQuota m_warmUpQuota;
    // Whether the warm-up time of the record has not been applied yet.
    bool m_isColdLeftNew = true;
    bool m_isEvacuated = false;
    bool m_isLeaving = false;
    bool m_isSuperseded = false;
    TimePoint m_pauseEnd {};
    RequestLimit m_requestLimit;
    RunnerCapacity m_capacity;
    BackendHealth m_health;
    TransferSpeed m_transferSpeed;
    PartCacheModel m_cachedParts;
};

}
