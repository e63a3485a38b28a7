#pragma once

#include <compare>
#include <cstdint>

namespace chiveshelf {

// The part of a prompt that a runner can import from a store; a scheduler estimates the import time with it.
struct StoredPrefix {
    // Number of leading blocks of the prompt that the store has completely.
    std::int64_t blocks = 0;
    // Total size of these blocks in bytes.
    std::int64_t bytes = 0;
    // Measured speed of the store's link in bytes/s, 0 before the first measurement.
    double bytesPerSecond = 0;

    auto operator<=>(const StoredPrefix&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(blocks, bytes, bytesPerSecond);
    }
};

}
