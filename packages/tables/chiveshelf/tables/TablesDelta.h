#pragma once

#include "chiveshelf/core/Error.h"
#include "chiveshelf/peer/DatagramChannel.h"
#include "chiveshelf/peer/MessageType.h"
#include "chiveshelf/tables/Tables.h"

namespace chiveshelf {

// The rows that lead from one revision to another, in their JSON form. Base 0 stands for empty tables, so that the whole is a
// delta too.
struct TablesDelta {
    std::uint64_t baseRevision = 0;
    std::uint64_t revision = 0;
    std::string editId;
    // Rows that are new or changed.
    std::vector<std::string> routes;
    std::vector<std::string> pools;
    std::vector<std::string> removedRoutes;
    std::vector<std::string> removedPools;
    // Hash of the result's JSON form.
    std::string checksum;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(baseRevision, revision, editId, routes, pools, removedRoutes, removedPools, checksum);
    }
};

// Asks a host for its tables. The reply is a delta from the revision held, or the whole if the host no longer has that
// revision.
struct PullTables {
    static constexpr auto messageType = peer::MessageType::PullTables;
    using Reply = TablesDelta;

    std::uint64_t heldRevision = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(heldRevision);
    }
};

// Tells the sender's revision. A receiver with a lower one pulls; one with a higher one answers with its own.
struct TablesAnnouncement {
    static constexpr auto datagramType = peer::DatagramType::TablesAnnouncement;

    std::uint64_t revision = 0;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(revision);
    }
};

// Returns the delta from `base` to `target`.
TablesDelta makeDelta(const Tables& base, const Tables& target);

// Returns the tables that result. Fails with Conflict if `base` has another revision than the delta's or the checksum
// differs, for instance because rows changed their order; then the whole must be pulled.
Result<Tables> applyDelta(const Tables& base, const TablesDelta&);

}
