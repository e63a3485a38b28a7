#pragma once

#include "chiveshelf/http/Server.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>

namespace fakes {

// Stand-in for the platform's key-value service and host list: compare-and-swap, long-poll watches, leases, a rate limit and
// values of up to 1 MB. start() may be called for several addresses; they share the data, and each has faults of its own, so
// that a test can cut off one data centre.
//
// Control requests, which faults do not touch and no counter counts:
// - `PUT /control/hosts` replaces the host list.
// - `PUT /control/faults` sets the faults of the address it is sent to; absent fields are switched off. Fields: `mode`
//   (`none`, `close`: connections are closed without an answer, `unavailable`: 503, `silent`: no answer), `delay_ms`,
//   `lose_replies` (number of writes that take effect and whose connection is then closed), `host_list_lag_ms`,
//   `writes_per_second` and `reads_per_second`.
// - `PUT /control/kv/KEY` writes a value without a comparison, as a restored backup does.
// - `GET /control/stats` returns the calls by kind.
class FakeKeyValue {
public:
    explicit FakeKeyValue(boost::asio::io_context&);

    chiveshelf::Result<void> start(const chiveshelf::Address&);

    // Replaces the list that GET /hosts returns.
    void setHosts(nlohmann::json hosts);

private:
    using Clock = std::chrono::steady_clock;
    using MaybeResponse = std::optional<chiveshelf::http::Response>;

    struct Entry {
        std::string value;
        // 0 means that the key is absent.
        std::uint64_t revision = 0;
        // The revision at which the key went.
        std::uint64_t removedAt = 0;
        std::uint64_t lease = 0;
    };

    struct Lease {
        std::chrono::milliseconds timeToLive;
        Clock::time_point expiresAt;
    };

    // Allows a number of calls per second, in bursts of up to a second's worth.
    struct RateLimit {
        double perSecond;
        double tokens;
        Clock::time_point filledAt;

        bool take();
    };

    struct Listener {
        std::unique_ptr<chiveshelf::http::Server> server;
        nlohmann::json faults = nlohmann::json::object();

        std::string mode() const { return faults.value("mode", "none"); }
    };

    struct ListedAt {
        Clock::time_point time;
        nlohmann::json hosts;
    };

    boost::asio::awaitable<void> handle(Listener&, chiveshelf::http::Exchange&);
    MaybeResponse control(Listener&, const chiveshelf::http::Request&, const chiveshelf::http::Target&);
    void setFaults(Listener&, const std::string& body);
    boost::asio::awaitable<MaybeResponse> applyFaults(Listener&, chiveshelf::http::Exchange&);
    boost::asio::awaitable<MaybeResponse> answer(Listener&, chiveshelf::http::Exchange&, chiveshelf::http::Target);
    boost::asio::awaitable<MaybeResponse> read(Listener&, chiveshelf::http::Exchange&, std::string key, const chiveshelf::http::Target&);
    chiveshelf::http::Response write(const std::string& key, const chiveshelf::http::Target&, const std::string& value);
    chiveshelf::http::Response grantLease(const std::string& body);
    chiveshelf::http::Response changeLease(const chiveshelf::http::Request&, const std::string& path);
    chiveshelf::http::Response hosts(const Listener&) const;
    void removeLease(std::uint64_t id);
    void expireLeases();
    void put(Entry&, const std::string& value, std::uint64_t lease);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds);

    boost::asio::io_context& m_context;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 0;
    std::uint64_t m_nextLease = 1;
    RateLimit m_writeLimit;
    RateLimit m_readLimit;
    std::map<std::string, std::uint64_t> m_callCounts;
    std::deque<ListedAt> m_hostLists;
};

}
