#pragma once

#include "chiveshelf/cache/BlockCache.h"
#include "chiveshelf/control/ControlService.h"
#include "chiveshelf/daemon/AdminService.h"
#include "chiveshelf/daemon/DaemonSettings.h"
#include "chiveshelf/dispatch/DispatchClient.h"
#include "chiveshelf/dispatch/SchedulerService.h"
#include "chiveshelf/entry/EntryService.h"
#include "chiveshelf/membership/MembershipService.h"
#include "chiveshelf/peer/DatagramChannel.h"
#include "chiveshelf/peer/PeerClient.h"
#include "chiveshelf/tables/TableAgent.h"

namespace chiveshelf {

// All services of an entry host. Construct it with validated settings, call start(), and run the io_context until it stops.
class Daemon {
public:
    Daemon(boost::asio::io_context&, DaemonSettings);
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Binds all listeners and starts all tasks. Fails with Unavailable if an address can't be bound.
    Result<void> start();

    // Starts a graceful shutdown: stops accepting callers after the notice period, waits for running requests for at most the drain
    // limit, and stops the io_context.
    void drain();

private:
    boost::asio::awaitable<void> drainThenStop();
    boost::asio::awaitable<void> waitUntil(std::function<bool()> condition, std::chrono::steady_clock::time_point deadline);
    void handleMemberChange(const MemberChange&);
    nlohmann::json state() const;
    std::string metrics() const;

    boost::asio::io_context& m_context;
    DaemonSettings m_settings;
    http::Client m_client;
    HttpPlatform m_platform;
    HttpRunner m_runnerClient;
    BlockCache m_cache;
    TableStore m_tables;
    MemberDirectory m_members;
    peer::DatagramChannel m_datagrams;
    peer::PeerServer m_peerServer;
    peer::PeerClient m_peerClient;
    MembershipService m_membership;
    TableAgent m_tableAgent;
    SchedulerService m_scheduler;
    LocalScheduler m_localScheduler;
    DispatchClient m_dispatch;
    QuarantineService m_quarantine;
    HttpPlatform m_recordPlatform;
    IdempotencyService m_idempotency;
    RunnerStatusRegistry m_runnerStatus;
    ControlService m_control;
    EntryService m_entry;
    AdminService m_admin;
    bool m_isDraining = false;
};

}
