#pragma once

#include "chiveshelf/dispatch/Messages.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/peer/DatagramChannel.h"
#include "chiveshelf/scheduling/CrashRegistry.h"

#include <boost/asio/io_context.hpp>

namespace chiveshelf {

// Exchanges with the hosts of the data centre which requests were running when runners crashed, and refuses requests that were
// running when two different runners crashed. Construct it before the datagram channel starts.
class QuarantineService {
public:
    QuarantineService(boost::asio::io_context&, peer::DatagramChannel&, MemberDirectory&);
    QuarantineService(const QuarantineService&) = delete;
    QuarantineService& operator=(const QuarantineService&) = delete;

    // Fails with Quarantined and NotRun if the request is quarantined.
    Result<void> check(const std::string& fingerprint) const;

    // Records a crash that this host observed and notifies the other hosts.
    void reportCrash(const std::string& fingerprint, const std::string& runner);

    std::vector<std::string> quarantined() const;

private:
    boost::asio::awaitable<void> announce(QuarantineNotice);
    void record(const QuarantineNotice&);

    boost::asio::io_context& m_context;
    peer::DatagramChannel& m_datagrams;
    MemberDirectory& m_members;
    CrashRegistry m_crashes;
};

}
