#include "chiveshelf/gateway/ChangeLog.h"

namespace chiveshelf {

namespace {

    std::size_t sizeOf(const ItemChange& change)
    {
        return change.item.key.size() + change.item.value.size();
    }

}

void ChangeLog::add(StorePosition from, StorePosition to, const std::vector<ItemChange>& changes)
{
    if (from.era != m_to.era || from > m_to || m_to.revision == 0) {
        m_changes.clear();
        m_bytes = 0;
        m_from = from;
        m_to = from;
    }
    for (const auto& change : changes) {
        if (change.item.revision <= m_to.revision)
            continue;
        m_changes.push_back(change);
        m_bytes += sizeOf(change);
    }
    m_to = std::max(m_to, to);
    while (m_bytes > maxBytes) {
        m_from.revision = m_changes.front().item.revision;
        m_bytes -= sizeOf(m_changes.front());
        m_changes.pop_front();
    }
}

std::optional<ChangeBatch> ChangeLog::since(StorePosition after) const
{
    if (m_to.revision == 0 || after < m_from || after > m_to)
        return std::nullopt;
    ChangeBatch out;
    out.position = m_to;
    for (const auto& change : m_changes) {
        if (change.item.revision > after.revision)
            out.changes.push_back(change);
    }
    return out;
}

}
