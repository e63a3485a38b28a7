#include "chiveshelf/ctl/TableEditor.h"

#include "chiveshelf/core/Hash.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Number of revisions saved as merge bases. At the target of 12,000 edits a day they cover 15 minutes.
    constexpr std::uint64_t savedRevisionCount = 128;
    // An edit fails after this many attempts. Each attempt that fails with a conflict means that another edit was accepted.
    constexpr int maxCommitAttempts = 50;
    constexpr int maxSaveAttempts = 3;
    constexpr auto rateLimitDelay = std::chrono::milliseconds(200);
    constexpr auto resolveInterval = std::chrono::milliseconds(250);
    constexpr int maxResolveAttempts = 40;
    constexpr std::size_t maxValueBytes = 1024 * 1024;

    std::string savedRevisionKey(std::uint64_t revision)
    {
        return std::string(tablesKey) + "/kept/" + std::to_string(revision % savedRevisionCount);
    }

    EditFailure fromError(const Error& error)
    {
        const bool isConflict = error.code == ErrorCode::Conflict;
        return { isConflict ? ExitCode::Conflict : ExitCode::Unavailable, "the platform's key-value service failed: " + error.message, {} };
    }

    tl::unexpected<EditFailure> fail(ExitCode code, std::string message, std::vector<TableProblem> problems = {})
    {
        return tl::unexpected<EditFailure>(EditFailure { code, std::move(message), std::move(problems) });
    }

}

TableEditor::TableEditor(asio::io_context& context, HttpPlatform& platform)
    : m_context(context)
    , m_platform(platform)
{
}

asio::awaitable<void> TableEditor::pause(std::chrono::milliseconds duration)
{
    boost::system::error_code ec;
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<EditResult<StoredTables>> TableEditor::read()
{
    const auto entry = co_await m_platform.get(tablesKey);
    if (!entry)
        co_return tl::unexpected(fromError(entry.error()));
    if (entry->revision == 0)
        co_return StoredTables {};
    auto tables = parseTables(entry->value);
    if (!tables)
        co_return fail(ExitCode::InvalidTables, "the service holds invalid tables", tables.error());
    co_return StoredTables { std::move(*tables), entry->revision };
}

asio::awaitable<EditResult<Tables>> TableEditor::readRevision(std::uint64_t revision)
{
    auto stored = co_await read();
    if (!stored)
        co_return tl::unexpected(stored.error());
    if (stored->tables.revision == revision)
        co_return std::move(stored->tables);
    if (revision > stored->tables.revision)
        co_return fail(ExitCode::Conflict, "revision " + std::to_string(revision) + " is higher than the service's revision " + std::to_string(stored->tables.revision));
    const auto entry = co_await m_platform.get(savedRevisionKey(revision));
    if (!entry)
        co_return tl::unexpected(fromError(entry.error()));
    auto saved = parseTables(entry->value);
    if (!saved || saved->revision != revision)
        co_return fail(ExitCode::Conflict, "revision " + std::to_string(revision) + " is no longer saved; edit a fresh copy from 'chivesctl show'");
    co_return std::move(*saved);
}

// Concurrent saves of one revision are harmless: its content never changes, so a writer whose save fails with a conflict finds
// the same content saved already.
asio::awaitable<EditResult<void>> TableEditor::saveCurrentRevision(StoredTables stored)
{
    if (stored.keyRevision == 0)
        co_return EditResult<void> {};
    const auto key = savedRevisionKey(stored.tables.revision);
    EditFailure last;
    for (int i = 0; i < maxSaveAttempts; ++i) {
        const auto entry = co_await m_platform.get(key);
        if (!entry)
            co_return tl::unexpected(fromError(entry.error()));
        const auto saved = parseTables(entry->value);
        if (saved && saved->revision >= stored.tables.revision)
            co_return EditResult<void> {};
        const auto written = co_await m_platform.compareAndSwap(key, entry->revision, formatTables(stored.tables), std::nullopt);
        if (written)
            co_return EditResult<void> {};
        last = fromError(written.error());
        co_await pause(rateLimitDelay);
    }
    co_return tl::unexpected(last);
}

// Reads the tables to determine whether an edit was accepted although its reply was lost.
asio::awaitable<TableEditor::EditStatus> TableEditor::resolveLostReply(std::uint64_t revision, std::string editId)
{
    for (int i = 0; i < maxResolveAttempts; ++i) {
        const auto held = co_await readRevision(revision);
        if (held)
            co_return held->editId == editId ? EditStatus::Accepted : EditStatus::NotAccepted;
        if (held.error().code == ExitCode::Conflict)
            co_return EditStatus::NotAccepted;
        co_await pause(resolveInterval);
    }
    co_return EditStatus::Unknown;
}

asio::awaitable<EditResult<EditOutcome>> TableEditor::commit(Tables base, Tables wanted)
{
    const auto editId = makeUniqueId();
    for (int i = 0; i < maxCommitAttempts; ++i) {
        auto stored = co_await read();
        if (!stored)
            co_return tl::unexpected(stored.error());
        const auto& current = stored->tables;
        const bool isMerged = current.revision != base.revision;
        auto merged = mergeTables(base, wanted, current);
        if (!merged) {
            const auto code = isMerged ? ExitCode::Conflict : ExitCode::InvalidTables;
            const auto message = isMerged ? "revision " + std::to_string(current.revision) + " was accepted since revision "
                    + std::to_string(base.revision) + " and conflicts with this edit"
                                          : std::string("the edit results in invalid tables");
            co_return fail(code, message, merged.error());
        }
        EditOutcome outcome { current.revision, current.editId, diffTables(current, *merged), isMerged };
        if (outcome.changes.empty())
            co_return outcome;
        auto saved = co_await saveCurrentRevision(*stored);
        if (!saved)
            co_return tl::unexpected(saved.error());
        merged->revision = outcome.revision = current.revision + 1;
        merged->editId = outcome.editId = editId;
        const auto text = formatTables(*merged);
        if (text.size() > maxValueBytes)
            co_return fail(ExitCode::InvalidTables, "the tables exceed 1 MB");
        const auto written = co_await m_platform.compareAndSwap(tablesKey, stored->keyRevision, text, std::nullopt);
        if (written)
            co_return outcome;
        if (written.error().verdict == Verdict::MayHaveRun) {
            const auto status = co_await resolveLostReply(outcome.revision, editId);
            if (status == EditStatus::Accepted)
                co_return outcome;
            if (status == EditStatus::Unknown)
                co_return fail(ExitCode::OutcomeUnknown,
                    "the reply was lost and the service cannot be read; once it is available again, compare the output of 'chivesctl show --json' with edit id " + editId);
            // The write may still arrive at the service late. Then either its compare-and-swap or that of the next attempt fails.
            continue;
        }
        if (written.error().code == ErrorCode::RateLimited)
            co_await pause(rateLimitDelay);
        else if (written.error().code != ErrorCode::Conflict)
            co_return tl::unexpected(fromError(written.error()));
    }
    co_return fail(ExitCode::Conflict, "another edit was accepted before each attempt; try again");
}

}
