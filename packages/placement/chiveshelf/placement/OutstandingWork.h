#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace chiveshelf {

// Ranks of priority that are told apart when waits are predicted: all that engines know but the least urgent ones.
constexpr std::size_t rankClassCount = 6;

constexpr std::size_t rankClass(unsigned rank)
{
    return std::min<std::size_t>(rank, rankClassCount - 1);
}

// Work that was sent to a runner and has not ended.
struct OutstandingWork {
    std::int32_t requests = 0;
    // Prompt tokens to be read for requests without a first token yet, by rank class.
    std::array<std::int64_t, rankClassCount> prefillTokens {};
    // Tokens that are fetched from another runner or a store.
    std::int64_t fetchTokens = 0;
    // Memory that the requests need in full, in tokens.
    std::int64_t memoryTokens = 0;

    auto operator<=>(const OutstandingWork&) const = default;

    OutstandingWork& operator+=(const OutstandingWork& other)
    {
        requests += other.requests;
        for (std::size_t i = 0; i < rankClassCount; ++i)
            prefillTokens[i] += other.prefillTokens[i];
        fetchTokens += other.fetchTokens;
        memoryTokens += other.memoryTokens;
        return *this;
    }

    OutstandingWork& operator-=(const OutstandingWork& other)
    {
        requests -= other.requests;
        for (std::size_t i = 0; i < rankClassCount; ++i)
            prefillTokens[i] -= other.prefillTokens[i];
        fetchTokens -= other.fetchTokens;
        memoryTokens -= other.memoryTokens;
        return *this;
    }
};

}
