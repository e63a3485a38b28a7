#include "chiveshelf/tables/TablesDiff.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace chiveshelf {

namespace {

    using Json = nlohmann::ordered_json;

    template <typename Row>
    const Row* findRow(const std::vector<Row>& rows, const std::string& name)
    {
        const auto it = std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.name == name; });
        return it == rows.end() ? nullptr : &*it;
    }

    template <typename Row>
    std::vector<FieldChange> diffFields(const Row* from, const Row* to)
    {
        const auto before = from ? Json::parse(formatRow(*from)) : Json::object();
        const auto after = to ? Json::parse(formatRow(*to)) : Json::object();
        std::vector<FieldChange> out;
        for (const auto& [field, value] : before.items()) {
            const auto it = after.find(field);
            if (it == after.end() || *it != value)
                out.push_back({ field, value.dump(), it == after.end() ? "" : it->dump() });
        }
        for (const auto& [field, value] : after.items()) {
            if (!before.contains(field))
                out.push_back({ field, "", value.dump() });
        }
        return out;
    }

    template <typename Row>
    std::set<std::string> rowNames(const std::vector<Row>& a, const std::vector<Row>& b)
    {
        std::set<std::string> names;
        for (const auto* rows : { &a, &b }) {
            for (const auto& row : *rows)
                names.insert(row.name);
        }
        return names;
    }

    template <typename Row>
    void diffRows(const std::string& table, const std::vector<Row>& from, const std::vector<Row>& to, std::vector<RowChange>& out)
    {
        for (const auto& name : rowNames(from, to)) {
            const auto* before = findRow(from, name);
            const auto* after = findRow(to, name);
            if (before && after && *before == *after)
                continue;
            const auto kind = !before ? ChangeKind::Added : !after ? ChangeKind::Removed
                                                                   : ChangeKind::Changed;
            out.push_back({ table, name, kind, diffFields(before, after) });
        }
    }

    std::string valueOrAbsent(const std::string& json)
    {
        return json.empty() ? "(absent)" : json;
    }

    // Reports each field that both edits changed differently. If there is none, reports all fields that the accepted edit
    // changed. If one edit removed the row, reports the row itself.
    template <typename Row>
    void reportConflicts(const std::string& table, const Row* base, const Row* mine, const Row* theirs, const std::string& name,
        std::vector<TableProblem>& problems)
    {
        if (!mine || !theirs) {
            problems.push_back({ table, name, "", std::string("is removed by ") + (mine ? "the accepted edit and changed by yours" : "your edit and changed by the accepted one") });
            return;
        }
        const auto before = problems.size();
        std::map<std::string, FieldChange> accepted;
        for (const auto& change : diffFields(base, theirs))
            accepted[change.field] = change;
        for (const auto& change : diffFields(base, mine)) {
            const auto it = accepted.find(change.field);
            if (it != accepted.end() && it->second.after != change.after)
                problems.push_back({ table, name, change.field, "the accepted edit set " + valueOrAbsent(it->second.after) + ", yours sets " + valueOrAbsent(change.after) });
        }
        if (problems.size() > before)
            return;
        for (const auto& [field, change] : accepted)
            problems.push_back({ table, name, field, "the accepted edit set " + valueOrAbsent(change.after) + " in a row that your edit changes too" });
    }

    template <typename Row>
    std::vector<Row> mergeRows(const std::string& table, const std::vector<Row>& base, const std::vector<Row>& mine,
        std::vector<Row> theirs, std::vector<TableProblem>& problems)
    {
        const auto equal = [](const Row* a, const Row* b) { return a && b ? *a == *b : a == b; };
        std::vector<Row> added;
        for (const auto& row : mine) {
            if (!findRow(base, row.name))
                added.push_back(row);
        }
        for (const auto& name : rowNames(base, mine)) {
            const auto* before = findRow(base, name);
            const auto* edited = findRow(mine, name);
            const auto* accepted = findRow(theirs, name);
            if (equal(before, edited) || equal(edited, accepted))
                continue;
            if (!equal(before, accepted)) {
                reportConflicts(table, before, edited, accepted, name, problems);
                continue;
            }
            if (!edited)
                std::erase_if(theirs, [&](const Row& row) { return row.name == name; });
            else if (accepted)
                *std::find_if(theirs.begin(), theirs.end(), [&](const Row& row) { return row.name == name; }) = *edited;
        }
        for (const auto& row : added) {
            if (!findRow(theirs, row.name))
                theirs.push_back(row);
        }
        return theirs;
    }

}

std::vector<RowChange> diffTables(const Tables& from, const Tables& to)
{
    std::vector<RowChange> out;
    diffRows("routes", from.routes, to.routes, out);
    diffRows("pools", from.pools, to.pools, out);
    return out;
}

std::string toString(const RowChange& change)
{
    const char mark = change.kind == ChangeKind::Added ? '+' : change.kind == ChangeKind::Removed ? '-'
                                                                                                  : '~';
    std::string out = std::string(1, mark) + " " + change.table + "[" + change.row + "]\n";
    for (const auto& field : change.fields)
        out += "    " + field.field + ": " + valueOrAbsent(field.before) + " -> " + valueOrAbsent(field.after) + "\n";
    return out;
}

tl::expected<Tables, std::vector<TableProblem>> mergeTables(const Tables& base, const Tables& mine, const Tables& theirs)
{
    std::vector<TableProblem> problems;
    Tables out { theirs.revision, theirs.editId, {}, {} };
    out.routes = mergeRows("routes", base.routes, mine.routes, theirs.routes, problems);
    out.pools = mergeRows("pools", base.pools, mine.pools, theirs.pools, problems);
    if (!problems.empty())
        return tl::unexpected(std::move(problems));
    return parseTables(formatTables(out));
}

}
