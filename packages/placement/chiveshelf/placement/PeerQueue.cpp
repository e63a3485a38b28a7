#include "chiveshelf/placement/PeerQueue.h"

#include <algorithm>

namespace chiveshelf {

namespace {

    double msUntil(TimePoint time, TimePoint now)
    {
        return std::max(toMilliseconds(time - now), 0.0);
    }

}

void PeerQueue::add(const PlacedPrompt& prompt, TimePoint now)
{
    // A prompt delays only prompts of its own class and less urgent ones.
    for (std::size_t i = priorityClass(prompt.priority); i < priorityClassCount; ++i)
        m_prefillEnd[i] = std::max(m_prefillEnd[i], now) + prompt.prefill;
    m_fetchEnd = std::max(m_fetchEnd, now) + prompt.fetch;
}

double PeerQueue::prefillMs(unsigned priority, TimePoint now) const
{
    return msUntil(m_prefillEnd[priorityClass(priority)], now);
}

double PeerQueue::totalPrefillMs(TimePoint now) const
{
    return msUntil(m_prefillEnd.back(), now);
}

double PeerQueue::fetchMs(TimePoint now) const
{
    return msUntil(m_fetchEnd, now);
}

}
