#pragma once

#include "chiveshelf/tables/TablesJson.h"

namespace chiveshelf {

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

// A field with its JSON text before and after; empty where the field is absent.
struct FieldChange {
    std::string field;
    std::string before;
    std::string after;

    auto operator<=>(const FieldChange&) const = default;
};

// A row that differs between two tables.
struct RowChange {
    std::string table;
    std::string row;
    ChangeKind kind = ChangeKind::Changed;
    // The fields that differ; for an added or removed row all of its fields.
    std::vector<FieldChange> fields;

    auto operator<=>(const RowChange&) const = default;
};

// Returns the rows that differ, routes first, each table ordered by row name. Row order, revision and edit id are not
// compared.
std::vector<RowChange> diffTables(const Tables& from, const Tables& to);

// Returns one line per row and one indented line per changed field.
std::string toString(const RowChange&);

// Applies the changes from `base` to `mine` to `theirs`. Fails with a problem per field when both sides changed the same
// row differently, and with the problems of the whole when the sides do not fit together, for instance when one removed a
// pool that the other's new route names. Revision and edit id are those of `theirs`.
tl::expected<Tables, std::vector<TableProblem>> mergeTables(const Tables& base, const Tables& mine, const Tables& theirs);

}
