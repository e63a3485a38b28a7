#pragma once

#include "chiveshelf/core/Address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chiveshelf {

// A complete and committed block in a store.
struct BlockRecord {
    std::string key;
    // Size of the data in bytes.
    std::int64_t length = 0;
    // Covers key and data, so that the data of one block is never accepted as that of another.
    std::string checksum;
    // The store's generation when the block was written. A store starts a new generation on each restart, which invalidates the
    // record.
    std::int64_t generation = 0;
    Address store;

    auto operator<=>(const BlockRecord&) const = default;
};

// A store's answer to a look-up: its current generation and the records of the requested keys that it holds.
struct StoreLookup {
    std::int64_t generation = 0;
    std::vector<BlockRecord> records;

    auto operator<=>(const StoreLookup&) const = default;
};

}
