#pragma once

#include "chiveshelf/tables/TablesJson.h"

#include <string>
#include <vector>

namespace chiveshelf {

// Applies the arguments of `chivesctl edit` to tables. One edit is
//   set TABLE ROW FIELD=VALUE...
//   unset TABLE ROW FIELD...
//   add TABLE FIELD=VALUE...
//   remove TABLE ROW
// and several are joined by the word "and", so that a pool and its route can be added in one step. FIELD.PART names a part
// of a field, for instance `targets_ms.urgent`. A VALUE is a string where the field holds one, else JSON. Fails with the
// problem in words, or with the problems of the resulting tables.
struct RowEditFailure {
    // Set when the arguments themselves are wrong.
    std::string usage;
    std::vector<TableProblem> problems;
};

tl::expected<Tables, RowEditFailure> applyRowEdits(const Tables& tables, const std::vector<std::string>& arguments);

}
