#pragma once

#include "chiveshelf/placement/BackendHealth.h"
#include "chiveshelf/placement/OutstandingWork.h"
#include "chiveshelf/placement/PartMemory.h"
#include "chiveshelf/placement/PeerQueue.h"
#include "chiveshelf/placement/RunnerRecord.h"
#include "chiveshelf/placement/TransferSpeed.h"

#include <algorithm>
#include <optional>

namespace chiveshelf {

// Load that a runner reports with an answer.
struct LoadReport {
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    std::int32_t slots = 0;
    // How long work takes at this moment, in per cent of the usual.
    std::int32_t workPercent = 100;

    auto operator<=>(const LoadReport&) const = default;
};

// Returns the number under which hosts name a runner to each other.
std::uint32_t runnerNumber(const RunnerRecord&);

// All that this host believes of one incarnation of a runner.
class BackendState {
public:
    // Age at which another host's figures and a runner's report no longer count: several notices may be lost before.
    static constexpr std::chrono::milliseconds loadLifetime { 2'500 };

    // `memoryTokens` is the engine's memory, 0 for plain services.
    BackendState(RunnerRecord, std::int64_t memoryTokens);

    const RunnerRecord& record() const { return m_record; }
    // The number under which hosts name the runner to each other. It covers the incarnation.
    std::uint32_t number() const { return m_number; }
    std::int64_t memoryTokens() const { return m_memoryTokens; }

    // Takes a newer record of the same incarnation.
    void update(RunnerRecord);

    // Counts work that this host sent, and removes it again. addWork() and removeWork() get the same figures, but for prompts that
    // firstTokenSeen() has already taken out.
    void addWork(const OutstandingWork& work) { m_own += work; }
    void removeWork(const OutstandingWork& work) { m_own -= work; }

    const OutstandingWork& ownWork() const { return m_own; }

    // Sets what another host says that it has sent. It counts for `lifetime` if nothing newer comes.
    void setPeerWork(std::uint64_t host, const OutstandingWork&, TimePoint now, std::chrono::milliseconds lifetime = loadLifetime);

    // Takes a prompt that another host has just sent. It counts as a request of that host until its next figures.
    void addPeerPrompt(std::uint64_t host, const PlacedPrompt&, TimePoint now);
    const PeerQueue& peerQueue() const { return m_peerQueue; }

    // Hosts whose figures are kept.
    std::size_t peerCount() const { return m_peers.size(); }

    // Tells that another host has no work there.
    void clearPeerWork(std::uint64_t host) { m_peers.erase(host); }

    // Returns the work of all hosts, as far as it is known.
    OutstandingWork totalWork(TimePoint now) const;

    void setReport(const LoadReport&, TimePoint now);

    // Time over which a figure of how long work takes fades. Such figures change several times a second.
    static constexpr std::chrono::milliseconds workTimeLifetime { 600 };

    // Sets how long work took at a moment, in per cent of the usual, unless a later figure is known.
    void setWorkTime(std::int32_t percent, TimePoint at);
    std::int32_t workPercent() const { return m_workPercent; }
    TimePoint workTimeAt() const { return m_workTimeAt; }

    // Returns the factor by which work is expected to take longer than usual, 1 without a recent figure.
    double slowdown(TimePoint now) const;

    // Returns the largest factor by which work took longer than usual lately, 1 if it never did.
    double worstSlowdown(TimePoint now) const;

    // Returns the requests at the runner: the greater of what hosts say and what it reported.
    std::int32_t requests(TimePoint now) const;

    // Returns the version of the model's weights, or nothing if it is not known.
    std::optional<std::uint64_t> version(const std::string& model) const;

    // Records a version that an answer or an order showed. Cached parts of the former weights are forgotten.
    void setVersion(const std::string& model, std::uint64_t version);

    // Tells that weights are being loaded, until this version of the model is seen, from whatever source, or `end` is past.
    void setLoading(std::string model, std::uint64_t version, TimePoint end) { m_load = { std::move(model), version, end }; }
    bool isLoading(TimePoint now) const { return now < m_load.end && version(m_load.model).value_or(0) < m_load.version; }

    // Learns the speed from a prompt before which nothing waited. It is the speed beside the streams that run, for which the engine
    // takes time too.
    void learnSpeed(double tokensPerMs);

    // Prompt tokens read per ms; `fallback` until it was learned.
    double tokensPerMs(double fallback) const { return m_tokensPerMs > 0 ? m_tokensPerMs : fallback; }

    // Tells that the runner said that it leaves. It gets no new work from then on, whatever the registry says.
    void setLeaving() { m_isLeaving = true; }
    bool isLeaving() const { return m_isLeaving || m_record.isLeaving; }

    // Tells that the runner asked to be left alone until `end`. An earlier end than a known one changes nothing.
    void pauseUntil(TimePoint end) { m_pauseEnd = std::max(m_pauseEnd, end); }
    TimePoint pauseEnd() const { return m_pauseEnd; }
    bool isPaused(TimePoint now) const { return now < m_pauseEnd; }

    // Whether new work may go there.
    bool isUsable(TimePoint now) const { return !isLeaving() && !isPaused(now) && m_health.isUsable(now); }

    BackendHealth& health() { return m_health; }
    const BackendHealth& health() const { return m_health; }
    // Of transfers to the runner.
    TransferSpeed& transfers() { return m_transfers; }
    const TransferSpeed& transfers() const { return m_transfers; }
    PartMemory& parts() { return m_parts; }
    const PartMemory& parts() const { return m_parts; }

private:
    struct PeerWork {
        OutstandingWork work;
        TimePoint expiry;
    };

    struct WeightLoad {
        std::string model;
        std::uint64_t version = 0;
        TimePoint end {};
    };

    RunnerRecord m_record;
    std::uint32_t m_number;
    std::int64_t m_memoryTokens;
    OutstandingWork m_own;
    std::map<std::uint64_t, PeerWork> m_peers;
    PeerQueue m_peerQueue;
    LoadReport m_report;
    TimePoint m_reportAt {};
    std::int32_t m_workPercent = 100;
    TimePoint m_workTimeAt {};
    // The worst figure, which fades from then on.
    double m_worstSlowdown = 1;
    TimePoint m_worstSlowdownAt {};
    WeightLoad m_load;
    double m_tokensPerMs = 0;
    bool m_isLeaving = false;
    TimePoint m_pauseEnd {};
    BackendHealth m_health;
    TransferSpeed m_transfers;
    PartMemory m_parts;
};

}
