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

// What a table agent has done since its start.
struct TableCounters {
    std::uint64_t pulls = 0;
    std::uint64_t pullFailures = 0;
    std::uint64_t wholePulls = 0;
    std::uint64_t announcementsSent = 0;
    std::uint64_t rejectedValues = 0;
};

// Keeps a host's tables at the highest accepted revision. Two hosts of each data centre watch the platform's service and
// announce a new revision to their data centre; the others pull it from the announcer. Every host also tells its revision to
// a few hosts at intervals, so that a lost announcement or a cut data centre is mended by peers.
//
// Construct it before the datagram channel and the peer server start, since it registers handlers, and call start().
class TableAgent {
public:
    TableAgent(boost::asio::io_context&, HttpPlatform&, TableStore&, const MemberDirectory&, peer::DatagramChannel&,
        peer::PeerServer&, peer::PeerClient&);
    TableAgent(const TableAgent&) = delete;
    TableAgent& operator=(const TableAgent&) = delete;

    void start();

    // True while this host is one of its data centre's watchers.
    bool isWatching() const { return m_isWatching; }
    const TableCounters& counters() const { return m_counters; }

private:
    struct Announced {
        Address from;
        std::uint64_t revision = 0;
    };

    boost::asio::awaitable<void> watchLoop();
    boost::asio::awaitable<void> pullLoop();
    boost::asio::awaitable<void> announceLoop();
    boost::asio::awaitable<void> collectAtStart();
    boost::asio::awaitable<void> watchOnce();
    boost::asio::awaitable<void> restore(Revision serviceRevision);
    boost::asio::awaitable<std::optional<Tables>> pullFrom(Address);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds);
    std::optional<Tables> parseValue(const std::string&);
    void take(Tables, bool fromOwnDataCentre);
    void onAnnouncement(const Address& from, TablesAnnouncement);
    TablesDelta answerPull(const PullTables&) const;
    void announceToDataCentre();
    void announceToSome(bool ownDataCentre, std::size_t count);
    bool isOwnWatcher() const;
    bool isInOwnDataCentre(const Address&) const;
    std::vector<Member> others(bool ownDataCentre) const;
    std::uint64_t heldRevision() const { return m_store.snapshot()->revision; }

    boost::asio::io_context& m_context;
    HttpPlatform& m_platform;
    TableStore& m_store;
    const MemberDirectory& m_members;
    peer::DatagramChannel& m_datagrams;
    peer::PeerClient& m_peers;
    Mailbox<Announced> m_announced;
    std::deque<std::shared_ptr<const Tables>> m_history;
    std::minstd_rand m_random;
    Revision m_seen = 0;
    bool m_isWatching = false;
    TableCounters m_counters;
};

}
