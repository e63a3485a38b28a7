#include "chiveshelf/cache/ExportQueue.h"

#include <algorithm>

namespace chiveshelf {

std::size_t ExportQueue::add(ExportOffer offer)
{
    m_offers.push_back(std::move(offer));
    if (m_offers.size() <= maximumOffers)
        return 0;
    m_offers.erase(std::min_element(m_offers.begin(), m_offers.end(), [](const auto& a, const auto& b) { return a.value < b.value; }));
    return 1;
}

std::size_t ExportQueue::expire(StoreLinks::Clock::time_point now)
{
    return std::erase_if(m_offers, [&](const auto& offer) { return offer.offeredAt + offerLifetime < now; });
}

std::optional<ExportOffer> ExportQueue::takeBest(const std::function<bool(const Address&)>& isIdle)
{
    auto best = m_offers.end();
    for (auto it = m_offers.begin(); it != m_offers.end(); ++it) {
        if ((best == m_offers.end() || it->value > best->value) && isIdle(it->store))
            best = it;
    }
    if (best == m_offers.end())
        return std::nullopt;
    auto offer = std::move(*best);
    m_offers.erase(best);
    return offer;
}

}
