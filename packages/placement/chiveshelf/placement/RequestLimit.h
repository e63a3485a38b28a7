#pragma once

#include "chiveshelf/core/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

namespace chiveshelf {

// What a runner states about the requests that it takes.
struct LimitStatement {
    // Requests per second from all hosts together, or nothing if the runner states no limit.
    std::optional<double> perSecond;
    // When a host first received this statement.
    TimePoint receivedAt {};

    auto operator<=>(const LimitStatement&) const = default;
};

// The limit of requests per second that a runner states for all hosts together, as one host keeps it.
//
// Each host counts the requests of all hosts, which report theirs to each other, and schedules the permits for further ones: the next
// permit becomes available one interval after the previous one. The schedule is the same on all hosts, so a permit that one of them
// takes is taken for all. Two hosts that take the same permit before they hear from each other put the schedule into debt, which
// delays later permits. To keep this rare, each host waits a random delay for each permit; the number of hosts whose delay is over
// grows exponentially.
//
// A host that doesn't hear from some hosts uses only the share of the limit of those that it hears from, itself included. Parts of a
// divided fleet thus stay within the limit together.
//
// Handles the load pattern "a runner in trouble limits its requests, and all hosts or only one of them have work for it".
class RequestLimit {
public:
    const LimitStatement& statement() const { return m_statement; }

    // Returns the limit in requests per second, or nothing if the runner states none.
    std::optional<double> perSecond() const { return m_statement.perSecond; }

    // Applies the statement of an answer to a request that was sent at `sentAt`. Answers can overtake each other, so a limit is
    // raised or lifted only by the answer to a request that was sent after the limit became known. Returns whether it changed.
    bool applyAnswer(std::optional<double> perSecond, TimePoint sentAt, TimePoint now);

    // Applies a statement that another host received, if it is newer than the known one. Returns whether the limit changed.
    bool applyStatement(const LimitStatement&, TimePoint now);

    // Sets the number of hosts, and of those whose requests are known, both including this one.
    void setHosts(std::size_t total, std::size_t reachable, TimePoint now);

    // Returns whether this host may send a request to the runner.
    bool hasPermit(TimePoint now) const { return !perSecond() || (now >= nextPermitAt() && !hasStalled(now)); }

    // Records that this host handles the reports of other hosts, to be called at `awakeInterval`. If it stood still before, it takes its
    // next permit after a new random delay: other hosts may have stood still with it, and their reports may not have been read yet.
    void recordAwake(TimePoint now, double random);

    static constexpr std::chrono::milliseconds awakeInterval { 50 };

    // Returns the time from which on this host may send a request, if no host sends one before.
    TimePoint nextPermitAt() const;

    // Returns when a host without a permit may get one: nextPermitAt(), or for a host that has stalled the time by which it knows more.
    TimePoint awaitedPermitAt(TimePoint now) const { return std::max(nextPermitAt(), hasStalled(now) ? now + awakeInterval : now); }

    // Returns the permits per second that all hosts get together, and the average time between two permits of all hosts. Only valid
    // while there is a limit.
    double permitsPerSecond() const;
    std::chrono::nanoseconds interval() const;

    // Counts a request that this host sends, with or without a permit. `random` is uniform in 0 to 1.
    void recordSend(TimePoint now, double random);

    // Undoes recordSend() for a request that did not reach the runner.
    void undoSend();

    // Counts the requests of another host. `sent` is their number since the start of the host's process, which `incarnation`
    // identifies.
    void recordPeerSends(std::uint64_t host, std::uint64_t incarnation, std::uint64_t sent, TimePoint now, double random);

    // Returns the requests that this host sent while the runner stated a limit, and those of them since the limit last changed.
    std::uint64_t sent() const { return m_sent; }
    std::uint64_t sentSinceChange() const { return m_sent - m_sentBeforeChange; }

private:
    struct PeerCount {
        std::uint64_t incarnation = 0;
        std::uint64_t sent = 0;
    };

    void setStatement(const LimitStatement&, TimePoint now);
    void charge(std::uint64_t requests, TimePoint now, double random);
    // Keeps the number of permits in debt when the interval has changed.
    void rescaleDebt(std::chrono::nanoseconds formerInterval, TimePoint now);
    // Whether this host has not handled reports for so long that its random delay has no effect.
    bool hasStalled(TimePoint now) const;
    // Returns the longest random delay before a host takes a permit, and a random one.
    std::chrono::nanoseconds longestDelay() const;
    std::chrono::nanoseconds randomDelay(double random) const;

    LimitStatement m_statement;
    std::size_t m_hosts = 1;
    double m_reachableShare = 1;
    // When the next permit of all hosts becomes available.
    TimePoint m_nextPermitAt {};
    // Random delay of this host for the next permit.
    std::chrono::nanoseconds m_delay { 0 };
    // Until when this host takes no permit, so that the reports of other hosts arrive before it takes another one.
    TimePoint m_holdUntil {};
    // When this host last handled reports, or the epoch if it is not told.
    TimePoint m_awakeAt {};
    std::uint64_t m_sent = 0;
    std::uint64_t m_sentBeforeChange = 0;
    std::map<std::uint64_t, PeerCount> m_peers;
};

}
