#pragma once

#include "chiveshelf/scheduling/SchedulingPolicy.h"

#include <deque>

namespace chiveshelf {

// Baseline for benchmarks: one common queue in order of arrival, without priority classes or fairness. Assigns the runner with the
// fewest requests and refuses requests only at their deadline.
class FirstComePolicy {
public:
    static constexpr bool hasCommonQueue = true;

    std::optional<Refusal> enqueue(QueuedRequest, PoolSnapshot&, TimePoint now);
    bool cancel(const std::string& requestId);
    std::vector<Assignment> assign(PoolSnapshot&, TimePoint now);
    std::vector<Refusal> expire(PoolSnapshot&, TimePoint now);
    std::vector<Preemption> preempt(PoolSnapshot&, TimePoint) { return {}; }
    void finished(const FinishedWork&) { }
    std::size_t size() const { return m_waiting.size(); }
    std::vector<OrganisationState> organisations(Priority) const { return {}; }

private:
    std::deque<QueuedRequest> m_waiting;
};

static_assert(SchedulingPolicy<FirstComePolicy>);

}
