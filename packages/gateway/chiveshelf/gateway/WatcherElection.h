#pragma once

#include "chiveshelf/core/Time.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace chiveshelf {

// Decides whether this host watches the store itself or takes its changes from other hosts of its data centre. Hosts that watch
// tell of it after each answer of the store; a host watches unless it has heard two of a higher number lately. So the two highest
// of the hosts that are alive and reach the store watch, and no host needs to know who else is alive.
//
// Answers the load pattern "hundreds of hosts follow the same changes", each call of which the store counts, and "those that
// watch die, stand still or lose the store together".
class WatcherElection {
public:
    // Hosts that watch in a data centre, so that the loss of one is not noticed.
    static constexpr std::size_t watcherCount = 2;
    // Data centres with fewer hosts have all of them watch: there is little to save.
    static constexpr std::size_t fewestHosts = 6;
    // Longest time between two notices of a host that watches: the wait of a watch.
    static constexpr std::chrono::milliseconds noticeInterval { 600 };
    // Silence after which a host no longer counts: two notices, of which one may be lost.
    static constexpr std::chrono::milliseconds silenceLimit { 1'300 };
    // Hosts that miss the others begin to watch one after another within this time.
    static constexpr std::chrono::milliseconds longestDelay { 300 };

    // `host` is this host's number, a hash of its name.
    explicit WatcherElection(std::uint64_t host)
        : m_host(host)
    {
    }

    // Records that a host told of an answer of the store that is at least as new as what this host knows.
    void onHeard(std::uint64_t host, TimePoint now);

    bool mustWatch(TimePoint now) const;

private:
    std::uint64_t m_host;
    // Hosts of higher numbers, with the time of their last notice.
    std::map<std::uint64_t, TimePoint> m_heard;
};

}
