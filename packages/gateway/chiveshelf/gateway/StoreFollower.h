#pragma once

#include "chiveshelf/gateway/ChangeLog.h"
#include "chiveshelf/gateway/HostExchange.h"
#include "chiveshelf/gateway/WatcherElection.h"
#include "platform/StoreClient.h"

#include <boost/asio/steady_timer.hpp>

namespace chiveshelf {

// Follows the store by one read of everything and then one long watch, and keeps the serving state in step with it. In a data
// centre with several hosts only some watch and tell the others; see WatcherElection.
//
// Failures: calls that fail are repeated with growing pauses, a lost history leads to a new full read, and while nothing was
// ever read the contacts are asked. A host that misses changes of others asks them, and reads if they no longer have them.
class StoreFollower {
public:
    StoreFollower(boost::asio::io_context&, platform::StoreClient&, ServingState&, HostExchange&);
    StoreFollower(const StoreFollower&) = delete;
    StoreFollower& operator=(const StoreFollower&) = delete;

    void start();
    void stop() { m_isStopped = true; }

    // Registrations of hosts and the leader's key, as last seen. Values by key.
    const std::map<std::string, StoredItem>& ownItems() const { return m_ownItems; }

    // Since when nobody is seen to hold the leader's key.
    TimePoint leaderGoneSince() const { return m_leaderGoneSince; }

    // Registered runners and named versions as key and text, for hosts that the store refuses.
    std::vector<std::pair<std::string, std::string>> relayItems() const;

    // Takes what a host that watches tells.
    void takeNotice(const Address& from, const StoreNotice&);

    // Returns the changes after a revision, for a host that missed them.
    StoreChangesReply changesAfter(Revision) const;

    // Takes items of a peer. Only what the own view lacks is used.
    void applyRelayedItems(const std::vector<std::pair<std::string, std::string>>&);

    // Takes tables that a peer relayed.
    void applyRelayedTables(const std::string& text);

    // Whether the last call to the store succeeded.
    bool isInContact() const { return m_isInContact; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> expireLoop();
    boost::asio::awaitable<std::optional<Revision>> readAll();
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> pullChanges(Address from);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds);
    // Whether hosts of this data centre tell each other of changes.
    bool isRelaying() const;
    bool mustWatch() const;
    // Applies the changes that are newer than what is known, and goes on from the batch's revision.
    void advance(const ChangeBatch&);
    // Tells the other hosts of changes after `from`, or that there were none.
    void announce(Revision from, const ChangeBatch&);
    void onRelayed(std::uint64_t host);
    boost::asio::awaitable<void> pause();
    void apply(const ItemChange&);
    void applyAll(const std::vector<StoredItem>&);
    void applyDecoded(const ItemChange&, std::vector<RunnerRecord>* runners);
    void finishChanges();
    void onContact();
    void onFailure(const Error&, std::string_view call);

    boost::asio::io_context& m_context;
    platform::StoreClient& m_store;
    ServingState& m_state;
    HostExchange& m_exchange;
    std::map<std::string, StoredItem> m_ownItems;
    std::map<std::string, std::string> m_relayTexts;
    std::chrono::milliseconds m_pause;
    TimePoint m_leaderGoneSince {};
    WatcherElection m_election;
    ChangeLog m_log;
    // Up to where the changes are known.
    Revision m_revision = 0;
    // Whether only a read can tell what was missed.
    bool m_mustRead = true;
    bool m_isReading = false;
    bool m_isPulling = false;
    bool m_isInContact = false;
    bool m_hasRead = false;
    bool m_haveHostsChanged = false;
    bool m_isStopped = false;
};

// Key prefix below which hosts register, and the key of the host that gives orders to runners.
constexpr std::string_view hostKeyPrefix = "hosts/";
constexpr std::string_view leaderKey = "rollout/leader";

}
