#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace chiveshelf {

// Follows a stream of server-sent events so that it can be resumed: whole events are released for forwarding, and the id of
// the last released one is known. Part of an event is held back, since a resumed stream repeats it from its start.
class EventCursor {
public:
    // Part of an event that is held back at most. An event is some tokens; a longer one is none.
    static constexpr std::size_t mostPartialBytes = 256 * 1024;

    // Adds received bytes and returns the whole events that are complete now.
    std::string take(std::string_view bytes);

    // Returns what was held back: the end of a stream that ended properly.
    std::string finish();

    // Forgets the held-back part of an event whose stream broke.
    void discardPartial() { m_partial.clear(); }

    // Whether more is held back than an event may be long.
    bool isOverfull() const { return m_partial.size() > mostPartialBytes; }

    // The id of the last released event; empty before the first.
    const std::string& lastId() const { return m_lastId; }

private:
    void readIds(std::string_view events);

    std::string m_partial;
    std::string m_lastId;
};

}
