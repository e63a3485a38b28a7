#pragma once

#include "chiveshelf/core/MemoryPlan.h"
#include "chiveshelf/gateway/BackendPool.h"
#include "chiveshelf/gateway/CacheFollower.h"
#include "chiveshelf/gateway/ForwardTask.h"
#include "chiveshelf/gateway/GatewayServer.h"
#include "chiveshelf/gateway/RolloutLeader.h"
#include "chiveshelf/gateway/SoftwareLedger.h"
#include "chiveshelf/http/Server.h"

namespace chiveshelf {

// The gateway process of an entry host: routes requests to backend servers by host and path. Construct it, check the result of
// start(), and call stop() on a termination signal; it stops the io_context when the shutdown is complete.
class Gateway {
public:
    Gateway(boost::asio::io_context&, GatewaySettings);
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    // Binds the addresses and starts to follow the store. Fails with Unavailable if an address can't be bound.
    Result<void> start();

    // Starts a graceful shutdown: reports "not ready" at once, serves new callers until the load balancer has removed this host, and
    // then waits for the requests in progress, within GatewaySettings::stopLimit.
    void stop();

private:
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection>, CallerRequest);
    boost::asio::awaitable<void> serveAdmin(http::Exchange&);
    // Answers the requests without a response shortly before the exit at `end`.
    boost::asio::awaitable<void> answerBeforeExit(TimePoint end);
    boost::asio::awaitable<void> drainAndStop();
    // Closes connections as they become idle, until no caller is connected or `end` is reached.
    boost::asio::awaitable<void> drainCallers(TimePoint end);
    boost::asio::awaitable<void> sweepLoop();
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    bool isReady() const;
    std::string stateText() const;
    std::string metricsText() const;
    static MemoryPlan planMemory(const GatewaySettings&);

    boost::asio::io_context& m_context;
    GatewaySettings m_settings;
    ServingState m_state;
    GatewayMetrics m_metrics;
    LoopMonitor m_loopMonitor;
    BackendPool m_backends;
    HostExchange m_exchange;
    http::Client m_client;
    platform::StoreClient m_store;
    StoreFollower m_storeFollower;
    StoreLease m_registration;
    RolloutLeader m_rolloutLeader;
    SoftwareLedger m_softwareLedger;
    CacheFollower m_cacheFollower;
    MemoryPlan m_memoryPlan;
    std::shared_ptr<BodyBudget> m_bodyBudget;
    ForwardContext m_forwardContext;
    GatewayServer m_server;
    http::Server m_admin;
    TimePoint m_refuseRequestsFrom = TimePoint::max();
};

// Runs `chiveshelfd gateway` with its flags. Returns the exit code.
int runGateway(int argc, char** argv);

}
