#pragma once

#include "chiveshelf/ctl/ExitCode.h"
#include "chiveshelf/keyvalue/HttpPlatform.h"
#include "chiveshelf/tables/TablesDiff.h"

#include <boost/asio/io_context.hpp>

namespace chiveshelf {

// The tables in the platform's key-value service, with the revision of their key.
struct StoredTables {
    Tables tables;
    Revision keyRevision = 0;
};

// Reason why an operation failed. `problems` contains the tables, rows and fields concerned.
struct EditFailure {
    ExitCode code = ExitCode::Failed;
    std::string message;
    std::vector<TableProblem> problems;
};

template <typename T>
using EditResult = tl::expected<T, EditFailure>;

// Result of an accepted edit. If `changes` is empty, nothing was written and `revision` is the current revision.
struct EditOutcome {
    std::uint64_t revision = 0;
    std::string editId;
    std::vector<RowChange> changes;
    // True if other edits were accepted after the base revision and this edit was merged with them.
    bool isMerged = false;
};

// Edits the tables by compare-and-swap. Read the tables with read(), change a copy, and call commit() with both.
//
// Before each edit, the current revision is saved under one of a fixed number of keys, which are reused in turn. Recent revisions
// thus remain available as merge bases. After a lost reply they also show whether an edit was accepted, even if later edits have
// replaced it.
class TableEditor {
public:
    TableEditor(boost::asio::io_context&, HttpPlatform&);
    TableEditor(const TableEditor&) = delete;
    TableEditor& operator=(const TableEditor&) = delete;

    // Returns the current tables, or empty tables if none were ever written.
    boost::asio::awaitable<EditResult<StoredTables>> read();

    // Returns the tables at a revision. Fails with Conflict if the revision is no longer saved or was never accepted.
    boost::asio::awaitable<EditResult<Tables>> readRevision(std::uint64_t revision);

    // Applies the changes from `base` to `wanted` to the tables in the service. Fails with Conflict if another edit has changed the
    // same rows since `base`; such rows are never overwritten. Fails with OutcomeUnknown if the reply was lost and the service then
    // cannot be read for at least 10 s.
    boost::asio::awaitable<EditResult<EditOutcome>> commit(Tables base, Tables wanted);

private:
    enum class EditStatus {
        Accepted,
        NotAccepted,
        Unknown,
    };

    boost::asio::awaitable<EditResult<void>> saveCurrentRevision(StoredTables);
    boost::asio::awaitable<EditStatus> resolveLostReply(std::uint64_t revision, std::string editId);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds);

    boost::asio::io_context& m_context;
    HttpPlatform& m_platform;
};

}
