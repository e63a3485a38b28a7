#pragma once

#include "chiveshelf/scheduling/ClassQueue.h"
#include "chiveshelf/scheduling/LinkTracker.h"
#include "chiveshelf/scheduling/PrefixCacheView.h"
#include "chiveshelf/scheduling/RunnerChoice.h"
#include "chiveshelf/scheduling/SchedulingPolicy.h"

#include <random>

namespace chiveshelf {

// Sizes that the policy assumes.
struct FairShareSettings {
    std::size_t cacheBlocksPerRunner = 256;
    std::chrono::milliseconds cacheHalfLife { 300'000 };
    std::size_t importsPerLink = 4;
    // Tokens of one cache block.
    std::int64_t blockTokens = 4'000;
    std::uint32_t seed = 1;
};

// Slots that each class keeps while it has work. Standard and batch get at least one slot if they have a share at all; urgent
// gets what they leave.
std::array<int, priorityCount> guaranteedSlots(const std::array<int, priorityCount>& shares, int slots);

// The default policy: classes in order of urgency with a kept share each, deficit round robin over organisations within a
// class, the runner with the shortest estimated time to first token, and admission by estimated time.
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

    // Estimated time that a request of a class waits for a slot when `rank` others of its class go before it.
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
    // Returns the choice among free runners, or nothing if the request is better off waiting.
    std::optional<RunnerEstimate> chooseFree(const PoolSnapshot&, const QueuedRequest&, TimePoint now);
    std::optional<Assignment> assignNext(PoolSnapshot&, Priority, TimePoint now, std::size_t& evaluations);
    Refusal refuse(const QueuedRequest&, EstimatedTime expected, TimePoint now);
    std::size_t preemptableFor(const PoolSnapshot&, Priority) const;

    FairShareSettings m_settings;
    std::array<ClassQueue, priorityCount> m_classes;
    PrefixCacheView m_cacheView;
    LinkTracker m_links;
    std::unordered_map<std::string, Charge> m_charges;
    // Time to first token of each waiting request once it has a slot.
    std::unordered_map<std::string, EstimatedTime> m_serviceEstimates;
    // Since when a request waits for a certain busy runner although others are free.
    std::unordered_map<std::string, TimePoint> m_heldSince;
    std::minstd_rand m_random;
    TimePoint m_lastForgotten;
};

static_assert(SchedulingPolicy<FairSharePolicy>);

}
