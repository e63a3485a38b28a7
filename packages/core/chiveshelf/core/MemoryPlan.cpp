#include "chiveshelf/core/MemoryPlan.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // Buffered responses of a small host, as before there was a plan. More isn't needed on larger ones.
    constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;
    // Even the smallest process needs some callers.
    constexpr std::size_t minConnections = 16;

}

MemoryPlan MemoryPlan::forMachine(std::size_t memoryMb, std::size_t descriptors)
{
    const auto memory = memoryMb * 1024 * 1024;
    MemoryPlan out;
    out.bodyBytes = memory / 4;
    out.smallBodyBytes = out.bodyBytes / 4;
    out.responseBytes = std::min(memory / 10, maxResponseBytes);
    out.connections = std::min(descriptors, std::max(memory / 2 / connectionBytes, minConnections));
    return out;
}

}
