#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace chiveshelf {

// Tracks a stream of server-sent events so that it can be resumed on another runner. Complete events are released for
// forwarding, and the id of the last released one is kept. An incomplete event is held back, since a resumed stream sends it
// again from its start.
class EventCursor {
public:
    // Limit on an incomplete event. A valid event holds a few tokens and is far shorter.
    static constexpr std::size_t maxPartialBytes = 256 * 1024;

    // Adds received bytes and returns the events that are complete now.
    std::string take(std::string_view bytes);

    // Returns the held-back bytes at the regular end of the stream.
    std::string finish();

    // Discards the incomplete event after the stream was interrupted.
    void discardPartial() { m_partial.clear(); }

    std::size_t partialBytes() const { return m_partial.size(); }

    // Whether the incomplete event exceeds maxPartialBytes.
    bool isPartialTooLong() const { return m_partial.size() > maxPartialBytes; }

    // The id of the last released event, empty before the first one.
    const std::string& lastId() const { return m_lastId; }

private:
    void readIds(std::string_view events);

    std::string m_partial;
    std::string m_lastId;
};

}
