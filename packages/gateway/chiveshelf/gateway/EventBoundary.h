#pragma once

#include <cstdint>
#include <string_view>

namespace chiveshelf {

// Follows the bytes of a stream of server-sent events and knows whether they end with a complete event. An event ends with an empty
// line; lines end with LF or CRLF.
class EventBoundary {
public:
    void scan(std::string_view bytes);

    // Whether the bytes so far end in the middle of an event.
    bool isInsideEvent() const { return m_hasLine || !m_isLineEmpty; }

    // Number of complete events.
    std::uint64_t events() const { return m_events; }

private:
    void endLine();

    std::uint64_t m_events = 0;
    // Whether the present event has a complete line.
    bool m_hasLine = false;
    // Whether the present line has no character.
    bool m_isLineEmpty = true;
    // Whether the last byte was a carriage return, which belongs to the line unless a line feed follows.
    bool m_isAfterReturn = false;
};

}
