#pragma once

#include "chiveshelf/core/Time.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace chiveshelf {

// Reports of hosts that could not connect to runners, and the suspicion that follows from them. A runner is suspected while a host of
// this data centre reports it, or hosts of two data centres do: hosts of one other data centre may be cut off themselves. A suspicion
// is no statement that the runner is gone. Runners are identified by runnerNumber().
//
// Handles the load pattern "many runners stop responding at once, and each host finds out on its own".
class RunnerSuspicions {
public:
    // Reports end after this time unless they are renewed. Longer than the longest backoff of a host that keeps trying, 2 s, and its
    // connection attempt of 0.3 s, with time for one lost notice.
    static constexpr std::chrono::milliseconds reportLifetime { 4'000 };

    explicit RunnerSuspicions(std::uint64_t dataCentre)
        : m_dataCentre(dataCentre)
    {
    }

    // Adds the report of a host that failed to connect at time `at`, or renews it. Returns false, and ignores the report, if the
    // runner was reached since then.
    bool addReport(std::uint32_t runner, std::uint64_t host, std::uint64_t dataCentre, TimePoint at);

    // Records that a host received data of the runner at time `at`. Returns whether this ended reports.
    bool recordReached(std::uint32_t runner, TimePoint at);

    bool isSuspected(std::uint32_t runner, TimePoint now) const;

    // Returns the suspected runners, sorted.
    std::vector<std::uint32_t> suspected(TimePoint now) const;

    // Whether there are no reports, so that no runner is suspected.
    bool isEmpty() const { return m_reports.empty(); }

    // Removes reports and records that have no effect any more. Call it at short intervals.
    void sweep(TimePoint now);

private:
    struct Report {
        std::uint64_t dataCentre = 0;
        TimePoint at {};
    };

    static bool isCurrent(const Report& report, TimePoint now) { return now - report.at < reportLifetime; }

    std::uint64_t m_dataCentre;
    // Reports by runner and host. Runners without reports have no entry.
    std::unordered_map<std::uint32_t, std::map<std::uint64_t, Report>> m_reports;
    std::unordered_map<std::uint32_t, TimePoint> m_reachedAt;
};

}
