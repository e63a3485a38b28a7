#pragma once

#include "chiveshelf/routing/TablesUpdate.h"

namespace chiveshelf {

// Conversions between updates of the routing tables and the compressed bytes that hosts send each other. Equal updates give equal
// bytes.

// Limit for an update before compression. The store's limit for a value is 1 MB, and an update is shorter than the text.
constexpr std::size_t maxTablesUpdateBytes = 4 * 1024 * 1024;

std::string encodeTablesUpdate(const TablesUpdate&);

// Returns nothing if the bytes are not a valid update or are too long.
std::optional<TablesUpdate> decodeTablesUpdate(const std::string& bytes);

}
