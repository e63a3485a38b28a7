#pragma once

#include "chiveshelf/dispatch/Messages.h"
#include "chiveshelf/dispatch/PoolScheduler.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/peer/PeerClient.h"
#include "chiveshelf/peer/PeerServer.h"
#include "chiveshelf/tables/TableStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <optional>

namespace chiveshelf {

// Settings of SchedulerService.
struct SchedulerSettings {
    std::string dataCentre;
    PolicyKind policy = PolicyKind::FairShare;
    FairShareSettings fairShare;
};

// Schedules the pools for which this host receives Enqueue messages. The state is kept in memory only and is
// rebuilt from Enqueue and InFlight messages after a restart or a change of owner. Construct it before the peer server starts, then
// call start().
class SchedulerService {
public:
    SchedulerService(boost::asio::io_context&, peer::PeerServer&, peer::PeerClient&, MemberDirectory&, TableStore&, SchedulerSettings);
    ~SchedulerService();
    SchedulerService(const SchedulerService&) = delete;
    SchedulerService& operator=(const SchedulerService&) = delete;

    void start();

    // Returns the waiting requests of the pools for which `isOwnedElsewhere` returns true to their entry hosts, which queue them
    // at the present owner.
    void handOver(const std::function<bool(const std::string& pool)>& isOwnedElsewhere);

    // While refusing, the service replies to Enqueue with Unavailable and NotRun. Requests that already wait are returned to their
    // entry hosts.
    void setRefusing(bool);

    // Sets the function that returns the state of a runner's weights. Without one, every runner is assumed to have the version of
    // its pool's row. Call it before start().
    void setWeightsSource(WeightsSource source) { m_weights = std::move(source); }

    // Returns the number of accepted Enqueue messages.
    std::uint64_t acceptedCount() const { return m_acceptedCount; }

    // Returns the queues, running requests, latest decisions, measured speeds and health of each pool, for the state dump.
    nlohmann::json state() const;

    // Returns the counters summed over all pools.
    SchedulerCounters counters() const;

private:
    struct Waiter;
    struct PoolState;

    boost::asio::awaitable<Result<Grant>> enqueue(Enqueue);
    boost::asio::awaitable<Result<Acknowledgement>> cancel(CancelQueued);
    boost::asio::awaitable<Result<Acknowledgement>> finish(Finished);
    boost::asio::awaitable<Result<Acknowledgement>> renew(InFlight);
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> sendPreempt(std::string entryHost, Preempt);

    PoolState& poolState(const std::string& name);
    // Sends the grants and preemptions that the pool's scheduler decides on.
    void applyDecisions(const std::string& poolName);
    void answer(PoolState&, const std::string& requestId, Result<Grant>);

    boost::asio::io_context& m_context;
    peer::PeerClient& m_peers;
    MemberDirectory& m_members;
    TableStore& m_tables;
    SchedulerSettings m_settings;
    std::map<std::string, std::unique_ptr<PoolState>> m_pools;
    WeightsSource m_weights;
    std::uint64_t m_acceptedCount = 0;
    bool m_isRefusing = false;
};

}
