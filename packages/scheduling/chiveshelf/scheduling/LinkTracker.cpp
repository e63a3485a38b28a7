#include "chiveshelf/scheduling/LinkTracker.h"

#include <algorithm>

namespace chiveshelf {

LinkTracker::LinkTracker(std::size_t limit)
    : m_limit(std::max<std::size_t>(limit, 2))
{
}

bool LinkTracker::mayStart(const std::string& link, Priority priority) const
{
    return inFlight(link) < (priority == Priority::Urgent ? m_limit : m_limit - 1);
}

void LinkTracker::started(const std::string& requestId, const PlannedImport& plan)
{
    if (plan.blocks == 0 || !m_linkOf.emplace(requestId, plan.link).second)
        return;
    ++m_inFlight[plan.link];
}

void LinkTracker::finished(const std::string& requestId)
{
    const auto it = m_linkOf.find(requestId);
    if (it == m_linkOf.end())
        return;
    const auto count = m_inFlight.find(it->second);
    if (--count->second == 0)
        m_inFlight.erase(count);
    m_linkOf.erase(it);
}

std::size_t LinkTracker::inFlight(const std::string& link) const
{
    const auto it = m_inFlight.find(link);
    return it == m_inFlight.end() ? 0 : it->second;
}

}
