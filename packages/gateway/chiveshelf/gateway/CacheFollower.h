#pragma once

#include "chiveshelf/gateway/HostExchange.h"
#include "chiveshelf/gateway/StoreLease.h"
#include "chiveshelf/http/Client.h"

#include <set>

namespace chiveshelf {

// Tracks the contents of the stores of cached parts, with one task per store, and frees parts of old weights once no host can let
// runners fetch them any more; see CacheRetention.
//
// A store accepts few callers at once. In a large fleet only the first hosts in the store's rendezvous hashing order poll it, and
// the first of them sends the changes to the other hosts.
//
// A store that doesn't answer counts as empty until it has been listed again, so that nothing is fetched from it based on outdated
// contents.
class CacheFollower {
public:
    // `mayFreeParts` returns whether this host is the one that frees parts.
    CacheFollower(boost::asio::io_context&, http::Client&, ServingState&, HostExchange&, std::function<bool()> mayFreeParts);
    CacheFollower(const CacheFollower&) = delete;
    CacheFollower& operator=(const CacheFollower&) = delete;

    void start();
    void stop() { m_isStopped = true; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> follow(std::shared_ptr<CacheContents>);
    boost::asio::awaitable<bool> list(std::shared_ptr<CacheContents>);
    boost::asio::awaitable<bool> poll(std::shared_ptr<CacheContents>);
    // Whether this host, which doesn't poll the store, has to list it because too many parts are missing or no notices arrive.
    bool mustList(const CacheContents&);
    // Whether this host polls the store itself instead of relying on notices.
    bool isPolling(const std::string& store) const;
    // Returns whether a store may be listed now, and if so delays the next listing in a large fleet.
    bool reserveListing();
    void announce(const CacheContents&, std::chrono::nanoseconds polledAt, const std::vector<CacheChange>&);
    void onNotice(const CacheNotice&);
    boost::asio::awaitable<void> freeObsolete(std::shared_ptr<CacheContents>);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    bool isConfigured(const std::shared_ptr<CacheContents>&) const;

    boost::asio::io_context& m_context;
    http::Client& m_client;
    ServingState& m_state;
    HostExchange& m_exchange;
    std::function<bool()> m_mayFreeParts;
    std::set<std::shared_ptr<CacheContents>> m_followedStores;
    // Stores of which too many parts are unknown to this host.
    std::set<const CacheContents*> m_incompleteStores;
    // Stores whose contents are out of date, with the bootTime() at which this was first seen.
    std::map<const CacheContents*, std::chrono::nanoseconds> m_storesUnconfirmedSince;
    TimePoint m_nextListAt {};
    bool m_isStopped = false;
};

}
