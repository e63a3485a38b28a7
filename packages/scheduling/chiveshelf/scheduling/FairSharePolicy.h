#pragma once

#include "chiveshelf/scheduling/ClassQueue.h"
#include "chiveshelf/scheduling/LinkTracker.h"
#include "chiveshelf/scheduling/PrefixCacheView.h"
#include "chiveshelf/scheduling/RunnerChoice.h"
#include "chiveshelf/scheduling/SchedulingPolicy.h"

#include <random>

namespace chiveshelf {

// Parameters of FairSharePolicy.
struct FairShareSettings {
    std::size_t cacheBlocksPerRunner = 256;
    std::chrono::milliseconds cacheHalfLife { 300'000 };
    std::size_t importsPerLink = 4;
    // Tokens of one cache block.
    std::int64_t blockTokens = 4'000;
    std::uint32_t seed = 1;
};

// Returns the slots that are guaranteed to each class while it has work. Standard and batch get at least one slot if their share is
// not 0; urgent gets the remaining slots, at least one.
std::array<int, priorityCount> guaranteedSlots(const std::array<int, priorityCount>& shares, int slots);

// The default policy. Serves classes in order of urgency with a guaranteed share of the slots each, and the organisations within a
// class by deficit round robin. Assigns the runner with the shortest estimated time to first token, and refuses requests that are
// estimated to miss their deadline.
class FairSharePolicy {
public:
    static constexpr bool hasCommonQueue = true;

    explicit FairSharePolicy(FairShareSettings);

    std::optional<Refusal> enqueue(QueuedRequest, PoolSnapshot&, TimePoint now);
    bool cancel(const std::string& requestId);
    std::vector<Assignment> assign(PoolSnapshot&, TimePoint now);
    std::vector<Refusal> expire(PoolSnapshot&, TimePoint now);
    std::vector<Preemption> preempt(PoolSnapshot&, TimePoint now);
    void finished(const FinishedWork&);
    std::size_t size() const;
    std::vector<OrganisationState> organisations(Priority priority) const { return m_classes[priorityIndex(priority)].organisations(); }

    // Returns the estimated time that a request of a class waits for a slot when `rank` others of its class are served before it.
    EstimatedTime estimateWait(const PoolSnapshot&, Priority, std::size_t rank) const;

private:
    struct Charge {
        std::string organisation;
        std::string runner;
        Priority priority = Priority::Standard;
        double cost = 0;
        double cachedBlocks = 0;
        std::int64_t blockTokens = 1;
        PlannedImport import;
    };

    std::vector<Priority> classOrder(const PoolSnapshot&) const;
    std::optional<RunnerEstimate> choose(const PoolSnapshot&, const QueuedRequest&, TimePoint now) const;
    // Returns the best runner with a free slot, or nullopt if there is none or if the request should wait for a busy runner.
    std::optional<RunnerEstimate> chooseFreeRunner(const PoolSnapshot&, const QueuedRequest&, TimePoint now);
    std::optional<Assignment> assignNext(PoolSnapshot&, Priority, TimePoint now, std::size_t& evaluations);
    Refusal refuse(const QueuedRequest&, EstimatedTime expected, TimePoint now);
    // Returns the number of running requests that can be preempted for a request of the class.
    std::size_t preemptableCount(const PoolSnapshot&, Priority) const;

    FairShareSettings m_settings;
    std::array<ClassQueue, priorityCount> m_classes;
    PrefixCacheView m_cacheView;
    LinkTracker m_links;
    std::unordered_map<std::string, Charge> m_charges;
    // Estimated time from the grant of a slot to the first token, by waiting request.
    std::unordered_map<std::string, EstimatedTime> m_serviceEstimates;
    // Time at which a request began to wait for a busy runner although others were free.
    std::unordered_map<std::string, TimePoint> m_waitingForBusyRunnerSince;
    std::minstd_rand m_random;
    TimePoint m_lastIdleRemoval;
};

static_assert(SchedulingPolicy<FairSharePolicy>);

}
