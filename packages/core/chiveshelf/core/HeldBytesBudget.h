#pragma once

#include <cstddef>

namespace chiveshelf {

// Bounds the bytes of answers that a process holds for all its requests together, so that many answers, each within its own limit, don't
// use up its memory. Not thread-safe.
class HeldBytesBudget {
public:
    // Each holder may hold this many bytes in any case, so that a short answer doesn't depend on what others hold. An event or a short
    // JSON body fits in.
    static constexpr std::size_t freeBytesPerHolder = 16 * 1024;

    // `limit` is the number of bytes that all holders may hold above their free ones.
    explicit HeldBytesBudget(std::size_t limit)
        : m_limit(limit)
    {
    }
    HeldBytesBudget(const HeldBytesBudget&) = delete;
    HeldBytesBudget& operator=(const HeldBytesBudget&) = delete;

    // Bytes that are held above the free ones.
    std::size_t held() const { return m_held; }

private:
    friend class HeldBytes;

    std::size_t m_limit;
    std::size_t m_held = 0;
};

}
