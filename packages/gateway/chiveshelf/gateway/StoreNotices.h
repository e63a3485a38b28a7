#pragma once

#include "chiveshelf/gateway/HostMessages.h"
#include "chiveshelf/keyvalue/ItemStore.h"

namespace chiveshelf {

// Conversions between changes in the key-value store and the messages that relay them between hosts.

std::vector<RelayedChange> toRelayedChanges(const std::vector<ItemChange>&);
std::vector<ItemChange> toItemChanges(const std::vector<RelayedChange>&);

// Returns the changes without the values of this key, which other hosts get in another way.
std::vector<ItemChange> withoutValues(std::vector<ItemChange>, std::string_view key);

// Whether the change is followed by another of the same key.
bool isSuperseded(const std::vector<ItemChange>&, const ItemChange&);

// Returns the notices for the changes after `from`, which is of the batch's era: one without changes if there are none, otherwise as many as needed, each
// starting at the position where the one before ended. If the changes are too long or too many, returns a single notice with the
// revisions only, and receivers request the changes.
std::vector<StoreNotice> makeStoreNotices(std::uint64_t host, StorePosition from, const ChangeBatch&);

}
