#include "chiveshelf/core/BodyBudget.h"

#include <algorithm>
#include <utility>

namespace chiveshelf {

bool BodyBudget::fits(std::size_t n, std::size_t others) const
{
    if (others == 0)
        return true;
    const bool isSmall = n + freeBytesPerBody <= smallBodyBytes;
    const auto limit = isSmall ? m_limits.total : m_limits.total - std::min(m_limits.reserved, m_limits.total);
    return others + n <= limit;
}

bool BodyBudget::dropSlowBody(const HeldBody* keep, TimePoint now)
{
    HeldBody* largest = nullptr;
    for (auto* body : m_arriving) {
        if (body == keep || body->m_counted == 0 || !body->isSlow(now))
            continue;
        if (!largest || body->m_counted > largest->m_counted)
            largest = body;
    }
    if (!largest)
        return false;
    largest->drop();
    return true;
}

HeldBody::HeldBody(std::shared_ptr<BodyBudget> budget, TimePoint now, std::function<void()> onDropped)
    : m_budget(std::move(budget))
    , m_onDropped(std::move(onDropped))
    , m_windowStart(now)
    , m_lastReceived(now)
{
    m_budget->m_arriving.insert(this);
}

HeldBody::~HeldBody()
{
    m_budget->m_held -= m_counted;
    m_budget->m_arriving.erase(this);
}

bool HeldBody::resize(std::size_t n, TimePoint now)
{
    const auto counted = n - std::min(n, BodyBudget::freeBytesPerBody);
    if (counted > m_counted) {
        while (!m_budget->fits(counted, m_budget->m_held - m_counted)) {
            if (!m_budget->dropSlowBody(this, now))
                return false;
        }
    }
    m_budget->m_held += counted - m_counted;
    m_counted = counted;
    return true;
}

void HeldBody::onReceived(std::size_t n, TimePoint now)
{
    m_windowBytes += n;
    m_lastReceived = now;
    if (now - m_windowStart < BodyBudget::rateWindow)
        return;
    m_wasSlow = isBelowRate(now);
    m_windowStart = now;
    m_windowBytes = 0;
}

bool HeldBody::isSlow(TimePoint now) const
{
    // The present window may have begun with a burst that hides a stop.
    if (now - m_lastReceived >= BodyBudget::rateWindow)
        return m_budget->m_limits.minBytesPerSecond > 0;
    return now - m_windowStart < BodyBudget::rateWindow ? m_wasSlow : isBelowRate(now);
}

bool HeldBody::isBelowRate(TimePoint now) const
{
    const auto seconds = std::chrono::duration<double>(now - m_windowStart).count();
    return static_cast<double>(m_windowBytes) < seconds * static_cast<double>(m_budget->m_limits.minBytesPerSecond);
}

void HeldBody::complete()
{
    m_budget->m_arriving.erase(this);
    m_onDropped = nullptr;
}

void HeldBody::drop()
{
    m_budget->m_held -= std::exchange(m_counted, 0);
    m_budget->m_arriving.erase(this);
    const auto onDropped = std::exchange(m_onDropped, nullptr);
    if (onDropped)
        onDropped();
}

}
