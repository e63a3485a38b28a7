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

// Brings the runners of one pool in this data centre to the version and adapter of the pool's row. It works while this host
// owns the pool's scheduler, takes the lease only while a runner differs, and reads all progress from the runners, so that
// another controller can go on at any point. Construct it and co_await run(), which ends after stop().
class PoolController {
public:
    struct Ports {
        boost::asio::io_context& context;
        HttpPlatform& platform;
        HttpRunner& runners;
        TableStore& tables;
        MemberDirectory& members;
        RunnerStatusRegistry& board;
    };

    PoolController(Ports, std::string pool);
    PoolController(const PoolController&) = delete;
    PoolController& operator=(const PoolController&) = delete;

    boost::asio::awaitable<void> run();
    void stop() { m_isStopped = true; }

    std::uint64_t commandCount() const { return m_commandCount; }

    // Phase, fencing token and runners, for the state dump.
    nlohmann::json state() const;

private:
    using Clock = std::chrono::steady_clock;

    boost::asio::awaitable<void> step();
    boost::asio::awaitable<void> readStatuses(Pool);
    boost::asio::awaitable<void> readStatus(std::string name, Address address);
    boost::asio::awaitable<void> tryAcquire();
    boost::asio::awaitable<void> roll(Pool);
    boost::asio::awaitable<void> commandLoad(Backend, Pool);
    boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds);
    RolloutPlan plan(const Pool&) const;
    bool isOwner();
    void standDown();
    void updateBoard(const Pool&);

    Ports m_ports;
    std::string m_poolName;
    ControllerLease m_lease;
    RolloutStateMachine m_machine;
    std::map<std::string, ControlledRunner> m_runners;
    Clock::time_point m_waitUntil;
    Clock::time_point m_nextAcquire;
    std::uint64_t m_commandCount = 0;
    std::size_t m_pendingReads = 0;
    bool m_isStopped = false;
};

}
