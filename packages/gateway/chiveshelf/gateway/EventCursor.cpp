#include "chiveshelf/gateway/EventCursor.h"

#include <algorithm>
#include <utility>

namespace chiveshelf {

namespace {

    constexpr std::string_view lfBoundary = "\n\n";
    constexpr std::string_view crlfBoundary = "\r\n\r\n";

    // Returns the offset after the last event boundary in `text` that begins at `from` or later, or 0 if there is none.
    std::size_t endOfEvents(std::string_view text, std::size_t from)
    {
        const auto searched = text.substr(from);
        const auto lf = searched.rfind(lfBoundary);
        const auto crlf = searched.rfind(crlfBoundary);
        std::size_t end = 0;
        if (lf != std::string_view::npos)
            end = from + lf + lfBoundary.size();
        if (crlf != std::string_view::npos)
            end = std::max(end, from + crlf + crlfBoundary.size());
        return end;
    }

}

std::string EventCursor::take(std::string_view bytes)
{
    // The held-back bytes contain no boundary, but one may begin at their end.
    const auto from = m_partial.size() - std::min(m_partial.size(), crlfBoundary.size() - 1);
    m_partial.append(bytes);
    const auto end = endOfEvents(m_partial, from);
    if (end == 0)
        return {};
    auto out = m_partial.substr(0, end);
    m_partial.erase(0, end);
    readIds(out);
    return out;
}

std::string EventCursor::finish()
{
    readIds(m_partial);
    return std::exchange(m_partial, {});
}

void EventCursor::readIds(std::string_view events)
{
    while (!events.empty()) {
        const auto end = std::min(events.find('\n'), events.size());
        auto line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        while (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        m_lastId = line;
    }
}

}
