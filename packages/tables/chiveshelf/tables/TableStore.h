#pragma once

#include "chiveshelf/tables/Tables.h"

#include <functional>
#include <memory>
#include <vector>

namespace chiveshelf {

// A host's copy of the tables. Its revision never decreases. A request holds the snapshot with which it started until it ends.
class TableStore {
public:
    using Listener = std::function<void(const Tables&)>;

    TableStore();

    // Returns the current snapshot. Its revision is 0 until the first tables are received.
    std::shared_ptr<const Tables> snapshot() const { return m_tables; }

    // Replaces the tables if the new revision is higher, and calls the listeners. Returns true if the tables were replaced.
    bool updateIfNewer(Tables);

    // Registers a callback that is called with each new revision.
    void subscribe(Listener);

private:
    std::shared_ptr<const Tables> m_tables;
    std::vector<Listener> m_listeners;
};

}
