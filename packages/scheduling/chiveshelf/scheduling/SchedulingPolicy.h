#pragma once

#include "chiveshelf/scheduling/ClassQueue.h"
#include "chiveshelf/scheduling/QueuedRequest.h"

#include <concepts>
#include <optional>

namespace chiveshelf {

// Decides for one pool which request is served next, on which runner, and which is refused. A policy has no clock and does no
// I/O. With a common queue it runs on the pool's scheduler host; without, every entry host runs one for itself.
template <typename T>
concept SchedulingPolicy = requires(T& policy, const T& constPolicy, QueuedRequest request, const std::string& id, PoolSnapshot& pool,
    TimePoint now, const FinishedWork& work)
{
    {
        T::hasCommonQueue
        } -> std::convertible_to<bool>;
    // Takes the request, or says why it is refused at once.
    {
        policy.enqueue(request, pool, now)
        } -> std::same_as<std::optional<Refusal>>;
    // Removes a waiting request. Returns false if it is not waiting.
    {
        policy.cancel(id)
        } -> std::same_as<bool>;
    // Takes the requests that start now; `pool` is changed to the state after them.
    {
        policy.assign(pool, now)
        } -> std::same_as<std::vector<Assignment>>;
    // Takes the requests whose deadline can no longer be met.
    {
        policy.expire(pool, now)
        } -> std::same_as<std::vector<Refusal>>;
    // Names running requests to cancel so that urgent ones meet their target.
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
