#pragma once

#include "chiveshelf/scheduling/ClassQueue.h"
#include "chiveshelf/scheduling/QueuedRequest.h"

#include <concepts>
#include <optional>

namespace chiveshelf {

// Decides for one pool which request is served next, on which runner, and which requests are refused. A policy reads no clock
// and does no I/O. A policy with a common queue runs on the pool's scheduler host; without one, every entry host runs its own
// instance.
template <typename T>
concept SchedulingPolicy = requires(T& policy, const T& constPolicy, QueuedRequest request, const std::string& id, PoolSnapshot& pool,
    TimePoint now, const FinishedWork& work)
{
    {
        T::hasCommonQueue
        } -> std::convertible_to<bool>;
    // Queues the request, or returns a refusal if the request cannot be admitted.
    {
        policy.enqueue(request, pool, now)
        } -> std::same_as<std::optional<Refusal>>;
    // Removes a waiting request. Returns false if it is not waiting.
    {
        policy.cancel(id)
        } -> std::same_as<bool>;
    // Dequeues the requests that can start now and updates `pool` with their effect.
    {
        policy.assign(pool, now)
        } -> std::same_as<std::vector<Assignment>>;
    // Dequeues and refuses the requests whose deadline can no longer be met.
    {
        policy.expire(pool, now)
        } -> std::same_as<std::vector<Refusal>>;
    // Selects running requests to cancel so that urgent ones meet their target.
    {
        policy.preempt(pool, now)
        } -> std::same_as<std::vector<Preemption>>;
    policy.finished(work);
    {
        constPolicy.size()
        } -> std::same_as<std::size_t>;
    {
        constPolicy.organisations(Priority::Urgent)
        } -> std::same_as<std::vector<OrganisationState>>;
};

}
