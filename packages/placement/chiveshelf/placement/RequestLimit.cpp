#include "chiveshelf/placement/RequestLimit.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::nanoseconds;

    // Lowest rate at which hosts send requests to a limited runner. Only an answer of the runner can raise its limit again.
    constexpr double minPermitsPerSecond = 0.1;
    // Range of the longest random delay, its part per host, in which reports of sent requests travel, and its share of the interval
    // between two permits.
    constexpr milliseconds minLongestDelay { 100 };
    constexpr milliseconds maxLongestDelay { 1'000 };
    constexpr milliseconds longestDelayPerHost { 2 };
    constexpr double longestDelayIntervals = 0.25;
    // Time for which a host takes no further permit, as a share of the interval, and its upper bound.
    constexpr double holdIntervals = 0.5;
    constexpr milliseconds maxHold { 200 };
    // Time without handled reports from which on a host counts as stalled. Throttled processes pause for up to 100 ms at a time.
    constexpr milliseconds stallLimit { 150 };
    // Debt beyond this time is dropped. It is the time over which runners count their requests.
    constexpr milliseconds maxDebtTime { 4'000 };

    nanoseconds scaled(nanoseconds time, double factor)
    {
        return nanoseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

}

bool RequestLimit::applyAnswer(std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    if (perSecond == m_statement.perSecond)
        return false;
    const bool isLower = perSecond && (!m_statement.perSecond || *perSecond < *m_statement.perSecond);
    if (!isLower && sentAt < m_statement.receivedAt)
        return false;
    setStatement({ perSecond, now }, now);
    return true;
}

bool RequestLimit::applyStatement(const LimitStatement& statement, TimePoint now)
{
    if (statement.perSecond == m_statement.perSecond || statement.receivedAt <= m_statement.receivedAt)
        return false;
    setStatement(statement, now);
    return true;
}

void RequestLimit::setStatement(const LimitStatement& statement, TimePoint now)
{
    const bool isFirst = !m_statement.perSecond;
    const auto formerInterval = isFirst ? nanoseconds(0) : interval();
    m_statement = statement;
    m_sentBeforeChange = m_sent;
    if (!m_statement.perSecond)
        return;
    if (isFirst)
        m_nextPermitAt = now + interval();
    else
        rescaleDebt(formerInterval, now);
}

void RequestLimit::setHosts(std::size_t total, std::size_t reachable, TimePoint now)
{
    const auto share = static_cast<double>(reachable) / static_cast<double>(total);
    m_hosts = total;
    if (share == m_reachableShare)
        return;
    const auto formerInterval = m_statement.perSecond ? interval() : nanoseconds(0);
    m_reachableShare = share;
    if (m_statement.perSecond)
        rescaleDebt(formerInterval, now);
}

void RequestLimit::rescaleDebt(nanoseconds formerInterval, TimePoint now)
{
    if (m_nextPermitAt > now)
        m_nextPermitAt = now + scaled(m_nextPermitAt - now, toMilliseconds(interval()) / toMilliseconds(formerInterval));
}

double RequestLimit::permitsPerSecond() const
{
    return std::max(m_statement.perSecond.value_or(0), minPermitsPerSecond);
}

nanoseconds RequestLimit::interval() const
{
    return scaled(std::chrono::seconds(1), 1 / (permitsPerSecond() * m_reachableShare));
}

nanoseconds RequestLimit::longestDelay() const
{
    const auto time = std::max<nanoseconds>(scaled(std::chrono::seconds(1), longestDelayIntervals / permitsPerSecond()), longestDelayPerHost * m_hosts);
    return std::clamp<nanoseconds>(time, minLongestDelay, maxLongestDelay);
}

nanoseconds RequestLimit::randomDelay(double random) const
{
    const auto hosts = static_cast<double>(m_hosts);
    return m_hosts == 1 ? nanoseconds(0) : scaled(longestDelay(), std::log1p(random * hosts) / std::log1p(hosts));
}

bool RequestLimit::hasStalled(TimePoint now) const
{
    return m_awakeAt != TimePoint {} && now - m_awakeAt > stallLimit;
}

void RequestLimit::recordAwake(TimePoint now, double random)
{
    if (hasStalled(now))
        m_holdUntil = std::max(m_holdUntil, now + randomDelay(random));
    m_awakeAt = now;
}

TimePoint RequestLimit::nextPermitAt() const
{
    return std::max(m_nextPermitAt + m_delay, m_holdUntil);
}

void RequestLimit::charge(std::uint64_t requests, TimePoint now, double random)
{
    const auto gap = interval();
    // Permits that no host took in time expire, except for one.
    const auto start = std::max(m_nextPermitAt, now - longestDelay() - gap);
    m_nextPermitAt = std::min(start + gap * static_cast<std::int64_t>(requests), now + std::max<nanoseconds>(gap, maxDebtTime));
    m_delay = randomDelay(random);
}

void RequestLimit::recordSend(TimePoint now, double random)
{
    if (!m_statement.perSecond)
        return;
    ++m_sent;
    charge(1, now, random);
    m_holdUntil = now + std::min<nanoseconds>(scaled(interval(), holdIntervals), maxHold);
}

void RequestLimit::undoSend()
{
    --m_sent;
    m_nextPermitAt -= interval();
}

void RequestLimit::recordPeerSends(std::uint64_t host, std::uint64_t incarnation, std::uint64_t sent, TimePoint now, double random)
{
    const auto [it, isNew] = m_peers.try_emplace(host, PeerCount { incarnation, sent });
    if (isNew)
        return;
    const auto known = it->second.incarnation == incarnation ? it->second.sent : 0;
    it->second = { incarnation, sent };
    if (sent > known && m_statement.perSecond)
        charge(sent - known, now, random);
}

}
