#include "chiveshelf/placement/RequestLimit.h"

namespace chiveshelf {

void RequestLimit::set(std::optional<double> perSecond)
{
    if (perSecond == m_perSecond)
        return;
    m_perSecond = perSecond;
    m_sent = 0;
}

void RequestLimit::recordSend()
{
    if (m_perSecond)
        ++m_sent;
}

}
