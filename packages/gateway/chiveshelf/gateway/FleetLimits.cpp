#include "chiveshelf/gateway/FleetLimits.h"

#include "chiveshelf/core/Log.h"

namespace chiveshelf {

namespace {

    using std::chrono::milliseconds;

    // Entries per notice, so that a datagram fits into one Ethernet frame.
    constexpr std::size_t entriesPerNotice = 40;
    // A host counts as heard from for this many intervals after its last notice, plus a margin for delays.
    constexpr int heardIntervals = 3;
    constexpr milliseconds heardMargin { 300 };

    // Time after its start in which a host's list of the other hosts may be incomplete, so that it takes no share in a common bound.
    constexpr milliseconds settlingTime { 3'000 };

    std::string formatLimit(std::optional<double> perSecond)
    {
        return perSecond ? std::to_string(*perSecond) : "none";
    }

}

FleetLimits::FleetLimits(BackendDirectory& directory, std::uint64_t host, std::uint64_t incarnation, std::function<double()> random)
    : m_directory(directory)
    , m_host(host)
    , m_incarnation(incarnation)
    , m_random(std::move(random))
{
}

void FleetLimits::setHosts(std::set<std::uint64_t> hosts, milliseconds noticeInterval)
{
    m_hostsChanges += hosts == m_hosts ? 0 : 1;
    m_hosts = std::move(hosts);
    m_noticeInterval = noticeInterval;
    std::erase_if(m_heardAt, [this](const auto& entry) { return !m_hosts.contains(entry.first); });
    m_heardHosts = std::min(m_heardHosts, m_heardAt.size());
}

milliseconds FleetLimits::heardTime() const
{
    return heardIntervals * m_noticeInterval + heardMargin;
}

void FleetLimits::recordHeard(std::uint64_t host, TimePoint now)
{
    if (!m_hosts.contains(host))
        return;
    const auto [it, isNew] = m_heardAt.try_emplace(host, now);
    if (isNew || now - it->second > heardTime())
        ++m_heardHosts;
    it->second = now;
}

void FleetLimits::countHeardHosts(TimePoint now)
{
    m_heardHosts = static_cast<std::size_t>(std::count_if(m_heardAt.begin(), m_heardAt.end(), [&](const auto& entry) { return now - entry.second <= heardTime(); }));
}

void FleetLimits::updateHosts(RequestLimit& limit, TimePoint now) const
{
    limit.setHosts(m_hosts.size() + 1, std::min(m_heardHosts, m_hosts.size()) + 1, now);
}

bool FleetLimits::applyAnswer(BackendState& runner, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    auto& limit = runner.requestLimit();
    const auto former = limit.statement();
    const auto sent = limit.sentSinceChange();
    updateHosts(limit, now);
    if (!limit.applyAnswer(perSecond, sentAt, now))
        return false;
    logChange(runner, former, sent, "answer");
    return true;
}

bool FleetLimits::recordSend(BackendState& runner, TimePoint now)
{
    auto& limit = runner.requestLimit();
    limit.recordSend(now, m_random());
    return limit.perSecond().has_value();
}

bool FleetLimits::isAnnounced(const BackendState& runner, TimePoint now) const
{
    const auto& statement = runner.requestLimit().statement();
    if (statement.perSecond || (statement.receivedAt != TimePoint {} && now - statement.receivedAt < endAnnouncementTime))
        return true;
    const auto repeated = m_repeatedEnds.find(runner.number());
    return repeated != m_repeatedEnds.end() && now < repeated->second;
}

LimitEntry FleetLimits::entryFor(const BackendState& runner, TimePoint now) const
{
    const auto& limit = runner.requestLimit();
    const auto& statement = limit.statement();
    const auto age = std::chrono::duration_cast<milliseconds>(now - statement.receivedAt);
    return { runner.number(), statement.perSecond.has_value(), statement.perSecond.value_or(0), static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)), limit.sent() };
}

LimitNotice FleetLimits::noticeFor(const BackendState& runner, TimePoint now) const
{
    return { m_host, m_incarnation, { entryFor(runner, now) } };
}

std::vector<LimitNotice> FleetLimits::takeNotices(TimePoint now)
{
    std::vector<LimitNotice> out;
    countHeardHosts(now);
    std::erase_if(m_repeatedEnds, [&](const auto& entry) { return now >= entry.second; });
    for (const auto& [id, runner] : m_directory.all()) {
        if (!isAnnounced(*runner, now))
            continue;
        updateHosts(runner->requestLimit(), now);
        if (out.empty() || out.back().entries.size() == entriesPerNotice)
            out.push_back({ m_host, m_incarnation, {} });
        out.back().entries.push_back(entryFor(*runner, now));
    }
    return out;
}

void FleetLimits::applyNotice(const LimitNotice& notice, TimePoint now)
{
    if (notice.host == m_host)
        return;
    recordHeard(notice.host, now);
    for (const auto& entry : notice.entries) {
        const auto runner = m_directory.findByNumber(entry.runner);
        if (!runner)
            continue;
        auto& limit = runner->requestLimit();
        const auto former = limit.statement();
        const auto sent = limit.sentSinceChange();
        const LimitStatement statement { entry.hasLimit ? std::optional(entry.perSecond) : std::nullopt, now - milliseconds(entry.ageMs) };
        updateHosts(limit, now);
        if (limit.applyStatement(statement, now))
            logChange(*runner, former, sent, "host");
        else if (statement.perSecond && !former.perSecond)
            m_repeatedEnds[entry.runner] = now + endAnnouncementTime;
        limit.recordPeerSends(notice.host, notice.incarnation, entry.sent, now, m_random());
    }
}

void FleetLimits::recordAwake(TimePoint now)
{
    if (m_startedAt == TimePoint {})
        m_startedAt = now;
    for (const auto& [id, runner] : m_directory.all()) {
        runner->requestLimit().recordAwake(now, m_random());
        updateWarmUp(*runner, now);
    }
}

void FleetLimits::updateWarmUp(BackendState& runner, TimePoint now)
{
    const auto known = m_warmUps.find(runner.number());
    if (!runner.isWarmingUp(now)) {
        if (known != m_warmUps.end())
            m_warmUps.erase(known);
        runner.warmUpQuota().setShare(0);
        return;
    }
    if (now < m_startedAt + settlingTime || (known != m_warmUps.end() && known->second == m_hostsChanges))
        return;
    const auto share = WarmUpQuota::shareOf(runner.warmUpBound()->perSecond, runner.number(), m_host, m_hosts);
    m_warmUps[runner.number()] = m_hostsChanges;
    if (share > 0 && share != runner.warmUpQuota().share())
        logEvent(LogLevel::Info, "runner_warming_up", { { "runner", runner.record().id }, { "pool", runner.record().pool }, { "share_per_second", share } });
    runner.warmUpQuota().setShare(share);
}

void FleetLimits::logChange(const BackendState& runner, const LimitStatement& former, std::uint64_t sent, std::string_view source)
{
    const auto& record = runner.record();
    logEvent(LogLevel::Info, "runner_limit_changed", { { "runner", record.id }, { "pool", record.pool }, { "per_second", formatLimit(runner.requestLimit().perSecond()) }, { "previous", formatLimit(former.perSecond) }, { "sent", sent }, { "source", source } });
}

}
