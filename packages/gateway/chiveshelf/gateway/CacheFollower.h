#pragma once

#include "chiveshelf/gateway/HostExchange.h"
#include "chiveshelf/gateway/StoreLease.h"
#include "chiveshelf/http/Client.h"

#include <set>

namespace chiveshelf {

// Follows the contents of the stores of cached parts, one task per store, and frees parts of weights that nobody uses any more.
// A store takes few callers at once, so that in a large fleet the first hosts of an order ask it and the first of all tells the
// others.
//
// Failures: a store that does not answer counts as empty until it was listed again, so that nothing is fetched from it on old
// knowledge.
class CacheFollower {
public:
    // `mayFree` tells whether this host is the one that frees parts.
    CacheFollower(boost::asio::io_context&, http::Client&, ServingState&, HostExchange&, std::function<bool()> mayFree);
    CacheFollower(const CacheFollower&) = delete;
    CacheFollower& operator=(const CacheFollower&) = delete;

    void start();
    void stop() { m_isStopped = true; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> follow(std::shared_ptr<CacheContents>);
    boost::asio::awaitable<bool> list(std::shared_ptr<CacheContents>);
    boost::asio::awaitable<bool> poll(std::shared_ptr<CacheContents>);
    // Whether this host, which depends on the notices of others, has to list a store: it knows too little of it, or nobody tells.
    bool mustList(const CacheContents&);
    // Whether this host asks a store by itself.
    bool isAsking(const std::string& store) const;
    // Whether a store may be listed now.
    bool takeListTurn();
    void announce(const CacheContents&, std::chrono::nanoseconds askedAt, const std::vector<CacheChange>&);
    void onNotice(const CacheNotice&);
    boost::asio::awaitable<void> freeObsolete(std::shared_ptr<CacheContents>);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    bool isNamed(const std::shared_ptr<CacheContents>&) const;

    boost::asio::io_context& m_context;
    http::Client& m_client;
    ServingState& m_state;
    HostExchange& m_exchange;
    std::function<bool()> m_mayFree;
    std::set<std::shared_ptr<CacheContents>> m_followed;
    // Stores of which this host lacks parts, and those of which it has not heard since a time of bootTime().
    std::set<const CacheContents*> m_incomplete;
    std::map<const CacheContents*, std::chrono::nanoseconds> m_unconfirmedSince;
    TimePoint m_nextListAt {};
    bool m_isStopped = false;
};

}
