#pragma once

#include "chiveshelf/keyvalue/HttpPlatform.h"

namespace chiveshelf {

// A lease that allows one host to send commands to the runners of one pool in one data centre. acquire() writes the lease key,
// whose revision is the fencing token. isValid() checks the lease on this host's monotonic clock and turns false a safety margin
// before the platform can let the lease expire.
//
// A second key, which is not attached to the lease, records whether the holder released the lease. If the previous holder did
// not, its commands may still be running and mustWait() is true: the new holder must wait for them to end.
class ControllerLease {
public:
    using Clock = std::chrono::steady_clock;

    ControllerLease(HttpPlatform&, std::string pool, std::string dataCentre, std::string host);
    ControllerLease(const ControllerLease&) = delete;
    ControllerLease& operator=(const ControllerLease&) = delete;

    // Tries to acquire the lease once. Fails with Conflict while another host holds it.
    boost::asio::awaitable<Result<void>> acquire();

    // Extends the lease if a third of its time to live has passed.
    boost::asio::awaitable<void> renew();

    // Records the release and revokes the lease.
    boost::asio::awaitable<void> release();

    // Stops using the lease without a call to the platform; it expires there by itself.
    void abandon() { m_lease.reset(); }

    bool isValid(Clock::time_point now) const { return m_lease && now < m_validUntil; }
    bool mustWait() const { return m_mustWait; }
    Revision fencingToken() const { return m_fencingToken; }

private:
    // Writes a value and, if the outcome is unknown, reads the key back to see whether the write took effect. Returns the revision.
    boost::asio::awaitable<Result<Revision>> write(std::string key, Revision expected, std::string value, std::optional<LeaseId>);
    // Reads the previous holder's record, sets mustWait() from it and marks the record as held.
    boost::asio::awaitable<Result<void>> claimRecord();
    std::string makeValue(std::string_view state) const;

    HttpPlatform& m_platform;
    std::string m_leaseKey;
    std::string m_recordKey;
    std::string m_host;
    std::optional<LeaseId> m_lease;
    Revision m_fencingToken = 0;
    Revision m_recordRevision = 0;
    Clock::time_point m_validUntil;
    Clock::time_point m_renewAt;
    bool m_mustWait = false;
};

}
