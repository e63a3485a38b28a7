#pragma once

// The operators' command line tool: reads and edits the tables in the platform's key-value service, and queries hosts and
// runners.
//
// Dependencies: tables, platform, http, settings.

#include "chiveshelf/ctl/HostCommands.h"
#include "chiveshelf/ctl/RowEdit.h"
#include "chiveshelf/ctl/TableCommands.h"
#include "chiveshelf/ctl/TableEditor.h"
