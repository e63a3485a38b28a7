#pragma once

#include "chiveshelf/keyvalue/KeyValueStore.h"

#include <compare>
#include <cstdint>

namespace chiveshelf {

// Counts how often an ItemStore was restored from an older copy of itself. What was written after the copy is lost then, leases
// included, and the store gives out the same revisions and lease numbers again. 0 for a store that doesn't tell its era.
using StoreEra = std::uint64_t;

// A point in the history of an ItemStore. Revisions of different eras are unrelated, so positions are ordered by era first.
struct StorePosition {
    StoreEra era = 0;
    Revision revision = 0;

    auto operator<=>(const StorePosition&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(era, revision);
    }
};

// A lease that an ItemStore granted. In a later era its number may belong to another holder.
struct GrantedLease {
    StoreEra era = 0;
    // 0 means no lease.
    LeaseId number = 0;

    auto operator<=>(const GrantedLease&) const = default;
};

}
