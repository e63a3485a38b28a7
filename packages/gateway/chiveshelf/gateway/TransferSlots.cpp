#include "chiveshelf/gateway/TransferSlots.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    // 1 Mbit/s in bytes per microsecond.
    constexpr double bytesPerUsPerMbps = 0.125;

}

TransferPace::TransferPace(double linkMbps)
    : m_bytesPerUs(linkMbps * linkShare * bytesPerUsPerMbps)
{
}

std::chrono::microseconds TransferPace::durationOf(std::size_t bytes) const
{
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(bytes) / m_bytesPerUs));
}

std::chrono::milliseconds TransferPace::backlog(TimePoint now) const
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(m_freeAt - now, TimePoint::duration(0)));
}

std::chrono::milliseconds TransferPace::reserve(std::size_t bytes, TimePoint now)
{
    const auto delay = backlog(now);
    m_freeAt = std::max(m_freeAt, now) + durationOf(bytes);
    return delay;
}

TransferSlots::TransferSlots(double linkMbps)
    : m_capacity(std::clamp(static_cast<std::size_t>(linkMbps / mbpsPerSlot), minSlots, maxSlots))
{
}

bool TransferSlots::admit(const std::string& host, TimePoint now)
{
    std::erase_if(m_expiries, [&](const auto& entry) { return entry.second <= now; });
    if (!m_expiries.contains(host) && m_expiries.size() >= m_capacity)
        return false;
    m_expiries[host] = now + lifetime;
    return true;
}

}
