#pragma once

#include "chiveshelf/keyvalue/HttpPlatform.h"
#include "chiveshelf/membership/FailureDetector.h"
#include "chiveshelf/peer/PeerClient.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace chiveshelf {

// Counters since the start of the process, for metrics.
struct MembershipCounters {
    std::uint64_t suspicions = 0;
    std::uint64_t removals = 0;
    std::uint64_t returns = 0;
    std::uint64_t ownSuspicions = 0;
    std::uint64_t sentDatagrams = 0;
    std::uint64_t receivedDatagrams = 0;
};

// Keeps the member directory current: connects the failure detector to the datagram channel and passes it the platform's host
// list. Construct it before the datagram channel starts, subscribe, and call start().
class MembershipService {
public:
    using ChangeListener = std::function<void(const MemberChange&)>;
    using RevisionListener = std::function<void(const Address&, std::uint64_t revision)>;

    MembershipService(boost::asio::io_context&, HttpPlatform&, peer::DatagramChannel&, peer::PeerClient&, MemberDirectory&);
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    void start();

    // Registers a callback for each change of a member's state, including this host's own.
    void subscribe(ChangeListener);

    // Sets the function that returns the revision of the tables to include in each datagram, and the callback for the revisions
    // that other hosts send.
    void exchangeRevisions(std::function<std::uint64_t()> own, RevisionListener);

    // Announces that this host is leaving. Each further call repeats the announcement.
    void announceLeaving();

    // Announces that this host is gone.
    void announceGone();

    // Probes the member with this peer address at once, because a connection to it was lost.
    void reportLostConnection(const Address&);

    const MembershipCounters& counters() const { return m_counters; }

private:
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> refreshLoop();
    bool isListReader() const;
    void flush();
    void handleChange(const MemberChange&);

    boost::asio::io_context& m_context;
    HttpPlatform& m_platform;
    peer::DatagramChannel& m_datagrams;
    peer::PeerClient& m_peers;
    MemberDirectory& m_directory;
    FailureDetector m_detector;
    MembershipCounters m_counters;
    std::vector<ChangeListener> m_listeners;
    std::function<std::uint64_t()> m_revisionSource;
    RevisionListener m_revisionListener;
    bool m_isListed = false;
};

}
