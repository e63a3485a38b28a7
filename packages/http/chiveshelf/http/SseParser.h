#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chiveshelf::http {

// Parses a stream of server-sent events and returns their data fields. Add bytes with append() and get events with next().
class SseParser {
public:
    void append(std::string_view bytes) { m_buffer += bytes; }

    // Returns the data of the next complete event, or nullopt if more bytes are needed. Comments are skipped.
    std::optional<std::string> next();

    // Number of buffered bytes that do not form a complete event yet.
    std::size_t pendingBytes() const { return m_buffer.size(); }

private:
    std::string m_buffer;
    // No event ends before this offset of the buffer.
    std::size_t m_searchStart = 0;
};

// Returns the wire form of one event.
std::string formatSseEvent(std::string_view data);

}
