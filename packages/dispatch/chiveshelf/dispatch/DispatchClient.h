#pragma once

#include "chiveshelf/dispatch/LocalScheduler.h"
#include "chiveshelf/dispatch/Messages.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/peer/PeerClient.h"
#include "chiveshelf/peer/PeerServer.h"
#include "chiveshelf/scheduling/RetryBudget.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace chiveshelf {

// Requests a runner from the host that owns a pool and reports the end of the request to it. Call acquire(), run the request on the
// granted runner, then release().
class DispatchClient {
public:
    // With `local`, runners are chosen on this host and no other host is asked.
    DispatchClient(boost::asio::io_context&, peer::PeerServer&, peer::PeerClient&, MemberDirectory&, LocalScheduler* local = nullptr);
    DispatchClient(const DispatchClient&) = delete;
    DispatchClient& operator=(const DispatchClient&) = delete;

    void start();

    // Waits for a grant. If the owner becomes unavailable, the request is queued at the next owner immediately. Every failure has
    // the verdict NotRun, since a queued request has not reached a runner.
    boost::asio::awaitable<Result<Grant>> acquire(Enqueue);

    // Removes a request that waits in acquire() from its queue. Returns without waiting for the owner.
    void cancel(const std::string& pool, const std::string& requestId);

    // Reports the end of a granted request. Returns without waiting for the owner.
    void release(Finished);

    // Reports all running requests to the present owners immediately, for instance because an owner has changed.
    void renewSlots();

    // Registers a callback that is called with the address of a host whose connection was lost.
    void onLostOwner(std::function<void(const Address&)> listener) { m_onLostOwner = std::move(listener); }

    // Returns the number of Finished reports that are waiting for an owner's reply.
    std::size_t pendingReports() const { return m_pendingReports; }

    // Sets the action to run when the scheduler preempts the request for an urgent one. Call it after acquire(). The action runs
    // at most once, and not after noteFirstToken().
    void onPreempt(const std::string& requestId, std::function<void()>);
    void noteFirstToken(const std::string& requestId);

    // Takes one retry from the budget. Returns false if the budget is used up; the retry must then not be made.
    bool takeRetry() { return m_retries.take(); }
    const RetryBudget& retryBudget() const { return m_retries; }

    boost::asio::io_context& context() { return m_context; }
    std::size_t runningCount() const { return m_running.size(); }

private:
    struct RunningEntry {
        std::string pool;
        std::string runner;
        std::int32_t priority = 0;
        bool hasFirstToken = false;
        std::function<void()> onPreempt;
    };

    void handleLostHost(const Address&);
    boost::asio::awaitable<Result<PreemptReply>> preempt(Preempt);

    boost::asio::awaitable<void> renewLoop();
    boost::asio::awaitable<void> renew(std::string pool, std::vector<RunningRequest>);
    boost::asio::awaitable<void> sendFinished(Finished);
    const Member* owner(const std::string& pool);
    boost::asio::awaitable<void> sendCancel(CancelQueued);

    boost::asio::io_context& m_context;
    peer::PeerClient& m_peers;
    MemberDirectory& m_members;
    LocalScheduler* m_local;
    RetryBudget m_retries;
    std::map<std::string, RunningEntry> m_running;
    std::map<std::string, std::chrono::steady_clock::time_point> m_avoidedUntil;
    std::function<void(const Address&)> m_onLostOwner;
    std::size_t m_pendingReports = 0;
};

}
