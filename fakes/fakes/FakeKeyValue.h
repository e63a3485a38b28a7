#pragma once

#include "chiveshelf/http/Server.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>

namespace fakes {

// Fake of the platform's key-value service and host list: compare-and-swap, long-poll watches, leases, a rate limit and values
// of up to 1 MB. start() may be called for several addresses; they share the data, and each has its own faults, so that a test
// can disconnect one data centre.
//
// Control requests, which are subject to no fault and not counted:
// - `PUT /control/hosts` replaces the host list.
// - `PUT /control/faults` sets the faults of the address that receives the request; a missing field clears its fault. Fields: `mode`
//   (`none`, `close`: connections are closed without an answer, `unavailable`: 503, `silent`: no answer), `delay_ms`,
//   `lose_replies` (number of writes that are executed, but whose connection is closed without an answer), `host_list_lag_ms`,
//   `writes_per_second` and `reads_per_second`.
// - `PUT /control/kv/KEY` writes a value without comparing revisions, like a restored backup.
// - `GET /control/stats` returns the number of calls by kind.
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
        // 0 if the key does not exist.
        std::uint64_t revision = 0;
        // Revision of the key's deletion, 0 if it was never deleted.
        std::uint64_t deletionRevision = 0;
        std::uint64_t leaseId = 0;
    };

    struct Lease {
        std::chrono::milliseconds timeToLive;
        Clock::time_point expiresAt;
    };

    // Token bucket: `perSecond` calls per second, in bursts of up to one second's calls.
    struct RateLimit {
        double perSecond;
        double tokens;
        Clock::time_point refilledAt;

        bool tryAcquire();
    };

    struct Listener {
        std::unique_ptr<chiveshelf::http::Server> server;
        nlohmann::json faults = nlohmann::json::object();

        std::string mode() const { return faults.value("mode", "none"); }
    };

    struct HostListVersion {
        Clock::time_point time;
        nlohmann::json hosts;
    };

    boost::asio::awaitable<void> handle(Listener&, chiveshelf::http::Exchange&);
    MaybeResponse handleControl(Listener&, const chiveshelf::http::Request&, const chiveshelf::http::Target&);
    void setFaults(Listener&, const std::string& body);
    boost::asio::awaitable<MaybeResponse> applyFaults(Listener&, chiveshelf::http::Exchange&);
    boost::asio::awaitable<MaybeResponse> handleCall(Listener&, chiveshelf::http::Exchange&, chiveshelf::http::Target);
    boost::asio::awaitable<MaybeResponse> read(Listener&, chiveshelf::http::Exchange&, std::string key, const chiveshelf::http::Target&);
    chiveshelf::http::Response write(const std::string& key, const chiveshelf::http::Target&, const std::string& value);
    chiveshelf::http::Response grantLease(const std::string& body);
    chiveshelf::http::Response handleLease(const chiveshelf::http::Request&, const std::string& path);
    chiveshelf::http::Response hosts(const Listener&) const;
    void removeLease(std::uint64_t id);
    void expireLeases();
    void put(Entry&, const std::string& value, std::uint64_t leaseId);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);

    boost::asio::io_context& m_context;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 0;
    std::uint64_t m_nextLeaseId = 1;
    RateLimit m_writeLimit;
    RateLimit m_readLimit;
    std::map<std::string, std::uint64_t> m_callCounts;
    std::deque<HostListVersion> m_hostLists;
};

}
