#pragma once

#include "chiveshelf/routing/TablesUpdate.h"

namespace chiveshelf {

// Conversions between updates of the routing tables and the bytes that hosts send each other. Equal updates give equal bytes.

std::string encodeTablesUpdate(const TablesUpdate&);

// Returns nothing if the bytes are not a valid update.
std::optional<TablesUpdate> decodeTablesUpdate(const std::string& bytes);

}
