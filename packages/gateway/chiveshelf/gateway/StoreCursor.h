#pragma once

#include "chiveshelf/keyvalue/StorePosition.h"

#include <algorithm>

namespace chiveshelf {

// How far a host knows the key-value store's history, and what it has to do with an answer or a notice of the store. Free of I/O, so
// that orders of arrival can be simulated.
//
// Invariant: the position never goes back. All changes of its era up to its revision are known, unless a read is required. Answers
// and notices of an earlier era than the latest known one are ignored, however late they arrive.
class StoreCursor {
public:
    // What to do with a notice of another host.
    enum class Step {
        // It tells nothing about the present.
        Ignore,
        // Nothing has changed since the position.
        Confirm,
        // Its changes continue at the position.
        Apply,
        // Changes are missing between the position and the notice. The sender has them.
        Request,
        // The store was restored; only a full read shows its state.
        Read,
    };

    StorePosition position() const { return m_position; }

    // The latest era that an answer or a notice told.
    StoreEra era() const { return m_era; }

    // Whether a full read is needed, because changes may have been missed or the store was restored.
    bool mustRead() const { return m_isReadRequired || m_position.era < m_era; }
    void requireRead() { m_isReadRequired = true; }

    // Notes that the store is in this era, or was.
    void noteEra(StoreEra era) { m_era = std::max(m_era, era); }

    // Ends a full read, whose first page has this position. Returns false if the store was restored since; the read is void then.
    bool finishRead(StorePosition);

    // Whether the changes after `from` up to `to`, both of one answer, continue what is known.
    bool continues(StorePosition from, StorePosition to);

    Step onNotice(StorePosition from, StorePosition to, bool hasChanges);

    // Moves the position to the end of applied changes.
    void advance(StorePosition to);

    // Records that all changes up to the position are known, though calls of this host failed.
    void confirm() { m_isReadRequired = false; }

private:
    StorePosition m_position;
    StoreEra m_era = 0;
    bool m_isReadRequired = true;
};

}
