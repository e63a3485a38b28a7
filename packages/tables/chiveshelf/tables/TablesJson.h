#pragma once

#include "chiveshelf/tables/Tables.h"

#include <string>
#include <string_view>
#include <vector>

namespace chiveshelf {

// A validation error of one row. `table` is "routes", "pools", or empty for an error of the document itself.
struct TableProblem {
    std::string table;
    std::string row;
    std::string field;
    std::string message;

    auto operator<=>(const TableProblem&) const = default;
};

// Returns "routes[desk].pool: no pool named 'x'".
std::string toString(const TableProblem&);

// Parses and validates the JSON form. Fails with all problems found: unknown or missing fields, values out of range, duplicate
// names, routes to missing pools and pools without a route.
tl::expected<Tables, std::vector<TableProblem>> parseTables(std::string_view text);

// Parses and validates one row, without the checks against other rows.
tl::expected<Route, std::vector<TableProblem>> parseRoute(std::string_view text);
tl::expected<Pool, std::vector<TableProblem>> parsePool(std::string_view text);

// Returns the JSON form of a row as a single line.
std::string formatRow(const Route&);
std::string formatRow(const Pool&);

// Returns the JSON form of both tables, with one row per line.
std::string formatTables(const Tables&);

}
