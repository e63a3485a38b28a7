#pragma once

#include <compare>
#include <cstddef>

namespace chiveshelf {

// How the memory of a machine is divided among what a process holds for its callers. The rest, nearly a fifth on the smallest machines,
// is left for the process itself, its tables and its calls to stores and other hosts.
struct MemoryPlan {
    // Bytes that a connection may hold beside a large body: twice the receive buffer that was asked for, which is what the kernel uses,
    // the free bytes of its body, buffers and objects.
    static constexpr std::size_t connectionBytes = 96 * 1024;
    static constexpr std::size_t receiveBufferBytes = 32 * 1024;

    // Bodies of requests.
    std::size_t bodyBytes = 0;
    // The part of `bodyBytes` that is kept for small bodies.
    std::size_t smallBodyBytes = 0;
    // Buffered responses.
    std::size_t responseBytes = 0;
    // Connections of callers.
    std::size_t connections = 0;

    // `descriptors` bounds the connections too.
    static MemoryPlan forMachine(std::size_t memoryMb, std::size_t descriptors);

    auto operator<=>(const MemoryPlan&) const = default;
};

}
