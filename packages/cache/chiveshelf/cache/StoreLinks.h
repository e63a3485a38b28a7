#pragma once

#include "chiveshelf/core/Address.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>

namespace chiveshelf {

// What this host knows of the link to each store: transfers in flight, measured speed, and pauses after failures. Used on one
// thread. A pause grows with each failure in a row and ends with the first success.
class StoreLinks {
public:
    using Clock = std::chrono::steady_clock;

    // True if look-ups and transfers may be tried.
    bool isUsable(const Address&, Clock::time_point now) const;

    // True while exports have to wait: an import is in flight, or the last export was slow because others use the link.
    bool isBusy(const Address&, Clock::time_point now) const;

    // True if an export may start: the link is usable and not busy, the store not full, and fewer exports than the bound are
    // in flight.
    bool isIdle(const Address&, Clock::time_point now) const;

    void recordSuccess(const Address&);
    void recordFailure(const Address&, Clock::time_point now);

    // Pauses exports to a store that refused one for lack of space. Look-ups and imports go on.
    void recordFull(const Address&, Clock::time_point now);

    // Ends the growth of that pause: the store took a block.
    void recordStored(const Address&);

    void recordTransfer(const Address&, std::int64_t bytes, Clock::duration);

    // Like recordTransfer(). An export far below the best speed means that other hosts' transfers share the link; exports of
    // this host then pause, so that the hosts together leave most of the link to imports.
    void recordExport(const Address&, std::int64_t bytes, Clock::duration, Clock::time_point now);

    // Measured speed in bytes/s, or nothing before the first transfer.
    std::optional<double> bytesPerSecond(const Address&) const;

    int importsInFlight(const Address&) const;

    // Counts a transfer until the returned object is gone.
    std::shared_ptr<void> beginImport(const Address&);
    std::shared_ptr<void> beginExport(const Address&);

private:
    struct Link {
        int failures = 0;
        int fullAnswers = 0;
        Clock::time_point pausedUntil;
        Clock::time_point fullUntil;
        Clock::time_point busyUntil;
        double bestBytesPerSecond = 0;
        std::optional<double> bytesPerSecond;
        std::shared_ptr<int> imports = std::make_shared<int>(0);
        std::shared_ptr<int> exports = std::make_shared<int>(0);
    };

    static std::shared_ptr<void> count(const std::shared_ptr<int>&);

    std::map<Address, Link> m_links;
};

}
