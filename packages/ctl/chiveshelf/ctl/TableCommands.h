#pragma once

#include "chiveshelf/ctl/TableEditor.h"

#include <string>

namespace chiveshelf {

// How results are printed on stdout.
enum class OutputForm {
    Text,
    Json,
};

// Prints the tables of the platform's service.
boost::asio::awaitable<ExitCode> showTables(TableEditor&, OutputForm);

// Checks a tables file and prints its problems.
ExitCode validateFile(const std::string& path, OutputForm);

// Prints what applying the file would change, and the rows that overlap with edits accepted since its base revision. Returns
// Differs if there is a change.
boost::asio::awaitable<ExitCode> diffFile(TableEditor&, std::string path, OutputForm);

// Writes the tables of a file. With a base revision in the file, only the rows that the file changes are written.
boost::asio::awaitable<ExitCode> applyFile(TableEditor&, std::string path, OutputForm);

// Changes rows as `arguments` say.
boost::asio::awaitable<ExitCode> editRows(TableEditor&, std::vector<std::string> arguments, OutputForm);

}
