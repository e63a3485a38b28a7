#pragma once

#include "chiveshelf/dispatch/Messages.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/peer/PeerClient.h"

#include <boost/asio/io_context.hpp>

namespace chiveshelf {

// Asks the owning host of a pool for a runner and reports back when the request has ended. Call acquire(), run the request
// on the granted runner, then release().
class DispatchClient {
public:
    DispatchClient(boost::asio::io_context&, peer::PeerClient&, MemberDirectory&);
    DispatchClient(const DispatchClient&) = delete;
    DispatchClient& operator=(const DispatchClient&) = delete;

    void start();

    // Waits for a grant. When the owner is lost the request is queued at the next owner at once. Every failure has the
    // verdict NotRun, since a queued request has not reached a runner.
    boost::asio::awaitable<Result<Grant>> acquire(Enqueue);

    // Takes a request that waits in acquire() out of its queue. Returns without waiting for the owner.
    void cancel(const std::string& pool, const std::string& requestId);

    boost::asio::io_context& context() { return m_context; }

    // Reports the end of a granted request. Returns without waiting for the owner.
    void release(Finished);

    std::size_t runningCount() const { return m_running.size(); }

private:
    struct RunningEntry {
        std::string pool;
        std::string runner;
    };

    boost::asio::awaitable<void> renewLoop();
    boost::asio::awaitable<void> renew(std::string pool, std::vector<RunningRequest>);
    boost::asio::awaitable<void> sendFinished(Finished);
    boost::asio::awaitable<void> sendCancel(CancelQueued);
    const Member* owner(const std::string& pool) const;

    boost::asio::io_context& m_context;
    peer::PeerClient& m_peers;
    MemberDirectory& m_members;
    std::map<std::string, RunningEntry> m_running;
};

}
