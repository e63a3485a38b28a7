#pragma once

#include "chiveshelf/core/Address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chiveshelf {

// A whole and committed block in a store. `generation` is that of the store's start: after a restart the record is void.
struct BlockRecord {
    std::string key;
    std::int64_t length = 0;
    // Covers key and data, so that the data of one block never passes for another.
    std::string checksum;
    std::int64_t generation = 0;
    Address store;

    auto operator<=>(const BlockRecord&) const = default;
};

// What a store knows of the keys it was asked for.
struct StoreLookup {
    std::int64_t generation = 0;
    std::vector<BlockRecord> records;

    auto operator<=>(const StoreLookup&) const = default;
};

}
