#pragma once

#include "chiveshelf/core/Time.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace chiveshelf {

class HeldBody;

// Bounds the bytes of request bodies that a process holds for all callers together: in arrival, in sending, and kept for another
// attempt. When a body doesn't fit, bodies that arrive too slowly are dropped to make room. Not thread-safe.
class BodyBudget {
public:
    struct Limits {
        // Bytes that all bodies may hold above their free ones.
        std::size_t total = 0;
        // The part of `total` that is kept for small bodies.
        std::size_t reserved = 0;
        // Bodies that arrive slower than this may be dropped when others don't fit.
        std::size_t minBytesPerSecond = 0;

        auto operator<=>(const Limits&) const = default;
    };

    // Each body may hold this many bytes in any case. The bound of connections covers them.
    static constexpr std::size_t freeBytesPerBody = 16 * 1024;
    // Largest body that may use the reserved bytes. Ordinary bodies have up to 72 KB.
    static constexpr std::size_t smallBodyBytes = 128 * 1024;
    // Time over which the rate of a body is measured. A caller on a slow link sends several packets in this time.
    static constexpr std::chrono::milliseconds rateWindow { 500 };

    explicit BodyBudget(const Limits& limits)
        : m_limits(limits)
    {
    }
    BodyBudget(const BodyBudget&) = delete;
    BodyBudget& operator=(const BodyBudget&) = delete;

    const Limits& limits() const { return m_limits; }
    // Bytes that are held above the free ones.
    std::size_t held() const { return m_held; }

private:
    friend class HeldBody;

    // Whether a body of `n` counted bytes fits beside `others` bytes of other bodies. A body alone always fits, so that limits of the tables
    // above this budget don't refuse every such body.
    bool fits(std::size_t n, std::size_t others) const;
    // Drops the largest of the slow bodies other than `keep`. Returns false if there is none.
    bool dropSlowBody(const HeldBody* keep, TimePoint now);

    Limits m_limits;
    std::size_t m_held = 0;
    std::set<HeldBody*> m_arriving;
};

// The body of one request, counted against the budget from its arrival until the object is destroyed.
class HeldBody {
public:
    // `onDropped` is called at most once, when the body is dropped while it arrives. It must not destroy the object.
    HeldBody(std::shared_ptr<BodyBudget>, TimePoint now, std::function<void()> onDropped);
    ~HeldBody();
    HeldBody(const HeldBody&) = delete;
    HeldBody& operator=(const HeldBody&) = delete;

    // Sets the number of bytes held. Returns false and keeps the former number if the budget has no room for more, even without the bodies
    // that arrive too slowly.
    bool resize(std::size_t n, TimePoint now);

    // Records the arrival of `n` bytes.
    void onReceived(std::size_t n, TimePoint now);

    // Whether the body arrives slower than the minimum rate.
    bool isSlow(TimePoint now) const;

    // Records that the body has arrived. It can't be dropped any more.
    void complete();

private:
    friend class BodyBudget;

    void drop();
    bool isBelowRate(TimePoint now) const;

    std::shared_ptr<BodyBudget> m_budget;
    std::function<void()> m_onDropped;
    // Bytes counted against the budget.
    std::size_t m_counted = 0;
    // Start of the current window of the rate, and the bytes received in it.
    TimePoint m_windowStart;
    std::size_t m_windowBytes = 0;
    TimePoint m_lastReceived;
    // Whether the rate was too low in the last complete window.
    bool m_wasSlow = false;
};

}
