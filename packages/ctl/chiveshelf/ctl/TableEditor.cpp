#include "chiveshelf/ctl/TableEditor.h"

#include "chiveshelf/core/Hash.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;

namespace {

    // Revisions kept as merge bases: at the target of 12,000 edits a day, 15 minutes' worth.
    constexpr std::uint64_t keptRevisions = 128;
    // An edit meets another one at most this often before it gives up; each meeting means that another edit was accepted.
    constexpr int maximumAttempts = 50;
    constexpr int keepAttempts = 3;
    constexpr auto rateLimitDelay = std::chrono::milliseconds(200);
    constexpr auto settleInterval = std::chrono::milliseconds(250);
    constexpr int settleAttempts = 40;
    constexpr std::size_t maximumValueBytes = 1024 * 1024;

    std::string keptKey(std::uint64_t revision)
    {
        return std::string(tablesKey) + "/kept/" + std::to_string(revision % keptRevisions);
    }

    EditFailure fromError(const Error& error)
    {
        const bool isConflict = error.code == ErrorCode::Conflict;
        return { isConflict ? ExitCode::Conflict : ExitCode::Unavailable, "the platform's service failed: " + error.message, {} };
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
        co_return fail(ExitCode::Conflict, "revision " + std::to_string(revision) + " is above the service's " + std::to_string(stored->tables.revision));
    const auto entry = co_await m_platform.get(keptKey(revision));
    if (!entry)
        co_return tl::unexpected(fromError(entry.error()));
    auto kept = parseTables(entry->value);
    if (!kept || kept->revision != revision)
        co_return fail(ExitCode::Conflict, "revision " + std::to_string(revision) + " is no longer kept; edit a fresh copy from 'chivesctl show'");
    co_return std::move(*kept);
}

// Races are harmless: an accepted revision has one content, and whoever loses finds it there.
asio::awaitable<EditResult<void>> TableEditor::keepPredecessor(StoredTables stored)
{
    if (stored.keyRevision == 0)
        co_return EditResult<void> {};
    const auto key = keptKey(stored.tables.revision);
    EditFailure last;
    for (int i = 0; i < keepAttempts; ++i) {
        const auto entry = co_await m_platform.get(key);
        if (!entry)
            co_return tl::unexpected(fromError(entry.error()));
        const auto kept = parseTables(entry->value);
        if (kept && kept->revision >= stored.tables.revision)
            co_return EditResult<void> {};
        const auto written = co_await m_platform.compareAndSwap(key, entry->revision, formatTables(stored.tables), std::nullopt);
        if (written)
            co_return EditResult<void> {};
        last = fromError(written.error());
        co_await pause(rateLimitDelay);
    }
    co_return tl::unexpected(last);
}

// Finds out by reading whether an edit whose reply was lost was accepted.
asio::awaitable<TableEditor::Settled> TableEditor::settle(std::uint64_t revision, std::string editId)
{
    for (int i = 0; i < settleAttempts; ++i) {
        const auto held = co_await readRevision(revision);
        if (held)
            co_return held->editId == editId ? Settled::Accepted : Settled::NotAccepted;
        if (held.error().code == ExitCode::Conflict)
            co_return Settled::NotAccepted;
        co_await pause(settleInterval);
    }
    co_return Settled::Unknown;
}

asio::awaitable<EditResult<EditOutcome>> TableEditor::commit(Tables base, Tables wanted)
{
    const auto editId = makeUniqueId();
    for (int i = 0; i < maximumAttempts; ++i) {
        auto stored = co_await read();
        if (!stored)
            co_return tl::unexpected(stored.error());
        const auto& present = stored->tables;
        const bool isMerged = present.revision != base.revision;
        auto merged = mergeTables(base, wanted, present);
        if (!merged) {
            const auto code = isMerged ? ExitCode::Conflict : ExitCode::InvalidTables;
            const auto message = isMerged ? "revision " + std::to_string(present.revision) + " was accepted since revision "
                    + std::to_string(base.revision) + " and overlaps this edit"
                                          : std::string("the edit leads to invalid tables");
            co_return fail(code, message, merged.error());
        }
        EditOutcome outcome { present.revision, present.editId, diffTables(present, *merged), isMerged };
        if (outcome.changes.empty())
            co_return outcome;
        auto kept = co_await keepPredecessor(*stored);
        if (!kept)
            co_return tl::unexpected(kept.error());
        merged->revision = outcome.revision = present.revision + 1;
        merged->editId = outcome.editId = editId;
        const auto text = formatTables(*merged);
        if (text.size() > maximumValueBytes)
            co_return fail(ExitCode::InvalidTables, "the tables exceed 1 MB");
        const auto written = co_await m_platform.compareAndSwap(tablesKey, stored->keyRevision, text, std::nullopt);
        if (written)
            co_return outcome;
        if (written.error().verdict == Verdict::MayHaveRun) {
            const auto settled = co_await settle(outcome.revision, editId);
            if (settled == Settled::Accepted)
                co_return outcome;
            if (settled == Settled::Unknown)
                co_return fail(ExitCode::OutcomeUnknown,
                    "the reply was lost and the service can not be read; when it is back, compare 'chivesctl show --json' with edit id " + editId);
            // The write can still arrive late. It then conflicts with the next attempt, or that one with it.
            continue;
        }
        if (written.error().code == ErrorCode::RateLimited)
            co_await pause(rateLimitDelay);
        else if (written.error().code != ErrorCode::Conflict)
            co_return tl::unexpected(fromError(written.error()));
    }
    co_return fail(ExitCode::Conflict, "other edits were accepted each time; try again");
}

}
