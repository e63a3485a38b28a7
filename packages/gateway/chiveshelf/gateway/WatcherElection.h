#pragma once

#include "chiveshelf/core/Time.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace chiveshelf {

// Decides whether this host watches the key-value store itself or gets the changes from other hosts of its data centre. Hosts that
// watch send a notice after each answer of the store. A host watches unless it has recently received notices from two hosts with
// higher ranks. So the two hosts with the highest ranks among those that run and reach the store watch, without a list of live
// hosts. Hosts with faster links and processors have higher ranks, because a watching host gets and sends more than others.
//
// This keeps the rate of calls to the store low when hundreds of hosts follow the same changes, and replaces the watching hosts
// even if all of them fail, hang or lose the store at the same time.
class WatcherElection {
public:
    // Watching hosts per data centre. With two, the loss of one causes no delay.
    static constexpr std::size_t watcherCount = 2;
    // In data centres with fewer hosts all of them watch, as an election would save few calls.
    static constexpr std::size_t minHosts = 6;
    // Longest time between two notices of a watching host: the timeout of its watches.
    static constexpr std::chrono::milliseconds noticeInterval { 600 };
    // Time without a notice after which a host no longer counts as watching: two notice intervals, so that one notice may be lost.
    static constexpr std::chrono::milliseconds silenceLimit { 1'300 };
    // After the silence limit each host starts to watch with an additional delay below this, which depends on its hash.
    static constexpr std::chrono::milliseconds maxDelay { 300 };

    // Returns the rank of a host by the speed of its link, its share of a processor core, and the hash of its name, which decides
    // between hosts of a like speed.
    static std::uint64_t rank(std::uint64_t hash, double linkMbps, double cpuShare);

    // `host` is the rank of this host.
    explicit WatcherElection(std::uint64_t host)
        : m_host(host)
    {
    }

    // Records a notice of a host about an answer of the store that is at least as new as this host's revision.
    void onNotice(std::uint64_t host, TimePoint now);

    // Whether this host has to watch the store.
    bool mustWatch(TimePoint now) const;

private:
    std::uint64_t m_host;
    // Time of the last notice of each host with a higher rank.
    std::map<std::uint64_t, TimePoint> m_lastNoticeAt;
};

}
