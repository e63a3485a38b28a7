#pragma once

#include "chiveshelf/core/Error.h"
#include "chiveshelf/peer/DatagramChannel.h"
#include "chiveshelf/peer/MessageType.h"
#include "chiveshelf/tables/Tables.h"

namespace chiveshelf {

// The difference between two revisions of the tables, with rows as JSON. A delta with base revision 0 starts from empty tables
// and so contains all rows.
struct TablesDelta {
    std::uint64_t baseRevision = 0;
    std::uint64_t revision = 0;
    std::string editId;
    // JSON of added and changed rows.
    std::vector<std::string> routes;
    std::vector<std::string> pools;
    // Names of removed rows.
    std::vector<std::string> removedRoutes;
    std::vector<std::string> removedPools;
    // Hash of the JSON form of the resulting tables.
    std::string checksum;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(baseRevision, revision, editId, routes, pools, removedRoutes, removedPools, checksum);
    }
};

// Requests the tables of a host. The reply is a delta from `heldRevision`, or from base revision 0 if the host no longer has
// that revision.
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

// Announces the sender's revision. A receiver with a lower revision pulls the tables from the sender; one with a higher
// revision replies with its own announcement.
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

// Applies a delta to `base`. Fails with Conflict if the delta was made for another revision or if the checksum of the result
// differs, for instance because the order of the rows changed; the caller must then pull the whole tables.
Result<Tables> applyDelta(const Tables& base, const TablesDelta&);

}
