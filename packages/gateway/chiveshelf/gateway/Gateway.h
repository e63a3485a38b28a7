#pragma once

#include "chiveshelf/gateway/BackendPool.h"
#include "chiveshelf/gateway/CacheFollower.h"
#include "chiveshelf/gateway/ForwardTask.h"
#include "chiveshelf/gateway/GatewayServer.h"
#include "chiveshelf/gateway/RolloutLeader.h"
#include "chiveshelf/http/Server.h"

namespace chiveshelf {

// The process of an entry host that serves the tables of routes by host and path. Construct it, check start(), and call
// stop() on a signal; the io_context ends when nothing is left to do.
class Gateway {
public:
    Gateway(boost::asio::io_context&, GatewaySettings);
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    // Binds the addresses and begins to follow the store. Fails with Unavailable if an address can not be bound.
    Result<void> start();

    // Leaves in order: not ready at once, callers are served until the load balancer has noticed, then what is in progress.
    void stop();

private:
    boost::asio::awaitable<void> serve(std::shared_ptr<CallerConnection>, CallerRequest);
    boost::asio::awaitable<void> serveAdmin(http::Exchange&);
    boost::asio::awaitable<void> stopInOrder();
    // Waits until no caller is connected, and closes connections as they become idle.
    boost::asio::awaitable<void> drainCallers(TimePoint end);
    boost::asio::awaitable<void> sweepLoop();
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    bool isReady() const;
    std::string stateText() const;
    std::string metricsText() const;

    boost::asio::io_context& m_context;
    GatewaySettings m_settings;
    ServingState m_state;
    GatewayMetrics m_metrics;
    BackendPool m_backends;
    HostExchange m_exchange;
    http::Client m_client;
    platform::StoreClient m_store;
    StoreFollower m_follower;
    StoreLease m_registration;
    RolloutLeader m_leader;
    CacheFollower m_caches;
    ForwardContext m_forward;
    GatewayServer m_server;
    http::Server m_admin;
    TimePoint m_stopAt = TimePoint::max();
};

// Runs `chiveshelfd gateway` with its flags. Returns the exit code.
int runGateway(int argc, char** argv);

}
