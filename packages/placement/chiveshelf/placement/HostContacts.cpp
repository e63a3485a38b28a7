#include "chiveshelf/placement/HostContacts.h"

#include "chiveshelf/core/Hash.h"

#include <algorithm>

namespace chiveshelf {

void HostContacts::note(std::uint64_t host, std::uint64_t dataCentre, std::optional<ContactSpan<TimePoint>> contact)
{
    m_reports.insert_or_assign(host, Report { dataCentre, contact });
}

bool HostContacts::hasContactAcross(std::string_view dataCentre, TimePoint time) const
{
    const auto hash = hash64(dataCentre);
    return std::any_of(m_reports.begin(), m_reports.end(), [&](const auto& entry) {
        const auto& [host, report] = entry;
        return report.dataCentre == hash && report.contact && report.contact->start + detectionTime <= time && report.contact->lastAnswer >= time;
    });
}

}
