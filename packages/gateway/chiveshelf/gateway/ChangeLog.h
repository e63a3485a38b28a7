#pragma once

#include "chiveshelf/keyvalue/ItemStore.h"

#include <deque>
#include <optional>
#include <vector>

namespace chiveshelf {

// The latest changes in the key-value store, kept for hosts that missed some of them. The text of the routing tables is not among
// them, so that a change of it doesn't push out the others.
class ChangeLog {
public:
    // Limit for the keys and values kept, and so for those in one reply. Hosts that need more changes read the store, because a
    // host with a slow link would take seconds to send them to all hosts of the data centre.
    static constexpr std::size_t maxBytes = 64 * 1024;

    // Adds the changes after `from` up to `to`, which are of one era. If there is a gap after the changes added before, or those are
    // of another era, they are dropped.
    void add(StorePosition from, StorePosition to, const std::vector<ItemChange>&);

    // Returns the changes after a position, in order, or nothing if not all of them are known.
    std::optional<ChangeBatch> since(StorePosition) const;

private:
    std::deque<ItemChange> m_changes;
    std::size_t m_bytes = 0;
    // The changes after `m_from` up to `m_to` are complete.
    StorePosition m_from;
    StorePosition m_to;
};

}
