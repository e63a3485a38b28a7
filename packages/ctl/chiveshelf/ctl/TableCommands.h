#pragma once

#include "chiveshelf/ctl/TableEditor.h"

#include <string>

namespace chiveshelf {

// Format of the results on stdout.
enum class OutputFormat {
    Text,
    Json,
};

// Prints the tables in the platform's key-value service.
boost::asio::awaitable<ExitCode> showTables(TableEditor&, OutputFormat);

// Validates a tables file and prints all problems found.
ExitCode validateFile(const std::string& path, OutputFormat);

// Prints the changes that applying the file would make. Returns Differs if there are any. If edits accepted since the file's base
// revision conflict with it, prints the conflicting rows and returns Conflict.
boost::asio::awaitable<ExitCode> diffFile(TableEditor&, std::string path, OutputFormat);

// Writes the tables of a file. If the file has a base revision, writes only the rows that differ from that revision.
boost::asio::awaitable<ExitCode> applyFile(TableEditor&, std::string path, OutputFormat);

// Applies the arguments of `chivesctl edit`, described at applyRowEdits().
boost::asio::awaitable<ExitCode> editRows(TableEditor&, std::vector<std::string> arguments, OutputFormat);

}
