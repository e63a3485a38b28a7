#pragma once

#include "chiveshelf/tables/Tables.h"

#include <string>
#include <string_view>
#include <vector>

namespace chiveshelf {

// A problem of one row. `table` is "routes", "pools" or empty for the document itself.
struct TableProblem {
    std::string table;
    std::string row;
    std::string field;
    std::string message;

    auto operator<=>(const TableProblem&) const = default;
};

// Returns "routes[desk].pool: no pool named 'x'".
std::string toString(const TableProblem&);

// Parses and checks the JSON form. Returns every problem found: unknown or missing fields, values out of range, duplicate
// names, and names that the other table lacks, in both directions.
tl::expected<Tables, std::vector<TableProblem>> parseTables(std::string_view text);

// Parses one row, without the checks that need the other rows.
tl::expected<Route, std::vector<TableProblem>> parseRoute(std::string_view text);
tl::expected<Pool, std::vector<TableProblem>> parsePool(std::string_view text);

// Returns the JSON form of one row on one line.
std::string formatRow(const Route&);
std::string formatRow(const Pool&);

// Returns the JSON form, with one row per line.
std::string formatTables(const Tables&);

}
