#pragma once

#include "chiveshelf/gateway/CrashNotices.h"
#include "chiveshelf/gateway/FleetLimits.h"
#include "chiveshelf/gateway/HostMessages.h"
#include "chiveshelf/gateway/OriginExchange.h"
#include "chiveshelf/gateway/ServingState.h"
#include "chiveshelf/gateway/SuspicionNotices.h"
#include "chiveshelf/gateway/TablesExchange.h"
#include "chiveshelf/peer/PeerClient.h"
#include "chiveshelf/peer/PeerServer.h"
#include "platform/RequestHeaders.h"
#include "platform/RunnerOrders.h"

#include <set>
#include <unordered_map>

namespace chiveshelf {

// Exchanges state with the other hosts: outstanding work, prompt placements, requests that crash runners, weights being loaded,
// the limits of runners, the origins of streams, the contents of stores of cached parts, and changes of the key-value store. Hosts that
// can't read the key-value store get its tables from here. Messages may be lost: that makes decisions less precise, but never wrong.
class HostExchange {
public:
    // Handles raw items (key and text) received from a peer.
    using ItemHandler = std::function<void(const std::vector<std::pair<std::string, std::string>>&)>;
    using ItemSource = std::function<std::vector<std::pair<std::string, std::string>>()>;

    HostExchange(boost::asio::io_context&, const GatewaySettings&, ServingState&);
    HostExchange(const HostExchange&) = delete;
    HostExchange& operator=(const HostExchange&) = delete;

    // Sets the source of the items sent to peers and the handler for items received from them. Call before start().
    void setItemHandlers(ItemSource, ItemHandler);

    // Handles a notice of the key-value store sent by a host of this data centre.
    using StoreNoticeHandler = std::function<void(const Address& from, const StoreNotice&)>;
    using ChangeSource = std::function<StoreChangesReply(StorePosition after)>;
    using TablesReader = std::function<boost::asio::awaitable<void>()>;

    // Sets the handler for notices of the key-value store, the source of the changes that other hosts request, and how the tables are
    // read from the store. Call before start().
    void setStoreHandlers(StoreNoticeHandler, ChangeSource, TablesReader);

    // Sends a notice of the key-value store to the hosts of this data centre.
    void announceStore(const StoreNotice& notice) { m_datagrams.sendToAll(m_dataCentreHosts, notice); }

    // Requests the changes in the key-value store after a position from a host.
    boost::asio::awaitable<Result<StoreChangesReply>> pullStoreChanges(Address, StorePosition after);

    // Number of hosts known to be in this data centre, including this one.
    std::size_t dataCentreHostCount() const { return m_dataCentreHosts.size() + 1; }

    // The hash of this host's name, which identifies it in notices.
    std::uint64_t hostHash() const { return m_hostHash; }

    // Binds the peer address. Fails with Unavailable if it can't be bound.
    Result<void> start();
    void stop();

    // Sets the peer addresses of the other hosts, from their registrations. A host whose registration is missing still counts while
    // its notices arrive: the store may have lost the registrations of hosts that are well.
    void setHosts(std::map<std::string, Address> hosts);

    // Number of hosts, including this one.
    std::size_t hostCount() const { return m_hosts.size() + 1; }

    // Sends a notice of a placed prompt to the hosts of this data centre, or to all hosts if the fleet is small or prefill takes
    // long, within the budget for such notices. Other hosts get the prompt's parts with the next load notice.
    void announcePlacement(const Placement&, unsigned priority, const std::vector<PromptPart>&, std::uint64_t scope);

    // Whether the fleet is small enough for placement notices to go to all hosts instead of only those of this data centre.
    bool isSmallFleet() const;

    // Applies what an answer of a runner with this status states of its shutdown and of a pause, and tells all hosts of the shutdown.
    void applyAnswer(BackendState&, const platform::RunnerHeaders&, unsigned status);

    // Tells all hosts that these runners leave or have left, by runnerNumber().
    void announceLeaving(const std::vector<std::uint32_t>& runners);

    void announceRollout(const RunnerRecord&, const std::string& model, std::uint64_t version, bool isDone);

    // The evidence of crashed runners that the hosts share.
    CrashNotices& crashNotices() { return m_crashNotices; }

    // The failed connections to runners that the hosts share.
    SuspicionNotices& suspicions() { return m_suspicions; }
    const SuspicionNotices& suspicions() const { return m_suspicions; }

    // The origins of streams that the hosts share.
    OriginExchange& origins() { return m_origins; }

    // Counts a call to a runner that is no request of a caller against the limit that it states. Returns the handler of its answer.
    platform::AnswerHandler countCall(const std::shared_ptr<BackendState>&);

    // Applies the limit that an answer of a runner states, or that it states none, and tells all hosts if it changed. The request was
    // sent at `sentAt`.
    void applyLimit(BackendState&, std::optional<double> perSecond, TimePoint sentAt);
    // Counts a request that is about to be sent to a runner. Returns whether the runner states a limit.
    bool countSend(BackendState& runner) { return m_limits.recordSend(runner, std::chrono::steady_clock::now()); }
    // Tells all hosts that a counted request reaches its runner.
    void announceSend(const BackendState&);

    // Sends changes in the contents of a store of cached parts to all other hosts.
    void announceCache(const CacheNotice& notice) { sendToAll(notice); }

    // Sets the handler for cache notices of other hosts. Call before start().
    void setCacheHandler(std::function<void(const CacheNotice&)> handler) { m_cacheHandler = std::move(handler); }

    // Returns this host's position among all hosts in the rendezvous hashing order of `subject`, 0 for the first.
    std::size_t rendezvousPosition(std::string_view subject) const;

    // Requests items from the contacts in turn until one of them has tables, and begins to fetch these.
    boost::asio::awaitable<void> pullFromContacts();

    // The routing tables that the hosts spread.
    TablesExchange& tables() { return m_tables; }
    const TablesExchange& tables() const { return m_tables; }

private:
    // Measured times of requests that are to be sent, by the runner's number and the range of loads.
    using PendingCapacities = std::map<std::pair<std::uint32_t, std::uint8_t>, CapacitySample>;

    boost::asio::awaitable<void> noticeLoop();
    // Tells the limits of runners that this host handles notices.
    boost::asio::awaitable<void> awakeLoop();
    // Whether this host keeps trying a runner that is suspected. One host of each data centre does, by rendezvous hashing.
    bool triesSuspected(std::uint32_t runner) const;
    // Returns the other hosts that hold the record of a stream's origin.
    std::vector<Address> originHolders(std::uint64_t stream) const;
    // Sends load notices to hosts that get the next ones after `interval`.
    template <typename Addresses>
    void sendNotice(const Addresses&, std::chrono::milliseconds interval, std::vector<PlacedPart> parts, std::vector<StoreSpeedEntry> storeSpeeds,
        PendingCapacities& capacities);
    void sendNotices();
    // Whether the fleet is so large that hosts of other data centres get load notices less often and no placement notices.
    bool limitsRemoteNotices() const;
    // Returns this host's outstanding work, sorted by runner number.
    std::vector<RunnerLoadEntry> ownLoads() const;
    std::vector<VersionAge> versionAges() const;
    // Returns the transfer times of stores of cached parts that this host has measured since the last call.
    std::vector<StoreSpeedEntry> takeStoreSpeeds();
    void onStoreSpeeds(const std::vector<StoreSpeedEntry>&);
    // Adds the times of requests that this host has measured since the last call to those to be sent.
    void collectCapacities();
    // Moves up to `n` entries from `pending`.
    static std::vector<RunnerCapacityEntry> takeCapacities(PendingCapacities& pending, std::size_t n);
    void onCapacities(const std::vector<RunnerCapacityEntry>&, TimePoint now);
    // Logs, at an interval, which runners have become slow or fast compared to their pools.
    void logCapacities(TimePoint now);
    template <typename Addresses>
    void sendParts(const Addresses&, const std::vector<PlacedPart>&);
    void onLoad(const Address& from, const LoadNotice&);
    // Records what a notice tells of its sender's contact with the key-value store.
    void noteContact(const LoadNotice&, TimePoint now);
    void onParts(const std::vector<PlacedPart>&);
    void onRollout(const RolloutNotice&);
    void onLeaving(const LeavingNotice&);
    void onPlacement(const PlacementNotice&);
    void updateHosts(TimePoint now);
    void updateReceivers();
    void sendLimits(TimePoint now);
    // Takes placement notices for `receivers` hosts from the budget and returns whether it allows them. Prompts without a long
    // prefill may use only half of the budget.
    bool reserveNotices(std::size_t receivers, bool isLongPrefill);
    // Interval of load notices to the hosts of this data centre, or to all hosts while no host of this data centre is known.
    std::chrono::milliseconds noticeInterval() const;
    // Interval of load notices to the hosts of other data centres.
    std::chrono::milliseconds remoteNoticeInterval() const;

    template <typename Message>
    void sendToAll(const Message& message)
    {
        m_datagrams.sendToAll(m_hosts, message);
    }

    boost::asio::io_context& m_context;
    const GatewaySettings& m_settings;
    ServingState& m_state;
    std::uint64_t m_hostHash;
    peer::DatagramChannel m_datagrams;
    peer::PeerServer m_server;
    peer::PeerClient m_client;
    ItemSource m_itemSource;
    ItemHandler m_itemHandler;
    std::function<void(const CacheNotice&)> m_cacheHandler;
    StoreNoticeHandler m_storeNoticeHandler;
    ChangeSource m_changeSource;
    TablesReader m_tablesReader;
    FleetLimits m_limits;
    CrashNotices m_crashNotices;
    SuspicionNotices m_suspicions;
    OriginExchange m_origins;
    TablesExchange m_tables;
    TimePoint m_lastLimitNoticeAt {};
    std::map<std::string, Address> m_registeredHosts;
    // Time of the last load notice, by the hash of the host's name.
    std::unordered_map<std::uint64_t, TimePoint> m_heardAt;
    // The registered hosts, and others that are still heard from.
    std::map<std::string, Address> m_hosts;
    // Hashes of the names of hosts that have sent a load notice from this data centre.
    std::set<std::uint64_t> m_dataCentreHostHashes;
    // Hosts that get the notices of all announced placements.
    std::map<std::string, Address> m_placementReceivers;
    std::map<std::string, Address> m_dataCentreHosts;
    std::map<std::string, Address> m_remoteHosts;
    // Numbers of the runners at which another host has reported work, by the hash of that host's name.
    std::unordered_map<std::uint64_t, std::set<std::uint32_t>> m_peerRunners;
    // Placement notices that may be sent now, counted per receiver.
    double m_noticeBudget = 0;
    TimePoint m_noticeBudgetUpdatedAt {};
    std::vector<PlacedPart> m_pendingParts;
    // Parts for the less frequent notices to hosts of other data centres.
    std::vector<PlacedPart> m_remoteParts;
    std::vector<StoreSpeedEntry> m_remoteStoreSpeeds;
    PendingCapacities m_pendingCapacities;
    PendingCapacities m_remoteCapacities;
    // Numbers of the runners that were logged as slow, and the time of the last check.
    std::set<std::uint32_t> m_slowRunners;
    TimePoint m_lastCapacityLogAt {};
    TimePoint m_lastRemoteNoticeAt {};
    bool m_isStopped = false;
};

}
