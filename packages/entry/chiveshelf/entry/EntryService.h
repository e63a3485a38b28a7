#pragma once

#include "chiveshelf/cache/BlockCache.h"
#include "chiveshelf/dispatch/DispatchClient.h"
#include "chiveshelf/dispatch/QuarantineService.h"
#include "chiveshelf/entry/CallerRequest.h"
#include "chiveshelf/http/Server.h"
#include "chiveshelf/idempotency/IdempotentRequest.h"
#include "chiveshelf/runner/HttpRunner.h"
#include "chiveshelf/tables/TableStore.h"

namespace chiveshelf {

// What the entry service works with.
struct EntryPorts {
    TableStore& tables;
    DispatchClient& dispatch;
    QuarantineService& quarantine;
    HttpRunner& runners;
    BlockCache& cache;
    http::Client& client;
    IdempotencyService& idempotency;
};

// Counters for metrics.
struct EntryCounters {
    std::uint64_t requests = 0;
    std::uint64_t refusals = 0;
    std::uint64_t replays = 0;
};

// The callers' listener. Construct it and call start(). At the end call announceClose(), later stopAccepting(), and wait until
// connectionCount() is 0.
class EntryService {
public:
    EntryService(boost::asio::io_context&, http::ServerLimits, EntryPorts, std::string dataCentre);
    EntryService(const EntryService&) = delete;
    EntryService& operator=(const EntryService&) = delete;

    Result<void> start(const Address&);

    // From now on every answer asks its caller to close the connection.
    void announceClose() { m_server.announceClose(); }

    // Accepts no more connections and lets running requests end.
    void stopAccepting() { m_server.stopAccepting(); }

    std::size_t connectionCount() const { return m_server.connectionCount(); }
    std::size_t activeRequests() const { return m_server.activeRequests(); }
    const EntryCounters& counters() const { return m_counters; }

private:
    boost::asio::awaitable<void> handle(http::Exchange&);
    boost::asio::awaitable<void> complete(http::Exchange&, CallerHeaders, bool isChat);
    boost::asio::awaitable<void> forward(http::Exchange&, CallerHeaders, const std::string& path);

    // Claims the key of a request, if it has one. Returns false when the caller has been answered: refused, or with the recorded
    // outcome.
    boost::asio::awaitable<bool> beginIdempotent(http::Exchange&, const CallerHeaders&, std::unique_ptr<IdempotentRequest>&, const CompletionCall*);
    boost::asio::awaitable<void> refuse(http::Exchange&, const Error&, const CallerHeaders&);

    EntryPorts m_ports;
    std::string m_dataCentre;
    EntryCounters m_counters;
    http::Server m_server;
};

}
