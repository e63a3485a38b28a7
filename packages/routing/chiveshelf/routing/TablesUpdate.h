#pragma once

#include "chiveshelf/routing/RoutingTables.h"

#include <tl/expected.hpp>

namespace chiveshelf {

// Rows of the base to keep, followed by new rows.
struct RowStep {
    // Index of the first row of the base to keep, and the number of rows from there.
    std::uint32_t begin = 0;
    std::uint32_t kept = 0;
    // Number of new rows that follow them.
    std::uint32_t added = 0;

    auto operator<=>(const RowStep&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(begin, kept, added);
    }
};

// How the rows of one table follow from those of its base. The order of rows is kept, because the first of two rows that match the
// same requests applies.
template <typename Row>
struct RowsUpdate {
    std::vector<RowStep> steps;
    // The new rows of all steps.
    std::vector<Row> rows;

    auto operator<=>(const RowsUpdate&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(steps, rows);
    }
};

// The difference between two versions of the tables. Equal versions give equal updates on all hosts.
struct TablesUpdate {
    // 0 if the update holds the whole tables.
    std::uint64_t baseVersion = 0;
    std::uint64_t version = 0;
    // tablesChecksum() of the result.
    std::uint64_t checksum = 0;
    RowsUpdate<PathRoute> routes;
    RowsUpdate<RegisteredPool> pools;
    RowsUpdate<Organisation> organisations;
    CallerLimits limits;

    auto operator<=>(const TablesUpdate&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(baseVersion, version, checksum, routes, pools, organisations, limits);
    }
};

// Returns a checksum of all rows and limits. It is the same on all architectures.
std::uint64_t tablesChecksum(const RoutingTables&);

// Returns the update that makes `tables` from `base`. Empty tables of version 0 as the base give whole tables.
TablesUpdate makeTablesUpdate(const RoutingTables& base, const RoutingTables& tables);

// Returns the tables that the update makes from `base`, or a description of the problem if the base has another version or the result
// is not that of the sender.
tl::expected<RoutingTables, std::string> applyTablesUpdate(const TablesUpdate&, const RoutingTables& base);

}
