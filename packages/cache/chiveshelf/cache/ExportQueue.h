#pragma once

#include "chiveshelf/cache/BlockKey.h"
#include "chiveshelf/cache/StoreLinks.h"

#include <functional>
#include <optional>

namespace chiveshelf {

// Blocks of one answered prompt that a runner has and a store may lack.
struct ExportOffer {
    BlockIdentity identity;
    Address runner;
    Address store;
    // Keys of the blocks, in prompt order.
    std::vector<std::string> keys;
    // Expected time in s saved by storing the blocks: the probability that the prompt returns, times the time to recompute it.
    double value = 0;
    StoreLinks::Clock::time_point offeredAt;
};

// The offers of one host that wait for an idle link. The queue is bounded and drops the least valuable offer when it is full.
class ExportQueue {
public:
    static constexpr std::size_t maximumOffers = 256;
    // Offers expire after this time, when the runner has most likely evicted the blocks.
    static constexpr auto offerLifetime = std::chrono::seconds(60);

    // Adds an offer. Returns the number of offers dropped to make room, 0 or 1. The new offer itself may be the one dropped.
    std::size_t add(ExportOffer);

    // Drops the offers older than `offerLifetime` and returns their number.
    std::size_t expire(StoreLinks::Clock::time_point now);

    // Removes and returns the most valuable offer whose store satisfies `isIdle`, or returns nothing.
    std::optional<ExportOffer> takeBest(const std::function<bool(const Address& store)>& isIdle);

    std::size_t size() const { return m_offers.size(); }

private:
    std::vector<ExportOffer> m_offers;
};

}
