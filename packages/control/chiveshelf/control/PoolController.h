#pragma once

#include "chiveshelf/control/ControllerLease.h"
#include "chiveshelf/control/RolloutPlan.h"
#include "chiveshelf/control/RolloutStateMachine.h"
#include "chiveshelf/control/RunnerStatusRegistry.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/runner/HttpRunner.h"
#include "chiveshelf/tables/TableStore.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

namespace chiveshelf {

// Updates the runners of one pool in this data centre to the version and adapter in the pool's row. It is active while this host
// owns the pool's scheduler, holds the lease only while a runner differs from the row, and keeps no progress of its own but reads
// it from the runners, so that another controller can continue at any point. Construct it and co_await run(), which ends after
// stop().
class PoolController {
public:
    struct Ports {
        boost::asio::io_context& context;
        HttpPlatform& platform;
        HttpRunner& runners;
        TableStore& tables;
        MemberDirectory& members;
        RunnerStatusRegistry& statusRegistry;
    };

    PoolController(Ports, std::string pool);
    PoolController(const PoolController&) = delete;
    PoolController& operator=(const PoolController&) = delete;

    boost::asio::awaitable<void> run();
    void stop() { m_isStopped = true; }

    std::uint64_t commandCount() const { return m_commandCount; }

    // Returns the phase, fencing token and runners, for the state dump.
    nlohmann::json state() const;

private:
    using Clock = std::chrono::steady_clock;

    boost::asio::awaitable<void> step();
    boost::asio::awaitable<void> readStatuses(Pool);
    boost::asio::awaitable<void> readStatus(std::string name, Address address);
    boost::asio::awaitable<void> tryAcquire();
    boost::asio::awaitable<void> startLoads(Pool);
    boost::asio::awaitable<void> sendLoadCommand(Backend, Pool);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);
    RolloutPlan plan(const Pool&) const;
    bool isOwner();
    void dropLease();
    void updateStatusRegistry(const Pool&);

    Ports m_ports;
    std::string m_poolName;
    ControllerLease m_lease;
    RolloutStateMachine m_machine;
    std::map<std::string, ControlledRunner> m_runners;
    Clock::time_point m_waitUntil;
    Clock::time_point m_nextAcquireAt;
    std::uint64_t m_commandCount = 0;
    std::size_t m_pendingReads = 0;
    bool m_isStopped = false;
};

}
