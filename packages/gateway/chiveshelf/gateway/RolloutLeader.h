#pragma once

#include "chiveshelf/gateway/StoreFollower.h"
#include "chiveshelf/gateway/StoreLease.h"
#include "chiveshelf/http/Client.h"
#include "chiveshelf/placement/RolloutSchedule.h"
#include "platform/RunnerOrders.h"

namespace chiveshelf {

// Updates the runners to the model versions that the operator announces. It runs on all hosts, and the one that holds the lease sends
// the orders. It starts only after it has held the lease for GatewaySettings::orderGap, so that its orders keep that distance
// from those of the previous holder.
class RolloutLeader {
public:
    RolloutLeader(boost::asio::io_context&, const GatewaySettings&, http::Client&, platform::StoreClient&, ServingState&, StoreFollower&,
        HostExchange&);
    RolloutLeader(const RolloutLeader&) = delete;
    RolloutLeader& operator=(const RolloutLeader&) = delete;

    void start();
    boost::asio::awaitable<void> stop();

    bool isLeading() const;

    // Whether this host may free cached parts of old weights; see CacheRetention.
    bool mayFreeParts() const { return isLeading() && m_lease.heldFor() >= CacheRetention::minTenure; }

    // Whether this host holds the lease, though it may have to wait before it sends orders.
    bool holdsLease() const { return !m_isStopped && m_lease.isHeld(std::chrono::milliseconds(0)); }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> update(std::shared_ptr<BackendState>, std::string model, std::uint64_t version);
    // Returns the interval of calls to a runner that loads weights, which leaves a limited runner its requests.
    static std::chrono::milliseconds pollIntervalOf(const BackendState&);
    boost::asio::awaitable<bool> order(std::shared_ptr<BackendState>, std::string model, std::uint64_t version);
    boost::asio::awaitable<bool> confirm(std::shared_ptr<BackendState>, platform::VersionOrder);
    boost::asio::awaitable<bool> awaitVersion(std::shared_ptr<BackendState>, std::string model, std::uint64_t version, std::uint64_t orderCount);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    void startUpdates();
    bool mayCampaign() const;

    boost::asio::io_context& m_context;
    const GatewaySettings& m_settings;
    http::Client& m_client;
    ServingState& m_state;
    StoreFollower& m_follower;
    HostExchange& m_exchange;
    StoreLease m_lease;
    // Schedules by model and pool.
    std::map<std::pair<std::string, std::string>, RolloutSchedule> m_schedules;
    // Approximate duration of the last confirmed load of weights. Starts with the duration of a short load.
    std::chrono::milliseconds m_loadTime { 150 };
    bool m_isStopped = false;
};

}
