#pragma once

#include "chiveshelf/tables/TablesJson.h"

namespace chiveshelf {

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

// A changed field with its JSON text before and after the change; the text is empty where the field is absent.
struct FieldChange {
    std::string field;
    std::string before;
    std::string after;

    auto operator<=>(const FieldChange&) const = default;
};

// A row that differs between two revisions of a table.
struct RowChange {
    std::string table;
    std::string row;
    ChangeKind kind = ChangeKind::Changed;
    // The fields that differ, or all fields of an added or removed row.
    std::vector<FieldChange> fields;

    auto operator<=>(const RowChange&) const = default;
};

// Returns the rows that differ: routes before pools, sorted by row name within each table. Row order, revision and edit id are
// ignored.
std::vector<RowChange> diffTables(const Tables& from, const Tables& to);

// Returns one line for the row and one indented line per changed field.
std::string toString(const RowChange&);

// Merges two edits of `base`: `theirs`, which is accepted already, and `mine`. The result has the revision and edit id of
// `theirs`. Fails with one problem per conflicting field if both edits changed the same row differently, or with the validation
// errors of the merged tables, for instance if one edit removed a pool and the other added a route to it.
tl::expected<Tables, std::vector<TableProblem>> mergeTables(const Tables& base, const Tables& mine, const Tables& theirs);

}
