#pragma once

#include "chiveshelf/cache/BlockKey.h"
#include "chiveshelf/cache/StoreLinks.h"

#include <functional>
#include <optional>

namespace chiveshelf {

// Blocks of one answered prompt that a runner has and a store may lack, first block first.
struct ExportOffer {
    BlockIdentity identity;
    Address runner;
    Address store;
    std::vector<std::string> keys;
    // Expected time saved by having the blocks in the store, in s: how likely the prompt returns times what recomputing costs.
    double value = 0;
    StoreLinks::Clock::time_point offeredAt;
};

// The offers of one host that wait for an idle link. It is bounded: when it is full the least valuable offer goes.
class ExportQueue {
public:
    static constexpr std::size_t maximumOffers = 256;
    // After this time the runner has most likely evicted the blocks.
    static constexpr auto offerLifetime = std::chrono::seconds(60);

    // Adds an offer. Returns the number of offers dropped for it, 0 or 1.
    std::size_t add(ExportOffer);

    // Drops the offers that are too old and returns their number.
    std::size_t expire(StoreLinks::Clock::time_point now);

    // Takes the most valuable offer whose store may be written to, or nothing.
    std::optional<ExportOffer> takeBest(const std::function<bool(const Address& store)>& isIdle);

    std::size_t size() const { return m_offers.size(); }

private:
    std::vector<ExportOffer> m_offers;
};

}
