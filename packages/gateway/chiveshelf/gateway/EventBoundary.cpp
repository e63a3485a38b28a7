#include "chiveshelf/gateway/EventBoundary.h"

namespace chiveshelf {

void EventBoundary::scan(std::string_view bytes)
{
    for (const char c : bytes) {
        if (c == '\n') {
            endLine();
            continue;
        }
        m_isLineEmpty = m_isLineEmpty && c == '\r' && !m_isAfterReturn;
        m_isAfterReturn = c == '\r';
    }
}

void EventBoundary::endLine()
{
    if (!m_isLineEmpty) {
        m_hasLine = true;
    } else if (m_hasLine) {
        m_hasLine = false;
        ++m_events;
    }
    m_isLineEmpty = true;
    m_isAfterReturn = false;
}

}
