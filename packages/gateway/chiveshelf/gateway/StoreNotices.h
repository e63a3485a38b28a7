#pragma once

#include "chiveshelf/gateway/HostMessages.h"
#include "chiveshelf/keyvalue/ItemStore.h"

namespace chiveshelf {

// Conversions between the store's changes and what hosts tell each other of them.

std::vector<RelayedChange> toRelayedChanges(const std::vector<ItemChange>&);
std::vector<ItemChange> toItemChanges(const std::vector<RelayedChange>&);

// Returns the notices that tell the changes after `from`: one if there are none, otherwise as many as it takes, each of which
// goes on where the one before ended. Changes that are too long or too many for notices are only mentioned, by one notice.
std::vector<StoreNotice> makeStoreNotices(std::uint64_t host, Revision from, const ChangeBatch&);

}
