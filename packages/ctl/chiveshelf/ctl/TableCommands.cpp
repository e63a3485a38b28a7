#include "chiveshelf/ctl/TableCommands.h"

#include "chiveshelf/ctl/RowEdit.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    using Json = nlohmann::ordered_json;

    Json problemsToJson(const std::vector<TableProblem>& problems)
    {
        auto list = Json::array();
        for (const auto& problem : problems)
            list.push_back({ { "table", problem.table }, { "row", problem.row }, { "field", problem.field }, { "message", problem.message } });
        return list;
    }

    Json changesToJson(const std::vector<RowChange>& changes)
    {
        auto list = Json::array();
        for (const auto& change : changes) {
            auto fields = Json::array();
            for (const auto& field : change.fields)
                fields.push_back({ { "field", field.field }, { "before", field.before }, { "after", field.after } });
            const auto* kind = change.kind == ChangeKind::Added ? "added" : change.kind == ChangeKind::Removed ? "removed"
                                                                                                               : "changed";
            list.push_back({ { "table", change.table }, { "row", change.row }, { "change", kind }, { "fields", fields } });
        }
        return list;
    }

    ExitCode report(const EditFailure& failure, OutputFormat format)
    {
        std::cerr << "chivesctl: " << failure.message << "\n";
        for (const auto& problem : failure.problems)
            std::cerr << "chivesctl: " << toString(problem) << "\n";
        if (format == OutputFormat::Json)
            std::cout << Json { { "error", failure.message }, { "problems", problemsToJson(failure.problems) } }.dump(2) << "\n";
        return failure.code;
    }

    ExitCode report(const EditOutcome& outcome, OutputFormat format)
    {
        const bool isChanged = !outcome.changes.empty();
        if (format == OutputFormat::Json) {
            std::cout << Json { { "revision", outcome.revision }, { "edit_id", outcome.editId }, { "accepted", isChanged },
                { "merged", outcome.isMerged }, { "changes", changesToJson(outcome.changes) } }
                             .dump(2)
                      << "\n";
            return ExitCode::Success;
        }
        for (const auto& change : outcome.changes)
            std::cout << toString(change);
        if (!isChanged)
            std::cout << "no change; revision " << outcome.revision << " holds these rows\n";
        else
            std::cout << "accepted revision " << outcome.revision << (outcome.isMerged ? ", merged with edits accepted since" : "") << "\n";
        return ExitCode::Success;
    }

    EditResult<Tables> loadFile(const std::string& path)
    {
        std::ifstream in(path);
        std::ostringstream text;
        text << in.rdbuf();
        if (!in)
            return tl::unexpected(EditFailure { ExitCode::Usage, "cannot read " + path, {} });
        auto tables = parseTables(text.str());
        if (!tables)
            return tl::unexpected(EditFailure { ExitCode::InvalidTables, path + " is not valid", tables.error() });
        return std::move(*tables);
    }

    // Returns the tables at the file's base revision. Without one, the file replaces the current tables, so these are the base.
    asio::awaitable<EditResult<Tables>> findBase(TableEditor& editor, std::uint64_t revision)
    {
        if (revision > 0)
            co_return co_await editor.readRevision(revision);
        auto stored = co_await editor.read();
        if (!stored)
            co_return tl::unexpected(stored.error());
        co_return std::move(stored->tables);
    }

}

asio::awaitable<ExitCode> showTables(TableEditor& editor, OutputFormat format)
{
    const auto stored = co_await editor.read();
    if (!stored)
        co_return report(stored.error(), format);
    std::cout << formatTables(stored->tables);
    co_return ExitCode::Success;
}

ExitCode validateFile(const std::string& path, OutputFormat format)
{
    const auto tables = loadFile(path);
    if (!tables)
        return report(tables.error(), format);
    if (format == OutputFormat::Json)
        std::cout << "{\"valid\": true}\n";
    else
        std::cout << path << ": valid\n";
    return ExitCode::Success;
}

asio::awaitable<ExitCode> diffFile(TableEditor& editor, std::string path, OutputFormat format)
{
    const auto wanted = loadFile(path);
    if (!wanted)
        co_return report(wanted.error(), format);
    const auto base = co_await findBase(editor, wanted->revision);
    if (!base)
        co_return report(base.error(), format);
    const auto stored = co_await editor.read();
    if (!stored)
        co_return report(stored.error(), format);
    const auto merged = mergeTables(*base, *wanted, stored->tables);
    if (!merged) {
        const EditFailure conflict { ExitCode::Conflict, "edits accepted since the file's base revision conflict with it", merged.error() };
        co_return report(conflict, format);
    }
    const auto changes = diffTables(stored->tables, *merged);
    if (format == OutputFormat::Json)
        std::cout << Json { { "revision", stored->tables.revision }, { "changes", changesToJson(changes) } }.dump(2) << "\n";
    else
        for (const auto& change : changes)
            std::cout << toString(change);
    co_return changes.empty() ? ExitCode::Success : ExitCode::Differs;
}

asio::awaitable<ExitCode> applyFile(TableEditor& editor, std::string path, OutputFormat format)
{
    const auto wanted = loadFile(path);
    if (!wanted)
        co_return report(wanted.error(), format);
    const auto base = co_await findBase(editor, wanted->revision);
    if (!base)
        co_return report(base.error(), format);
    const auto outcome = co_await editor.commit(*base, *wanted);
    co_return outcome ? report(*outcome, format) : report(outcome.error(), format);
}

asio::awaitable<ExitCode> editRows(TableEditor& editor, std::vector<std::string> arguments, OutputFormat format)
{
    const auto stored = co_await editor.read();
    if (!stored)
        co_return report(stored.error(), format);
    auto edited = applyRowEdits(stored->tables, arguments);
    if (!edited) {
        const bool isUsageError = !edited.error().usageError.empty();
        const EditFailure problem { isUsageError ? ExitCode::Usage : ExitCode::InvalidTables,
            isUsageError ? edited.error().usageError : "the edit results in invalid tables", edited.error().problems };
        co_return report(problem, format);
    }
    const auto outcome = co_await editor.commit(stored->tables, std::move(*edited));
    co_return outcome ? report(*outcome, format) : report(outcome.error(), format);
}

}
