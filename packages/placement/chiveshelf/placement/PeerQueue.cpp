#include "chiveshelf/placement/PeerQueue.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    double msUntil(TimePoint at, TimePoint now)
    {
        return std::max(toMilliseconds(at - now), 0.0);
    }

}

void PeerQueue::add(const PlacedPrompt& prompt, TimePoint now)
{
    // Less urgent prompts wait for more urgent ones, not the other way round.
    for (std::size_t i = priorityClass(prompt.priority); i < priorityClassCount; ++i)
        m_readAt[i] = std::max(m_readAt[i], now) + prompt.prefill;
    m_fetchedAt = std::max(m_fetchedAt, now) + prompt.fetch;
}

double PeerQueue::prefillMs(unsigned priority, TimePoint now) const
{
    return msUntil(m_readAt[priorityClass(priority)], now);
}

double PeerQueue::totalPrefillMs(TimePoint now) const
{
    return msUntil(m_readAt.back(), now);
}

double PeerQueue::fetchMs(TimePoint now) const
{
    return msUntil(m_fetchedAt, now);
}

}
