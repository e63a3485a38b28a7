#pragma once

#include "platform/StoreClient.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace chiveshelf {

// Holds one key of the store under a lease, so that it vanishes soon after this process ends or freezes.
class StoreLease {
public:
    struct Options {
        std::string key;
        std::string value;
        // Time from the last renewal until the store removes the key.
        std::chrono::milliseconds timeToLive { 0 };
        std::chrono::milliseconds renewInterval { 0 };
        // Whether the key is taken only while nobody holds it; otherwise it is this host's own and is overwritten.
        bool isExclusive = false;
    };

    // `mayAcquire` is asked before each attempt to take an exclusive key.
    StoreLease(boost::asio::io_context&, platform::StoreClient&, Options, std::function<bool()> mayAcquire);
    StoreLease(const StoreLease&) = delete;
    StoreLease& operator=(const StoreLease&) = delete;

    void start();

    // Ends the lease, so that the key goes at once.
    boost::asio::awaitable<void> stop();

    // Whether the key is held for certain for at least `margin` from now. Counts the time in which the machine was
    // suspended, and from before the renewal was sent.
    bool isHeld(std::chrono::milliseconds margin) const;

    // The revision that took the key; higher for each later holder.
    Revision fence() const { return m_fence; }

    // How long the key has been held in one stretch.
    std::chrono::milliseconds heldFor() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> acquire();
    boost::asio::awaitable<bool> renew();
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    void lose(std::string_view reason);

    boost::asio::io_context& m_context;
    platform::StoreClient& m_store;
    Options m_options;
    std::function<bool()> m_mayAcquire;
    LeaseId m_lease = 0;
    Revision m_fence = 0;
    // On the clock that goes on while the machine is suspended.
    std::chrono::nanoseconds m_validUntil { 0 };
    std::chrono::nanoseconds m_heldSince { 0 };
    bool m_hasKey = false;
    bool m_isStopped = false;
};

}
