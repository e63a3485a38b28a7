#pragma once

#include "chiveshelf/dispatch/Messages.h"
#include "chiveshelf/scheduling/AnyPolicy.h"
#include "chiveshelf/scheduling/RunnerStatistics.h"
#include "chiveshelf/tables/Tables.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>

namespace chiveshelf {

// Decisions counted by priority class, for metrics.
struct SchedulerCounters {
    std::array<std::uint64_t, priorityCount> granted {};
    std::array<std::uint64_t, priorityCount> refused {};
    std::array<std::uint64_t, priorityCount> preempted {};
};

// State of a runner's model weights. A runner may not serve while it loads weights. Without a version, the version of the pool's
// row in the tables applies.
struct RunnerWeights {
    bool mayServe = true;
    std::optional<std::string> version;
};

using WeightsSource = std::function<RunnerWeights(const std::string& runner)>;

// The policy and runner statistics of one pool, combined with the pool's row of the tables. Does no I/O; the owner passes in messages
// and carries out the decisions.
class PoolScheduler {
public:
    PoolScheduler(PolicyKind, const FairShareSettings&, std::string dataCentre);

    // Sets the function that returns the state of a runner's weights.
    void setWeightsSource(WeightsSource source) { m_weights = std::move(source); }

    // Updates the runners, shares, targets and version from the pool's row.
    void setPool(const Pool&, std::uint64_t tablesRevision);

    // Queues a request, or returns the refusal. A deadline later than the target of the request's class is reduced to the target.
    Result<void> enqueue(const Enqueue&, TimePoint now);
    void cancel(const std::string& requestId, TimePoint now);
    void finish(const Finished&, TimePoint now);
    // Records a running request reported by its entry host.
    void adopt(const RunningRequest&, TimePoint now);
    // Frees the slot of a request whose entry host has stopped renewing it.
    void drop(const std::string& requestId, TimePoint now);

    struct Granted {
        std::string requestId;
        Grant grant;
    };
    std::vector<Granted> assign(TimePoint now);
    std::vector<Refusal> expire(TimePoint now);
    std::vector<Preemption> preempt(TimePoint now);

    std::size_t queued() const;
    RunnerStatistics& statistics() { return m_statistics; }
    const SchedulerCounters& counters() const { return m_counters; }

    // Returns the queue, latest decisions with reasons, measured speeds and health, for the state dump.
    nlohmann::json state() const;

private:
    PoolSnapshot snapshot(TimePoint now);
    RunnerWeights weightsOf(const std::string& runner) const;
    void recordDecision(nlohmann::json decision);

    std::string m_dataCentre;
    WeightsSource m_weights;
    Pool m_pool;
    std::uint64_t m_tablesRevision = 0;
    std::map<std::string, Address> m_addresses;
    std::int64_t m_blockTokens;
    AnyPolicy m_policy;
    RunnerStatistics m_statistics;
    SchedulerCounters m_counters;
    std::deque<std::string> m_decisions;
    std::map<std::string, Priority> m_priorities;
};

}
