#pragma once

#include "chiveshelf/gateway/HostMessages.h"
#include "chiveshelf/placement/BackendDirectory.h"

#include <functional>
#include <set>
#include <unordered_map>

namespace chiveshelf {

// Keeps the limits of requests that runners state for all hosts together, and this host's shares in the bounds of runners that warm up. Applies the statements in answers and in the notices of other
// hosts, counts the requests of all hosts, and writes this host's notices. Does no I/O.
//
// A notice contains totals, so that a lost one is made up for by the next.
class FleetLimits {
public:
    // Time for which the end of a limit is announced.
    static constexpr std::chrono::milliseconds endAnnouncementTime { 10'000 };

    // `host` is the hash of this host's name, `incarnation` identifies the start of this process. `random` returns numbers that are
    // uniform in 0 to 1.
    FleetLimits(BackendDirectory&, std::uint64_t host, std::uint64_t incarnation, std::function<double()> random);

    // Sets the hashes of the names of all other hosts, and the interval at which hosts send notices while there are limits.
    void setHosts(std::set<std::uint64_t> hosts, std::chrono::milliseconds noticeInterval);

    // Applies what an answer of the runner states, to a request that was sent at `sentAt`. Returns whether the limit changed.
    bool applyAnswer(BackendState&, std::optional<double> perSecond, TimePoint sentAt, TimePoint now);

    // Counts a request that is sent to the runner. Returns whether the runner states a limit.
    bool recordSend(BackendState&, TimePoint now);

    // Returns the notices that tell other hosts all known limits and how many requests this host sent. Also updates which hosts are
    // heard from. To be called at the interval of notices.
    std::vector<LimitNotice> takeNotices(TimePoint now);

    // Returns the notice for a single runner, to be sent at once when its limit changed or a request was sent.
    LimitNotice noticeFor(const BackendState&, TimePoint now) const;

    void applyNotice(const LimitNotice&, TimePoint now);

    // Records that this host handles notices, to be called at RequestLimit::awakeInterval. Also updates this host's shares in the bounds
    // of runners that warm up.
    void recordAwake(TimePoint now);

private:
    // Time after its last notice for which a host counts as heard from.
    std::chrono::milliseconds heardTime() const;
    void recordHeard(std::uint64_t host, TimePoint now);
    void countHeardHosts(TimePoint now);
    void updateHosts(RequestLimit&, TimePoint now) const;
    void updateWarmUp(BackendState&, TimePoint now);
    bool isAnnounced(const BackendState&, TimePoint now) const;
    LimitEntry entryFor(const BackendState&, TimePoint now) const;
    static void logChange(const BackendState&, const LimitStatement& former, std::uint64_t sent, std::string_view source);

    BackendDirectory& m_directory;
    std::uint64_t m_host;
    std::uint64_t m_incarnation;
    std::function<double()> m_random;
    std::set<std::uint64_t> m_hosts;
    std::chrono::milliseconds m_noticeInterval { 0 };
    // Counts the changes of the list of hosts.
    std::uint64_t m_hostsChanges = 0;
    // The count of these changes when this host's share in the bound of a runner was last determined, by the runner's number.
    std::unordered_map<std::uint32_t, std::uint64_t> m_warmUps;
    TimePoint m_startedAt {};
    // Time of the last notice of each host.
    std::unordered_map<std::uint64_t, TimePoint> m_heardAt;
    // Number of other hosts that are heard from. Counted at the interval of notices.
    std::size_t m_heardHosts = 0;
    // Runners whose ended limit another host still announces, and until when the end is announced again.
    std::unordered_map<std::uint32_t, TimePoint> m_repeatedEnds;
};

}
