#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace chiveshelf {

// Number of priority classes in the prediction of waits. The last one contains all less urgent priorities of the engines.
constexpr std::size_t priorityClassCount = 6;

// Returns the class of an engine priority, 0 for the most urgent.
constexpr std::size_t priorityClass(unsigned priority)
{
    return std::min<std::size_t>(priority, priorityClassCount - 1);
}

// Work that was sent to a runner and has not ended yet.
struct OutstandingWork {
    std::int32_t requests = 0;
    // Requests with prompts, by priority class.
    std::array<std::int32_t, priorityClassCount> prompts {};
    // Prompt tokens to prefill of requests before their first token, by priority class.
    std::array<std::int64_t, priorityClassCount> prefillTokens {};
    // Tokens to fetch from another runner or a store.
    std::int64_t fetchTokens = 0;
    // Memory for the whole prompts and outputs of the requests, in tokens, by priority class.
    std::array<std::int64_t, priorityClassCount> memoryTokens {};

    auto operator<=>(const OutstandingWork&) const = default;

    // Returns the number of prompts less urgent than `priority`. The engine admits more urgent requests before them.
    std::int32_t lessUrgentPrompts(unsigned priority) const
    {
        return std::accumulate(prompts.begin() + static_cast<std::ptrdiff_t>(priorityClass(priority)) + 1, prompts.end(), std::int32_t(0));
    }

    // Returns the memory of requests at least as urgent as `priority`. The engine preempts less urgent requests to free memory for
    // them.
    std::int64_t memoryAtLeastAsUrgent(unsigned priority) const
    {
        return std::accumulate(memoryTokens.begin(), memoryTokens.begin() + static_cast<std::ptrdiff_t>(priorityClass(priority)) + 1, std::int64_t(0));
    }

    // Returns the memory of requests more urgent than `priority`.
    std::int64_t memoryMoreUrgent(unsigned priority) const { return memoryAtLeastAsUrgent(priority) - memoryTokens[priorityClass(priority)]; }

    OutstandingWork& operator+=(const OutstandingWork& other)
    {
        requests += other.requests;
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            prompts[i] += other.prompts[i];
            prefillTokens[i] += other.prefillTokens[i];
            memoryTokens[i] += other.memoryTokens[i];
        }
        fetchTokens += other.fetchTokens;
        return *this;
    }

    OutstandingWork& operator-=(const OutstandingWork& other)
    {
        requests -= other.requests;
        for (std::size_t i = 0; i < priorityClassCount; ++i) {
            prompts[i] -= other.prompts[i];
            prefillTokens[i] -= other.prefillTokens[i];
            memoryTokens[i] -= other.memoryTokens[i];
        }
        fetchTokens -= other.fetchTokens;
        return *this;
    }
};

}
