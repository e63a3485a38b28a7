#pragma once

#include "chiveshelf/gateway/HostMessages.h"
#include "chiveshelf/placement/BackendDirectory.h"
#include "chiveshelf/placement/Placement.h"
#include "chiveshelf/placement/RunnerSuspicions.h"

#include <functional>
#include <map>

namespace chiveshelf {

// Shares failed connections to runners among the hosts, and leaves suspected runners out of the choice. Does nothing unless it is
// enabled.
class SuspicionNotices {
public:
    // Notices per second that a host sends at once; later events go with the repetitions. Each goes to all hosts.
    static constexpr double noticesPerSecond = 20;

    using Sender = std::function<void(const SuspicionNotice&)>;
    // Whether this host is one of those that keep trying a suspected runner.
    using TryRule = std::function<bool(std::uint32_t runner)>;

    SuspicionNotices(bool isEnabled, std::uint64_t hostHash, std::uint64_t dataCentre, Sender, TryRule);

    // Records that an attempt of this host to connect to a runner, begun at `startedAt`, has failed. The report is of that time: data that
    // arrived since then shows that the runner came back meanwhile.
    void onConnectionFailed(std::uint32_t runner, TimePoint startedAt, TimePoint now);

    // Records that a runner sends data to this host.
    void onRunnerData(std::uint32_t runner, TimePoint now);

    void applyNotice(const SuspicionNotice&, TimePoint now);

    // Sends the repetitions that are due and logs changes. Call it at short intervals.
    void sendRepetitions(TimePoint now);

    // Whether selectRunners() may leave out runners.
    bool hasReports() const { return !m_suspicions.isEmpty(); }

    // Returns the runners without the suspected ones that this host doesn't try, or all if no unsuspected runner is usable.
    BackendDirectory::RunnerList selectRunners(const BackendDirectory::RunnerList&, const PlacementContext&);

    // Whether this host sends no request to the runner while others are usable.
    bool isAvoided(std::uint32_t runner, TimePoint now);

    std::size_t suspectedCount(TimePoint now) const { return m_suspicions.suspected(now).size(); }

    // Number of events: "failed" and "reached" (observed by this host), "notices" (sent), "reported" and "withdrawn" (received and
    // applied), "outdated" (received reports of runners that were reached since).
    const std::map<std::string, std::uint64_t>& events() const { return m_events; }

private:
    // The latest observation of this host for a runner, while it is repeated.
    struct Observation {
        TimePoint at {};
        TimePoint announcedAt {};
        bool isReached = false;
        int repetitions = 0;
    };

    struct TryDecision {
        TimePoint at {};
        bool isTrying = false;
    };

    void announce(std::uint32_t runner, bool isReached, TimePoint at, TimePoint now);
    bool isTrying(std::uint32_t runner, TimePoint now);
    bool takeFromBudget(TimePoint now);
    void send(const SuspicionNotice&);
    void logChanges(TimePoint now);

    bool m_isEnabled;
    std::uint64_t m_hostHash;
    std::uint64_t m_dataCentre;
    Sender m_send;
    TryRule m_tryRule;
    RunnerSuspicions m_suspicions;
    std::map<std::uint32_t, Observation> m_observations;
    std::map<std::uint32_t, TryDecision> m_tries;
    std::vector<std::uint32_t> m_logged;
    double m_budget = noticesPerSecond;
    TimePoint m_budgetUpdatedAt {};
    std::map<std::string, std::uint64_t> m_events;
};

}
