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

// Asks the owning host of a pool for a runner and reports back when the request has ended. Call acquire(), run the request
// on the granted runner, then release().
class DispatchClient {
public:
    // With `local` runners are chosen on this host and no scheduler is asked.
    DispatchClient(boost::asio::io_context&, peer::PeerServer&, peer::PeerClient&, MemberDirectory&, LocalScheduler* local = nullptr);
    DispatchClient(const DispatchClient&) = delete;
    DispatchClient& operator=(const DispatchClient&) = delete;

    void start();

    // Waits for a grant. When the owner is lost the request is queued at the next owner at once. Every failure has the
    // verdict NotRun, since a queued request has not reached a runner.
    boost::asio::awaitable<Result<Grant>> acquire(Enqueue);

    // Takes a request that waits in acquire() out of its queue. Returns without waiting for the owner.
    void cancel(const std::string& pool, const std::string& requestId);

    // Reports the end of a granted request. Returns without waiting for the owner.
    void release(Finished);

    // Declares all running requests to the present owners at once, for instance because an owner has changed.
    void renewSlots();

    // Registers a callback for an owner that did not answer.
    void onLostOwner(std::function<void(const Address&)> listener) { m_onLostOwner = std::move(listener); }

    // Reports of ended requests that no owner has confirmed yet.
    std::size_t pendingReports() const { return m_pendingReports; }

    // Sets what happens when the scheduler takes the runner back for urgent work. Call it after acquire(). It is called once at
    // most, and not after noteFirstToken().
    void onPreempt(const std::string& requestId, std::function<void()>);
    void noteFirstToken(const std::string& requestId);

    // Returns false if retries have used up their share of the requests.
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
