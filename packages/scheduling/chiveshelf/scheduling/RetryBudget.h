#pragma once

#include <cstdint>

namespace chiveshelf {

// Limits retries to a share of the requests, so that retries cannot multiply the load when many requests fail. Call onRequest()
// once per request and take() before each retry.
class RetryBudget {
public:
    // Each request credits `share` retries, up to `reserve`. The budget starts with `reserve` retries, so that a host with
    // little load can retry too.
    RetryBudget(double share, double reserve);

    void onRequest();

    // Takes one retry from the budget. Returns false if the budget is used up; the retry must then not be made.
    bool take();

    std::uint64_t deniedCount() const { return m_denied; }
    double available() const { return m_available; }

private:
    double m_share;
    double m_reserve;
    double m_available;
    std::uint64_t m_denied = 0;
};

}
