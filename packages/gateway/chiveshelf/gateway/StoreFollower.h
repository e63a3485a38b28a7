#pragma once

#include "chiveshelf/gateway/ChangeLog.h"
#include "chiveshelf/gateway/HostExchange.h"
#include "chiveshelf/gateway/StoreCursor.h"
#include "chiveshelf/gateway/WatcherElection.h"
#include "platform/StoreClient.h"

#include <boost/asio/steady_timer.hpp>

namespace chiveshelf {

// Keeps the serving state up to date with the key-value store by a full read followed by long-polling watches. In a data centre
// with enough hosts only a few watch and relay the changes to the others; see WatcherElection.
//
// Failed calls are retried with a growing delay. If the store's history is lost or the store was restored from an older copy, everything
// is read again. Until the first read
// succeeds, the contacts are asked for tables. A host that missed relayed changes requests them from the sender, and reads
// everything if the sender no longer has them. The tables themselves are not relayed with the changes; see TablesExchange.
class StoreFollower {
public:
    StoreFollower(boost::asio::io_context&, const GatewaySettings&, platform::StoreClient&, ServingState&, HostExchange&);
    StoreFollower(const StoreFollower&) = delete;
    StoreFollower& operator=(const StoreFollower&) = delete;

    void start();
    void stop() { m_isStopped = true; }

    // The last known registrations of hosts and the leader's item, by key.
    const std::map<std::string, StoredItem>& hostItems() const { return m_hostItems; }

    // Time of the last removal of the leader's key, or of the last full read if that was later.
    TimePoint leaderKeyFreeSince() const { return m_leaderKeyFreeSince; }

    // Registered runners and announced versions as key and text, for hosts that can't read the store.
    std::vector<std::pair<std::string, std::string>> relayItems() const;

    // Applies a notice of a host that watches the store, or requests the changes that it lacks from that host.
    void onStoreNotice(const Address& from, const StoreNotice&);

    // Returns the changes after a position, for a host that missed them; incomplete if not all of them are known.
    StoreChangesReply changesAfter(StorePosition) const;

    // Applies items received from a peer, unless this host has already read the store.
    void applyRelayedItems(const std::vector<std::pair<std::string, std::string>>&);

    // Number of texts of the tables that were decoded.
    std::size_t decodedTablesCount() const { return m_decodedTablesCount; }

    // All changes up to this position are known.
    StorePosition position() const { return m_cursor.position(); }

    // The revision of the software record of a pool, 0 if the store has none.
    Revision softwareRevision(const std::string& pool) const;

    // Whether the last call to the store succeeded.
    bool isInContact() const { return m_isInContact; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> expireLoop();
    // Reads and applies all items. Returns whether that succeeded.
    boost::asio::awaitable<bool> readAll();
    // The same, and after a failure gets tables from a contact if there are none, and waits.
    boost::asio::awaitable<void> readOrPause();
    // Returns all items and the position of the first page, or nothing if a call failed.
    boost::asio::awaitable<std::optional<std::pair<StorePosition, std::vector<StoredItem>>>> readPages();
    // Handles the news that the store was restored from an older copy.
    void onRestored(StoreEra);
    boost::asio::awaitable<void> readRestored();
    boost::asio::awaitable<void> follow();
    // Returns the timeout of a watch of a host that relays no changes.
    std::chrono::milliseconds longWatchTimeout() const;
    boost::asio::awaitable<void> pullChanges(Address from);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    // Returns a random time below the limit.
    std::chrono::milliseconds upTo(std::chrono::milliseconds limit);
    // Whether the data centre has enough hosts for only some of them to watch the store and relay its changes.
    bool isRelaying() const;
    bool mustWatch() const;
    // Applies the changes after the known position and moves it to the batch's.
    void applyBatch(const ChangeBatch&);
    // Sends the changes after `from`, or the absence of changes, to the other hosts of the data centre.
    void announce(StorePosition from, const ChangeBatch&);
    // Handles a notice of `host` that leaves no gap after the changes already known.
    void onCurrentNotice(std::uint64_t host);
    boost::asio::awaitable<void> pauseBeforeRetry();
    void apply(const ItemChange&);
    // Applies all items of the store, which were read in this era.
    void applyAll(const std::vector<StoredItem>&, StoreEra);
    // Tells all hosts of the runners that have left since the copy from which the store was restored. Hosts that started since then
    // don't know of it.
    void announceLeftRunners();
    // Decodes the text of the tables, unless it is the one decoded last, and applies them if they are newer than the current ones.
    void applyTables(const std::string& text, std::string_view way);
    // Reads only the tables from the store and applies them.
    boost::asio::awaitable<void> readTables();
    void applySoftwareRecord(const ItemChange&);
    // Applies an item. Those of a full read are added to the lists, which replace what was known.
    void applyDecoded(const ItemChange&, std::vector<RunnerRecord>* runners, std::set<std::string>* evacuations);
    void finishChanges();
    // Makes the registry's runners the ones in use, and logs how many of them are missing in the store.
    void refreshRunners();
    // Logs a runner that is new, has restarted or leaves.
    void logRunner(const RunnerRecord&) const;
    void onContact();
    void onFailure(const Error&, std::string_view call, TimePoint sentAt);

    boost::asio::io_context& m_context;
    platform::StoreClient& m_store;
    ServingState& m_state;
    HostExchange& m_exchange;
    std::map<std::string, StoredItem> m_hostItems;
    std::map<std::string, std::string> m_relayItems;
    // Revisions of the software records by pool.
    std::map<std::string, Revision> m_softwareRevisions;
    // bootTime() of the last answer or notice of the store.
    std::chrono::nanoseconds m_lastContactAt { 0 };
    std::chrono::milliseconds m_retryDelay;
    // The known position when contact with the store was last lost.
    StorePosition m_positionAtLoss;
    TimePoint m_leaderKeyFreeSince {};
    std::uint64_t m_rank;
    WatcherElection m_election;
    ChangeLog m_log;
    StoreCursor m_cursor;
    // Numbers of runners that the restored store lists although they leave or have left, and until when to tell other hosts.
    std::vector<std::uint32_t> m_leftRunners;
    TimePoint m_leftRunnersUntil {};
    TimePoint m_leftRunnersToldAt {};
    // Hash of the text of the tables that was decoded last. The same text arrives by watches, full reads and from other hosts.
    std::uint64_t m_tablesTextHash = 0;
    std::size_t m_decodedTablesCount = 0;
    std::size_t m_deferredRemovals = 0;
    bool m_isReadingAll = false;
    bool m_isPullingChanges = false;
    bool m_isInContact = false;
    bool m_hasRead = false;
    bool m_haveHostsChanged = false;
    bool m_isStopped = false;
};

// Prefix of the keys under which hosts register.
constexpr std::string_view hostKeyPrefix = "hosts/";
// Key held by the host that sends orders to runners.
constexpr std::string_view leaderKey = "rollout/leader";

}
