#pragma once

#include "chiveshelf/core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace support {

// The limit of requests per second that a runner states over time.
class LimitSchedule {
public:
    struct Step {
        std::chrono::milliseconds at;
        // Nothing if the runner states no limit from then on.
        std::optional<double> perSecond;
    };

    // `steps` are ordered by their time since `start`. There is no limit before the first.
    LimitSchedule(chiveshelf::TimePoint start, std::vector<Step> steps);

    std::optional<double> at(chiveshelf::TimePoint) const;

    // Returns since when a limit is stated without interruption, or nothing if none is stated at that time.
    std::optional<chiveshelf::TimePoint> statedSince(chiveshelf::TimePoint) const;

    // Returns the requests that the limit allows from `from` to `to`. A lower limit counts from half a second after its statement, and
    // the first one also for the time before.
    double allowance(chiveshelf::TimePoint from, chiveshelf::TimePoint to) const;

private:
    chiveshelf::TimePoint m_start;
    std::vector<Step> m_steps;
};

// Checks that all hosts together keep the limits that runners state. From 3 s after a runner first stated a limit, it must not get
// more than 1.5 times the allowance and 5 requests in any 4 s. Requests of a host count from 0.5 s after the host relayed an answer
// with a limit of that runner. A host is excused during a disruption and for 3 s after it.
class LimitAudit {
public:
    void recordArrival(const std::string& runner, int host, chiveshelf::TimePoint);
    void recordStatement(const std::string& runner, int host, chiveshelf::TimePoint);
    void excuse(int host, chiveshelf::TimePoint from, chiveshelf::TimePoint until);

    // Returns the worst violation by this runner's requests as text, or an empty text.
    std::string worstViolation(const std::string& runner, const LimitSchedule&) const;

    // Returns the number of a runner's requests from all hosts.
    std::size_t arrivals(const std::string& runner, chiveshelf::TimePoint from, chiveshelf::TimePoint to) const;

private:
    struct Arrival {
        chiveshelf::TimePoint at;
        int host = 0;
    };

    struct Excuse {
        int host = 0;
        chiveshelf::TimePoint from;
        chiveshelf::TimePoint until;
    };

    bool isCounted(const std::string& runner, const Arrival&) const;

    std::map<std::string, std::vector<Arrival>> m_arrivals;
    std::map<std::pair<std::string, int>, chiveshelf::TimePoint> m_firstStatements;
    std::vector<Excuse> m_excuses;
};

}
