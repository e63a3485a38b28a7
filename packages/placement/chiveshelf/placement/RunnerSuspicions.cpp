#include "chiveshelf/placement/RunnerSuspicions.h"

#include <algorithm>

namespace chiveshelf {

bool RunnerSuspicions::addReport(std::uint32_t runner, std::uint64_t host, std::uint64_t dataCentre, TimePoint at)
{
    const auto reached = m_reachedAt.find(runner);
    if (reached != m_reachedAt.end() && reached->second >= at)
        return false;
    auto& report = m_reports[runner][host];
    report = { dataCentre, std::max(report.at, at) };
    return true;
}

bool RunnerSuspicions::recordReached(std::uint32_t runner, TimePoint at)
{
    auto& reachedAt = m_reachedAt[runner];
    reachedAt = std::max(reachedAt, at);
    const auto it = m_reports.find(runner);
    if (it == m_reports.end())
        return false;
    const auto n = std::erase_if(it->second, [&](const auto& entry) { return entry.second.at <= at; });
    if (it->second.empty())
        m_reports.erase(it);
    return n > 0;
}

bool RunnerSuspicions::isSuspected(std::uint32_t runner, TimePoint now) const
{
    const auto it = m_reports.find(runner);
    if (it == m_reports.end())
        return false;
    const Report* first = nullptr;
    for (const auto& [host, report] : it->second) {
        if (!isCurrent(report, now))
            continue;
        if (report.dataCentre == m_dataCentre || (first && first->dataCentre != report.dataCentre))
            return true;
        first = first ? first : &report;
    }
    return false;
}

std::vector<std::uint32_t> RunnerSuspicions::suspected(TimePoint now) const
{
    std::vector<std::uint32_t> out;
    for (const auto& [runner, reports] : m_reports) {
        if (isSuspected(runner, now))
            out.push_back(runner);
    }
    std::sort(out.begin(), out.end());
    return out;
}

void RunnerSuspicions::sweep(TimePoint now)
{
    for (auto& [runner, reports] : m_reports)
        std::erase_if(reports, [&](const auto& entry) { return !isCurrent(entry.second, now); });
    std::erase_if(m_reports, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(m_reachedAt, [&](const auto& entry) { return now - entry.second >= reportLifetime; });
}

}
