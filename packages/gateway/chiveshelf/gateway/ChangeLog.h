#pragma once

#include "chiveshelf/keyvalue/ItemStore.h"

#include <deque>
#include <optional>
#include <vector>

namespace chiveshelf {

// The last changes of the store that this host has seen, for hosts that missed some of them.
class ChangeLog {
public:
    // Bytes of keys and values that are kept, and that one answer holds. Longer ones are read from the store: the link of a small
    // host would take seconds for all its neighbours.
    static constexpr std::size_t mostBytes = 64 * 1024;

    // Adds the changes after `from` up to `to`. A gap to what was added before drops the older ones.
    void add(Revision from, Revision to, const std::vector<ItemChange>&);

    // Returns the changes after a revision, in order, or nothing if not all of them are known.
    std::optional<ChangeBatch> since(Revision) const;

private:
    std::deque<ItemChange> m_changes;
    std::size_t m_bytes = 0;
    // The changes after `m_from` up to `m_to` are known.
    Revision m_from = 0;
    Revision m_to = 0;
};

}
