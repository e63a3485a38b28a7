#pragma once

#include "chiveshelf/core/Address.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>

namespace chiveshelf {

// State of the link from this host to each store: transfers in flight, measured speed, and pauses after failures. Not
// thread-safe. The pause doubles with each consecutive failure up to a limit, and its growth is reset by the first success.
class StoreLinks {
public:
    using Clock = std::chrono::steady_clock;

    // Returns true if look-ups and transfers may be attempted, that is, if the link is not paused after a failure.
    bool isUsable(const Address&, Clock::time_point now) const;

    // Returns true while exports must wait, because an import is in flight or because the last export was slow, which indicates
    // that other hosts use the link.
    bool isBusy(const Address&, Clock::time_point now) const;

    // Returns true if an export may start: the link is usable and not busy, the store is not full, and the number of exports in
    // flight is below the limit.
    bool isIdle(const Address&, Clock::time_point now) const;

    // Resets the growth of the pause after failures.
    void recordSuccess(const Address&);

    // Pauses the link after a failed look-up or transfer.
    void recordFailure(const Address&, Clock::time_point now);

    // Pauses exports to a store that rejected one because it is full. Look-ups and imports continue.
    void recordFull(const Address&, Clock::time_point now);

    // Resets the growth of the pause set by recordFull(), after the store has accepted a block.
    void recordStored(const Address&);

    // Adds a transfer to the measured speed. A transfer without bytes or duration is ignored.
    void recordTransfer(const Address&, std::int64_t bytes, Clock::duration);

    // Like recordTransfer(). An export far below the best measured speed indicates that other hosts share the link. Exports of this
    // host are then paused, so that the hosts together leave most of the link's bandwidth to imports.
    void recordExport(const Address&, std::int64_t bytes, Clock::duration, Clock::time_point now);

    // Returns the measured speed in bytes/s, or nothing before the first transfer.
    std::optional<double> bytesPerSecond(const Address&) const;

    // Returns the number of this host's imports in flight.
    int importsInFlight(const Address&) const;

    // Counts a transfer as in flight until the returned object is destroyed.
    std::shared_ptr<void> beginImport(const Address&);
    std::shared_ptr<void> beginExport(const Address&);

private:
    struct Link {
        int failures = 0;
        int fullRefusals = 0;
        Clock::time_point pausedUntil;
        Clock::time_point fullUntil;
        Clock::time_point busyUntil;
        double bestBytesPerSecond = 0;
        std::optional<double> bytesPerSecond;
        std::shared_ptr<int> activeImports = std::make_shared<int>(0);
        std::shared_ptr<int> activeExports = std::make_shared<int>(0);
    };

    static std::shared_ptr<void> countInFlight(const std::shared_ptr<int>&);

    std::map<Address, Link> m_links;
};

}
