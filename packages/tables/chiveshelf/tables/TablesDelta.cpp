#include "chiveshelf/tables/TablesDelta.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/tables/TablesDiff.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    std::string checksumOf(const Tables& tables)
    {
        return toHex(hash128(formatTables(tables)));
    }

    template <typename Row>
    void collectChangedRows(const std::vector<Row>& base, const std::vector<Row>& target, std::vector<std::string>& changed,
        std::vector<std::string>& removed)
    {
        const auto find = [](const std::vector<Row>& rows, const std::string& name) {
            return std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.name == name; });
        };
        for (const auto& row : target) {
            const auto it = find(base, row.name);
            if (it == base.end() || *it != row)
                changed.push_back(formatRow(row));
        }
        for (const auto& row : base) {
            if (find(target, row.name) == target.end())
                removed.push_back(row.name);
        }
    }

    template <typename Row, typename Parse>
    bool applyRows(std::vector<Row>& rows, const std::vector<std::string>& changed, const std::vector<std::string>& removed, Parse parse)
    {
        std::erase_if(rows, [&](const Row& row) { return std::find(removed.begin(), removed.end(), row.name) != removed.end(); });
        for (const auto& text : changed) {
            auto row = parse(text);
            if (!row)
                return false;
            const auto it = std::find_if(rows.begin(), rows.end(), [&](const Row& old) { return old.name == row->name; });
            if (it == rows.end())
                rows.push_back(std::move(*row));
            else
                *it = std::move(*row);
        }
        return true;
    }

}

TablesDelta makeDelta(const Tables& base, const Tables& target)
{
    TablesDelta delta { base.revision, target.revision, target.editId, {}, {}, {}, {}, checksumOf(target) };
    collectChangedRows(base.routes, target.routes, delta.routes, delta.removedRoutes);
    collectChangedRows(base.pools, target.pools, delta.pools, delta.removedPools);
    return delta;
}

Result<Tables> applyDelta(const Tables& base, const TablesDelta& delta)
{
    Tables out;
    if (delta.baseRevision == base.revision)
        out = base;
    else if (delta.baseRevision != 0)
        return failure(ErrorCode::Conflict, "the delta was made for another base revision", Verdict::NotRun);
    out.revision = delta.revision;
    out.editId = delta.editId;
    const bool isApplied = applyRows(out.routes, delta.routes, delta.removedRoutes, parseRoute)
        && applyRows(out.pools, delta.pools, delta.removedPools, parsePool);
    if (!isApplied || checksumOf(out) != delta.checksum)
        return failure(ErrorCode::Conflict, "a row of the delta is invalid or the checksum of the resulting tables differs", Verdict::NotRun);
    return out;
}

}
