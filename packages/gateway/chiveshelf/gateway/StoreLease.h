#pragma once

#include "platform/StoreClient.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace chiveshelf {

// Holds one key of the key-value store under a lease, so that the store removes it soon after this process ends or hangs. A lease is
// lost when the store is restored from an older copy: the copy may lack it, and its number may be another holder's.
class StoreLease {
public:
    struct Options {
        std::string key;
        std::string value;
        // Time from the last renewal until the store removes the key.
        std::chrono::milliseconds timeToLive { 0 };
        std::chrono::milliseconds renewInterval { 0 };
        // Whether the key may only be acquired while no host holds it. Otherwise it belongs to this host and is overwritten.
        bool isExclusive = false;
    };

    // `mayAcquire` is called before each attempt to acquire the key and returns whether to make the attempt.
    StoreLease(boost::asio::io_context&, platform::StoreClient&, Options, std::function<bool()> mayAcquire);
    StoreLease(const StoreLease&) = delete;
    StoreLease& operator=(const StoreLease&) = delete;

    void start();

    // Ends the lease, so that the store removes the key at once.
    boost::asio::awaitable<void> stop();

    // Whether the lease is guaranteed to hold for at least `margin` from now. The time to live is counted from before the last
    // renewal was sent and includes time in which the machine was suspended.
    bool isHeld(std::chrono::milliseconds margin) const;

    // The position of the store at which this host acquired the key, as a number. Each later holder has a higher one, also after the
    // store was restored.
    std::uint64_t fencingToken() const;

    // The position of the store at which this host acquired the key.
    StorePosition acquiredAt() const { return m_acquiredAt; }

    // Whether a holder from before a restore of the store may still act: it may not have heard of the restore, and goes on until its
    // lease ends by its own clock.
    bool mayHaveUnseenHolder() const;

    // How long the key has been held without interruption; 0 while it is not held.
    std::chrono::milliseconds heldFor() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> acquire();
    boost::asio::awaitable<bool> renew();
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    // Removes a key that was written under a lease of another era, and so perhaps under another holder's lease.
    boost::asio::awaitable<void> undoWrite(StorePosition);
    void lose(std::string_view reason);

    boost::asio::io_context& m_context;
    platform::StoreClient& m_store;
    Options m_options;
    std::function<bool()> m_mayAcquire;
    GrantedLease m_lease;
    StorePosition m_acquiredAt;
    // Times of bootTime(), which includes time in which the machine was suspended.
    std::chrono::nanoseconds m_validUntil { 0 };
    std::chrono::nanoseconds m_heldSince { 0 };
    bool m_hasKey = false;
    bool m_isStopped = false;
};

}
