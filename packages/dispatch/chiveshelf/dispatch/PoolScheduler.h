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

// One pool's policy and runner statistics, joined with the pool's row of the tables. Holds no sockets; the owner passes messages
// in and carries the decisions out.
class PoolScheduler {
public:
    PoolScheduler(PolicyKind, const FairShareSettings&, std::string dataCentre);

    // Takes over the runners, shares and targets in force.
    void setPool(const Pool&, std::uint64_t tablesRevision);

    // Queues a request, or returns the refusal. The queue is bounded by the class target even if the deadline is later.
    Result<void> enqueue(const Enqueue&, TimePoint now);
    void cancel(const std::string& requestId, TimePoint now);
    void finish(const Finished&, TimePoint now);
    void adopt(const RunningRequest&, TimePoint now);
    // Frees the slot of a request whose entry host is gone.
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

    // Queue, decisions with reasons, learned speeds and health.
    nlohmann::json state() const;

private:
    PoolSnapshot snapshot(TimePoint now);
    void note(nlohmann::json decision);

    std::string m_dataCentre;
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
