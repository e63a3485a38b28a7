#pragma once

#include "chiveshelf/core/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace chiveshelf {

// One host's share of the requests that a runner may get in any second while it warms up.
//
// Only a few hosts, chosen by rendezvous hashing, may send to such a runner, each a fixed number of requests in any second. The bound
// thus holds without messages, also with hosts that are cut off, have stood still or have just started. It is kept as long as hosts
// use at most two different lists of the fleet's hosts, since the shares add up to half of it.
//
// Handles the load pattern "the runners of a data centre start at the same time, and all hosts have work for them".
class WarmUpQuota {
public:
    // Hosts that share a bound. Enough for the share of hosts that have few callers or are lost to matter little, and few enough for
    // each to have more than one request at a time.
    static constexpr std::size_t maxHolders = 5;

    // Returns how many requests a host may send in any second to a runner that may get `bound` requests. `host` and `others` are the
    // hashes of the hosts' names.
    static std::size_t shareOf(double bound, std::uint32_t runner, std::uint64_t host, const std::set<std::uint64_t>& others);

    // Returns the requests per second that all hosts together may send to a runner with this bound.
    static double usedRate(double bound);

    void setShare(std::size_t share) { m_share = share; }
    std::size_t share() const { return m_share; }

    // Returns whether the share allows another request.
    bool hasRoom(TimePoint now) const;

    // Returns when the share allows another request if none is sent before, or nothing if it never does.
    std::optional<TimePoint> nextRoomAt(TimePoint now) const;

    // Keep room for a request until its connection is ready, so that requests which arrive meanwhile don't use the same.
    void reserve() { ++m_reserved; }
    void cancel() { --m_reserved; }

    // Counts a request that is sent now, also if the runner doesn't warm up: it may turn out that it did.
    void recordSend(TimePoint now);

private:
    std::size_t recentSends(TimePoint now) const;

    std::size_t m_share = 0;
    std::size_t m_reserved = 0;
    // Times of the requests of the last second, oldest first.
    std::deque<TimePoint> m_sends;
};

// Keeps room in a quota while a request is prepared, also if the preparation ends by an exception.
class WarmUpReservation {
public:
    explicit WarmUpReservation(WarmUpQuota& quota)
        : m_quota(quota)
    {
        m_quota.reserve();
    }
    ~WarmUpReservation() { m_quota.cancel(); }
    WarmUpReservation(const WarmUpReservation&) = delete;
    WarmUpReservation& operator=(const WarmUpReservation&) = delete;

private:
    WarmUpQuota& m_quota;
};

}
