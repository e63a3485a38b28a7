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

// The services that the entry service uses.
struct EntryPorts {
    TableStore& tables;
    DispatchClient& dispatch;
    QuarantineService& quarantine;
    HttpRunner& runners;
    BlockCache& cache;
    http::Client& client;
    IdempotencyService& idempotency;
};

// Counts since the start of the service, for metrics. `replays` counts requests answered with the
// recorded response of an earlier attempt.
struct EntryCounters {
    std::uint64_t requests = 0;
    std::uint64_t refusals = 0;
    std::uint64_t replays = 0;
};

// Serves the requests of callers over HTTP. Call start() to listen. To shut down, call announceClose(), later stopAccepting(), and
// wait until connectionCount() is 0.
class EntryService {
public:
    EntryService(boost::asio::io_context&, http::ServerLimits, EntryPorts, std::string dataCentre);
    EntryService(const EntryService&) = delete;
    EntryService& operator=(const EntryService&) = delete;

    Result<void> start(const Address&);

    // Makes every further response ask its caller to close the connection.
    void announceClose() { m_server.announceClose(); }

    // Stops accepting connections. Running requests continue to their end.
    void stopAccepting() { m_server.stopAccepting(); }

    std::size_t connectionCount() const { return m_server.connectionCount(); }
    std::size_t activeRequests() const { return m_server.activeRequests(); }
    const EntryCounters& counters() const { return m_counters; }

private:
    boost::asio::awaitable<void> handle(http::Exchange&);
    boost::asio::awaitable<void> complete(http::Exchange&, CallerHeaders, bool isChat);
    boost::asio::awaitable<void> forward(http::Exchange&, CallerHeaders, const std::string& path);

    // Claims the idempotency key of a request, if it has one. Returns false if a response was already sent to the caller, either an
    // error or the recorded outcome.
    boost::asio::awaitable<bool> claimIdempotencyKey(http::Exchange&, const CallerHeaders&, std::unique_ptr<IdempotentRequest>&, const CompletionCall*);
    boost::asio::awaitable<void> refuse(http::Exchange&, const Error&, const CallerHeaders&);

    EntryPorts m_ports;
    std::string m_dataCentre;
    EntryCounters m_counters;
    http::Server m_server;
};

}
