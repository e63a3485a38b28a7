#include "chiveshelf/gateway/StoreCursor.h"

namespace chiveshelf {

bool StoreCursor::finishRead(StorePosition first)
{
    noteEra(first.era);
    if (first.era < m_era)
        return false;
    m_position = first;
    m_isReadRequired = false;
    return true;
}

bool StoreCursor::continues(StorePosition from, StorePosition to)
{
    noteEra(to.era);
    return from.era == to.era && to.era == m_era && m_position.era == m_era;
}

StoreCursor::Step StoreCursor::onNotice(StorePosition from, StorePosition to, bool hasChanges)
{
    noteEra(to.era);
    if (to.era < m_era)
        return Step::Ignore;
    if (m_position.era < m_era)
        return Step::Read;
    if (to.revision < m_position.revision)
        return Step::Ignore;
    if (to.revision == m_position.revision)
        return Step::Confirm;
    return hasChanges && from.revision <= m_position.revision ? Step::Apply : Step::Request;
}

void StoreCursor::advance(StorePosition to)
{
    m_position = std::max(m_position, to);
}

}
