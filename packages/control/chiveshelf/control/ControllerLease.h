#pragma once

#include "chiveshelf/keyvalue/HttpPlatform.h"

namespace chiveshelf {

// The right to command the runners of one pool in one data centre. acquire() writes the lease key, whose revision is the
// fencing token; mayAct() says on this host's own monotonic clock whether the right still holds, and ends a safety margin
// before the service can let the lease lapse.
//
// A second key without a lease records whether the holder gave the right back. If it did not, commands that it sent may still
// be running, and mustWait() tells the new holder to wait for them.
class ControllerLease {
public:
    using Clock = std::chrono::steady_clock;

    ControllerLease(HttpPlatform&, std::string pool, std::string dataCentre, std::string host);
    ControllerLease(const ControllerLease&) = delete;
    ControllerLease& operator=(const ControllerLease&) = delete;

    // Tries once. Fails with Conflict while another host holds the lease.
    boost::asio::awaitable<Result<void>> acquire();

    // Extends the lease if a third of its time has passed.
    boost::asio::awaitable<void> renew();

    // Gives the lease back.
    boost::asio::awaitable<void> release();

    // Forgets the lease without a call to the service.
    void abandon() { m_lease.reset(); }

    bool mayAct(Clock::time_point now) const { return m_lease && now < m_validUntil; }
    bool mustWait() const { return m_mustWait; }
    Revision fencingToken() const { return m_token; }

private:
    // Writes a value and, if the reply was lost, reads back whether it took effect. Returns its revision.
    boost::asio::awaitable<Result<Revision>> write(std::string key, Revision expected, std::string value, std::optional<LeaseId>);
    boost::asio::awaitable<Result<void>> takeRecord();
    std::string makeValue(std::string_view state) const;

    HttpPlatform& m_platform;
    std::string m_leaseKey;
    std::string m_recordKey;
    std::string m_host;
    std::optional<LeaseId> m_lease;
    Revision m_token = 0;
    Revision m_recordRevision = 0;
    Clock::time_point m_validUntil;
    Clock::time_point m_renewAt;
    bool m_mustWait = false;
};

}
