#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace chiveshelf {

// Ranks of priority that are told apart when waits are predicted: all that engines know but the least urgent ones.
constexpr std::size_t priorityClassCount = 6;

constexpr std::size_t priorityClass(unsigned priority)
{
    return std::min<std::size_t>(priority, priorityClassCount - 1);
}

// Work that was sent to a runner and has not ended.
struct OutstandingWork {
    std::int32_t requests = 0;
    // Those of them that have prompts, by priority class.
    std::array<std::int32_t, priorityClassCount> prompts {};
    // Prompt tokens to be read for requests without a first token yet, by priority class.
    std::array<std::int64_t, priorityClassCount> prefillTokens {};
    // Tokens that are fetched from another runner or a store.
    std::int64_t fetchTokens = 0;
    // Memory that the requests need in full, in tokens, by priority class.
    std::array<std::int64_t, priorityClassCount> memoryTokens {};

    auto operator<=>(const OutstandingWork&) const = default;

    // Returns the requests that are less urgent than a priority: the engine lets others overtake them.
    std::int32_t lessUrgentPrompts(unsigned priority) const
    {
        return std::accumulate(prompts.begin() + static_cast<std::ptrdiff_t>(priorityClass(priority)) + 1, prompts.end(), std::int32_t(0));
    }

    // Returns the memory of requests of a priority and more urgent ones: the engine takes that of others for them.
    std::int64_t memoryUpTo(unsigned priority) const
    {
        return std::accumulate(memoryTokens.begin(), memoryTokens.begin() + static_cast<std::ptrdiff_t>(priorityClass(priority)) + 1, std::int64_t(0));
    }

    // Returns the memory of requests that are more urgent than a priority.
    std::int64_t memoryAbove(unsigned priority) const { return memoryUpTo(priority) - memoryTokens[priorityClass(priority)]; }

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
