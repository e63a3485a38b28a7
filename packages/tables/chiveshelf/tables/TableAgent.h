#pragma once

#include "chiveshelf/keyvalue/HttpPlatform.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/peer/DatagramChannel.h"
#include "chiveshelf/peer/PeerClient.h"
#include "chiveshelf/tables/TableStore.h"
#include "chiveshelf/tables/TablesDelta.h"

#include "chiveshelf/core/Mailbox.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <random>

namespace chiveshelf {

// Counts of a table agent since its start.
struct TableCounters {
    std::uint64_t pulls = 0;
    std::uint64_t pullFailures = 0;
    // Pulls whose reply contained the whole tables.
    std::uint64_t wholePulls = 0;
    std::uint64_t announcementsSent = 0;
    // Invalid tables read from the platform's key-value service.
    std::uint64_t rejectedValues = 0;
};

// Keeps a host's tables at the highest accepted revision. Two hosts of each data centre watch the platform's key-value service
// and announce new revisions to the other hosts of their data centre, which pull the tables from the announcing host. Every host
// also announces its revision to a few random hosts at intervals, so that hosts recover from lost announcements and from a
// network partition of their data centre.
//
// Construct the agent before the datagram channel and the peer server start, because it registers handlers; then call start().
class TableAgent {
public:
    TableAgent(boost::asio::io_context&, HttpPlatform&, TableStore&, const MemberDirectory&, peer::DatagramChannel&,
        peer::PeerServer&, peer::PeerClient&);
    TableAgent(const TableAgent&) = delete;
    TableAgent& operator=(const TableAgent&) = delete;

    void start();

    // Returns true while this host is one of the watchers of its data centre.
    bool isWatching() const { return m_isWatching; }
    const TableCounters& counters() const { return m_counters; }

private:
    struct ReceivedAnnouncement {
        Address from;
        std::uint64_t revision = 0;
    };

    boost::asio::awaitable<void> watchLoop();
    boost::asio::awaitable<void> pullLoop();
    boost::asio::awaitable<void> announceLoop();
    boost::asio::awaitable<void> loadInitialTables();
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> restoreStoredTables(Revision keyRevision);
    boost::asio::awaitable<std::optional<Tables>> pullFrom(Address);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds);
    std::optional<Tables> parseStoredTables(const std::string&);
    void applyIfNewer(Tables, bool fromOwnDataCentre);
    void onAnnouncement(const Address& from, TablesAnnouncement);
    TablesDelta answerPull(const PullTables&) const;
    void announceToDataCentre();
    void announceToRandomMembers(bool ownDataCentre, std::size_t count);
    bool shouldWatch() const;
    bool isInOwnDataCentre(const Address&) const;
    std::vector<Member> otherMembers(bool ownDataCentre) const;
    std::uint64_t heldRevision() const { return m_store.snapshot()->revision; }

    boost::asio::io_context& m_context;
    HttpPlatform& m_platform;
    TableStore& m_store;
    const MemberDirectory& m_members;
    peer::DatagramChannel& m_datagrams;
    peer::PeerClient& m_peers;
    Mailbox<ReceivedAnnouncement> m_receivedAnnouncements;
    std::deque<std::shared_ptr<const Tables>> m_history;
    std::minstd_rand m_random;
    Revision m_lastKeyRevision = 0;
    bool m_isWatching = false;
    TableCounters m_counters;
};

}
