#include "LimitAudit.h"

#include <algorithm>
#include <deque>
#include <sstream>

namespace support {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr seconds window { 4 };
    constexpr double toleratedFactor = 1.5;
    constexpr double toleratedRequests = 5;
    // Time after the first statement of a limit from which on it must hold, and after which a disrupted host counts again.
    constexpr seconds stableTime { 3 };
    // Time in which a host has to act on a statement.
    constexpr milliseconds reactionTime { 500 };
    constexpr milliseconds integrationStep { 10 };

}

LimitSchedule::LimitSchedule(TimePoint start, std::vector<Step> steps)
    : m_start(start)
    , m_steps(std::move(steps))
{
}

std::optional<double> LimitSchedule::at(TimePoint time) const
{
    std::optional<double> out;
    for (const auto& step : m_steps) {
        if (m_start + step.at <= time)
            out = step.perSecond;
    }
    return out;
}

std::optional<TimePoint> LimitSchedule::statedSince(TimePoint time) const
{
    std::optional<TimePoint> out;
    for (const auto& step : m_steps) {
        if (m_start + step.at > time)
            break;
        if (!step.perSecond)
            out.reset();
        else if (!out)
            out = m_start + step.at;
    }
    return out;
}

double LimitSchedule::allowance(TimePoint from, TimePoint to) const
{
    const double first = m_steps.empty() ? 0 : m_steps.front().perSecond.value_or(0);
    double sum = 0;
    for (auto time = from; time < to; time += integrationStep)
        sum += std::max(at(time).value_or(first), at(time - reactionTime).value_or(0)) * std::chrono::duration<double>(integrationStep).count();
    return sum;
}

void LimitAudit::recordArrival(const std::string& runner, int host, TimePoint at)
{
    m_arrivals[runner].push_back({ at, host });
}

void LimitAudit::recordStatement(const std::string& runner, int host, TimePoint at)
{
    m_firstStatements.emplace(std::pair(runner, host), at);
}

void LimitAudit::excuse(int host, TimePoint from, TimePoint until)
{
    m_excuses.push_back({ host, from, until + stableTime });
}

bool LimitAudit::isCounted(const std::string& runner, const Arrival& arrival) const
{
    const auto stated = m_firstStatements.find({ runner, arrival.host });
    if (stated == m_firstStatements.end() || arrival.at < stated->second + reactionTime)
        return false;
    return std::none_of(m_excuses.begin(), m_excuses.end(),
        [&](const auto& it) { return it.host == arrival.host && arrival.at >= it.from && arrival.at <= it.until; });
}

std::string LimitAudit::worstViolation(const std::string& runner, const LimitSchedule& schedule) const
{
    const auto it = m_arrivals.find(runner);
    if (it == m_arrivals.end())
        return {};
    std::deque<Arrival> recent;
    double worst = 0;
    std::string out;
    for (const auto& arrival : it->second) {
        if (!isCounted(runner, arrival))
            continue;
        recent.push_back(arrival);
        while (recent.front().at < arrival.at - window)
            recent.pop_front();
        const auto since = schedule.statedSince(arrival.at);
        if (!since || arrival.at < *since + stableTime)
            continue;
        const auto allowed = toleratedFactor * schedule.allowance(arrival.at - window, arrival.at) + toleratedRequests;
        const auto excess = static_cast<double>(recent.size()) - allowed;
        if (excess <= worst)
            continue;
        worst = excess;
        std::map<int, std::size_t> byHost;
        for (const auto& it : recent)
            ++byHost[it.host];
        std::ostringstream text;
        text << runner << " got " << recent.size() << " requests in 4 s, allowed " << allowed << ", "
             << std::chrono::duration<double>(arrival.at - *since).count() << " s after it stated a limit; by host:";
        for (const auto& [host, n] : byHost)
            text << " " << host << ":" << n;
        out = text.str();
    }
    return out;
}

std::size_t LimitAudit::arrivals(const std::string& runner, TimePoint from, TimePoint to) const
{
    const auto it = m_arrivals.find(runner);
    if (it == m_arrivals.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(it->second.begin(), it->second.end(), [&](const auto& arrival) { return arrival.at >= from && arrival.at < to; }));
}

}
