#pragma once

#include <cstdint>
#include <optional>

namespace chiveshelf {

// The number of requests per second that a runner takes from all hosts together, as its answers state it, and this host's share in
// them.
class RequestLimit {
public:
    // Returns the limit in requests per second, or nothing if the runner states none.
    std::optional<double> perSecond() const { return m_perSecond; }

    // Sets the limit in requests per second, or removes it. A new value restarts sent().
    void set(std::optional<double> perSecond);

    // Records a request that this host sends to the runner.
    void recordSend();

    // Returns the requests that this host sent since the current limit was set.
    std::uint64_t sent() const { return m_sent; }

private:
    std::optional<double> m_perSecond;
    std::uint64_t m_sent = 0;
};

}
