#pragma once

#include "chiveshelf/tables/TablesJson.h"

#include <string>
#include <vector>

namespace chiveshelf {

// Reason why row edits could not be applied.
struct RowEditFailure {
    // Describes an error in the arguments; empty if they are valid.
    std::string usageError;
    // Validation errors of the resulting tables, or the missing row.
    std::vector<TableProblem> problems;
};

// Applies the arguments of `chivesctl edit` to tables. The forms of an edit are
//   set TABLE ROW FIELD=VALUE...
//   unset TABLE ROW FIELD...
//   add TABLE FIELD=VALUE...
//   remove TABLE ROW
// Several edits are joined by the word "and", so that a pool and its route can be added in one step. FIELD.PART selects a
// member of an object, for example `targets_ms.urgent`. VALUE is plain text for string fields and JSON for all others. Fails with
// a usage error, or with the validation errors of the resulting tables.
tl::expected<Tables, RowEditFailure> applyRowEdits(const Tables& tables, const std::vector<std::string>& arguments);

}
