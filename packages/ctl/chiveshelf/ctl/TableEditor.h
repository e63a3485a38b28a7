#pragma once

#include "chiveshelf/ctl/ExitCode.h"
#include "chiveshelf/keyvalue/HttpPlatform.h"
#include "chiveshelf/tables/TablesDiff.h"

#include <boost/asio/io_context.hpp>

namespace chiveshelf {

// The tables in the platform's service, with the revision of their key.
struct StoredTables {
    Tables tables;
    Revision keyRevision = 0;
};

// Why an edit was not accepted. `problems` name tables, rows and fields.
struct EditFailure {
    ExitCode code = ExitCode::Failed;
    std::string message;
    std::vector<TableProblem> problems;
};

template <typename T>
using EditResult = tl::expected<T, EditFailure>;

// An accepted edit. Without changes nothing was written, and `revision` is the present one.
struct EditOutcome {
    std::uint64_t revision = 0;
    std::string editId;
    std::vector<RowChange> changes;
    // True if another edit was accepted since the base of this one, and both were merged.
    bool isMerged = false;
};

// Edits the tables by compare-and-swap. Read the tables with read(), change a copy, and call commit() with both.
//
// Each accepted edit first puts its predecessor under one of a ring of keys. This keeps recent revisions as merge bases, and
// tells after a lost reply whether an edit was accepted even when another one follows it.
class TableEditor {
public:
    TableEditor(boost::asio::io_context&, HttpPlatform&);
    TableEditor(const TableEditor&) = delete;
    TableEditor& operator=(const TableEditor&) = delete;

    boost::asio::awaitable<EditResult<StoredTables>> read();

    // Returns the tables as they were at a revision. Fails with Conflict if it is no longer kept or was never accepted.
    boost::asio::awaitable<EditResult<Tables>> readRevision(std::uint64_t revision);

    // Applies the changes from `base` to `wanted` to the tables in the service. Rows that another edit has changed since `base`
    // are never overwritten: then it fails with Conflict. It fails with OutcomeUnknown when the reply was lost and the
    // service can not be read within the settling time.
    boost::asio::awaitable<EditResult<EditOutcome>> commit(Tables base, Tables wanted);

private:
    enum class Settled {
        Accepted,
        NotAccepted,
        Unknown,
    };

    boost::asio::awaitable<EditResult<void>> keepPredecessor(StoredTables);
    boost::asio::awaitable<Settled> settle(std::uint64_t revision, std::string editId);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds);

    boost::asio::io_context& m_context;
    HttpPlatform& m_platform;
};

}
