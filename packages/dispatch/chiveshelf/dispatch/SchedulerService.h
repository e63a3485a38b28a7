#pragma once

#include "chiveshelf/dispatch/Messages.h"
#include "chiveshelf/peer/PeerServer.h"
#include "chiveshelf/scheduling/PoolQueue.h"
#include "chiveshelf/tables/TableStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace chiveshelf {

// Schedules the pools that other hosts ask this host about. All state is soft: it is rebuilt from Enqueue and InFlight
// messages. Construct it before the peer server starts, then call start().
class SchedulerService {
public:
    SchedulerService(boost::asio::io_context&, peer::PeerServer&, TableStore&, std::string dataCentre);
    ~SchedulerService();
    SchedulerService(const SchedulerService&) = delete;
    SchedulerService& operator=(const SchedulerService&) = delete;

    void start();

    // Sends the waiting requests of the pools for which `isOwnedElsewhere` holds back to their entry hosts, which queue them
    // at the present owner.
    void handOver(const std::function<bool(const std::string& pool)>& isOwnedElsewhere);

    // While refusing, Enqueue is answered with Unavailable and NotRun, and nothing waits here.
    void setRefusing(bool);

    // Number of Enqueue messages that were accepted.
    std::uint64_t acceptedCount() const { return m_acceptedCount; }

    // Queues, running requests and last decisions of each pool, for the state dump.
    nlohmann::json state() const;

private:
    struct Waiter;
    struct PoolState;

    boost::asio::awaitable<Result<Grant>> enqueue(Enqueue);
    boost::asio::awaitable<Result<Acknowledgement>> cancel(CancelQueued);
    boost::asio::awaitable<Result<Acknowledgement>> finish(Finished);
    boost::asio::awaitable<Result<Acknowledgement>> renew(InFlight);
    boost::asio::awaitable<void> tickLoop();

    PoolState& poolState(const std::string& name);
    void pump(const std::string& poolName);
    void answer(PoolState&, const std::string& requestId, Result<Grant>);
    std::vector<RunnerSnapshot> snapshotRunners(const Pool&, const PoolState&) const;

    boost::asio::io_context& m_context;
    TableStore& m_tables;
    std::string m_dataCentre;
    std::map<std::string, std::unique_ptr<PoolState>> m_pools;
    std::uint64_t m_acceptedCount = 0;
    bool m_isRefusing = false;
};

}
