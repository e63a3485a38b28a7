#pragma once

#include "chiveshelf/scheduling/SchedulingPolicy.h"

namespace chiveshelf {

// Baseline for benchmarks: every entry host sends each request immediately to the next runner in turn. There is no common queue and no
// limit of slots; requests queue on the runners.
class RoundRobinPolicy {
public:
    static constexpr bool hasCommonQueue = false;

    std::optional<Refusal> enqueue(QueuedRequest, PoolSnapshot&, TimePoint now);
    bool cancel(const std::string& requestId);
    std::vector<Assignment> assign(PoolSnapshot&, TimePoint now);
    std::vector<Refusal> expire(PoolSnapshot&, TimePoint) { return {}; }
    std::vector<Preemption> preempt(PoolSnapshot&, TimePoint) { return {}; }
    void finished(const FinishedWork&) { }
    std::size_t size() const { return m_waiting.size(); }
    std::vector<OrganisationState> organisations(Priority) const { return {}; }

private:
    RunnerSnapshot* pick(const QueuedRequest&, PoolSnapshot&);

    std::vector<QueuedRequest> m_waiting;
    std::size_t m_next = 0;
};

static_assert(SchedulingPolicy<RoundRobinPolicy>);

}
