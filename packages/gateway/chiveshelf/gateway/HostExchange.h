#pragma once

#include "chiveshelf/gateway/HostMessages.h"
#include "chiveshelf/gateway/ServingState.h"
#include "chiveshelf/peer/PeerClient.h"
#include "chiveshelf/peer/PeerServer.h"

#include <set>
#include <unordered_map>

namespace chiveshelf {

// What hosts tell each other: their outstanding work, requests that crash runners, weights being loaded, and tables for hosts
// that the store refuses. All of it is soft: a lost message costs precision, never correctness.
class HostExchange {
public:
    // Called with raw items (key and text) that a peer knows.
    using ItemHandler = std::function<void(const std::vector<std::pair<std::string, std::string>>&)>;
    using ItemSource = std::function<std::vector<std::pair<std::string, std::string>>()>;
    using TablesHandler = std::function<void(const std::string& text)>;

    HostExchange(boost::asio::io_context&, const GatewaySettings&, ServingState&);
    HostExchange(const HostExchange&) = delete;
    HostExchange& operator=(const HostExchange&) = delete;

    // Sets what is given to and taken from peers beside the tables' version. Call before start().
    void setRelay(ItemSource, ItemHandler, TablesHandler);

    // Called with what a host of this data centre tells of the store, and with a revision after which a host asks for changes.
    using StoreNoticeHandler = std::function<void(const Address& from, const StoreNotice&)>;
    using ChangeSource = std::function<StoreChangesReply(std::uint64_t after)>;

    // Sets who follows the store. Call before start().
    void setStoreFollower(StoreNoticeHandler, ChangeSource);

    // Tells the hosts of this data centre what the store answered.
    void announceStore(const StoreNotice& notice) { m_datagrams.sendToAll(m_sameDataCentre, notice); }

    // Asks a host for the changes of the store after a revision.
    boost::asio::awaitable<Result<StoreChangesReply>> pullStoreChanges(Address, std::uint64_t after);

    // Hosts of this data centre that are known to be such, this one included.
    std::size_t dataCentreHostCount() const { return m_sameDataCentre.size() + 1; }

    // The number under which this host is known to the others.
    std::uint64_t hostNumber() const { return m_hostHash; }

    // Binds the peer address. Fails with Unavailable if it can not be bound.
    Result<void> start();
    void stop();

    // Sets the peer addresses of the other hosts, from their registrations.
    void setHosts(std::map<std::string, Address> hosts);

    // Hosts including this one.
    std::size_t hostCount() const { return m_hosts.size() + 1; }

    // Tells close hosts, or all if it takes long to read, at once that a prompt was sent as placed. Others hear of its parts with
    // the next notice.
    void announcePlacement(const Placement&, unsigned rank, const std::vector<PromptPart>&, std::uint64_t scope);

    // Whether all hosts are told of each prompt at once.
    bool isSmallFleet() const;

    void announceCrash(const std::string& fingerprint, const std::string& runner);
    // Tells that a runner said that it leaves, so that the others need not hear it from the runner.
    void announceLeaving(const RunnerRecord&);
    void announceRollout(const RunnerRecord&, const std::string& model, std::uint64_t version, bool isDone);

    // Tells the others what a store holds.
    void announceCache(const CacheNotice& notice) { sendToAll(notice); }

    // Sets who takes such notices. Call before start().
    void setCacheHandler(std::function<void(const CacheNotice&)> handler) { m_cacheHandler = std::move(handler); }

    // Returns this host's place among all hosts in an order that depends on `subject`, 0 for the first.
    std::size_t rankFor(std::string_view subject) const;

    // Asks a host, or a contact, for newer tables and, if asked for, for items.
    boost::asio::awaitable<bool> pull(Address, bool wantsItems);

    // Asks the contacts in turn until one of them has tables.
    boost::asio::awaitable<bool> pullFromContacts();

private:
    boost::asio::awaitable<void> noticeLoop();
    boost::asio::awaitable<void> pullSoon(Address);
    // Tells hosts of this one's work, as they hear it again after `interval`.
    template <typename Addresses>
    void sendNotice(const Addresses&, std::chrono::milliseconds interval, std::vector<PlacedPart> parts, std::vector<StoreSpeedEntry> storeSpeeds);
    void sendNotices();
    // Whether hosts of other data centres are told less than those of this one.
    bool areFarHostsToldLess() const;
    // Returns this host's work, in the order of the runners' numbers.
    std::vector<RunnerLoadEntry> ownLoads() const;
    std::vector<VersionAge> versionAges() const;
    // Returns what this host has measured of stores since the last call.
    std::vector<StoreSpeedEntry> takeStoreSpeeds();
    void onStoreSpeeds(const std::vector<StoreSpeedEntry>&);
    template <typename Addresses>
    void sendParts(const Addresses&, const std::vector<PlacedPart>&);
    void onLoad(const Address& from, const LoadNotice&);
    void onParts(const std::vector<PlacedPart>&);
    void onRollout(const RolloutNotice&);
    void onLeaving(const LeavingNotice&);
    void onPlacement(const PlacementNotice&);
    void updateCloseHosts();
    // Takes notices to so many hosts from the budget, of which prompts that take long to read may use more.
    bool takeNotices(std::size_t receivers, bool isLong);
    // How often the hosts of this data centre are told, and all in a fleet whose data centres are not known yet; and the others.
    std::chrono::milliseconds noticeInterval() const;
    std::chrono::milliseconds farNoticeInterval() const;

    template <typename Message>
    void sendToAll(const Message& message)
    {
        m_datagrams.sendToAll(m_hosts, message);
    }

    boost::asio::io_context& m_context;
    const GatewaySettings& m_settings;
    ServingState& m_state;
    peer::DatagramChannel m_datagrams;
    peer::PeerServer m_server;
    peer::PeerClient m_client;
    ItemSource m_itemSource;
    ItemHandler m_itemHandler;
    TablesHandler m_tablesHandler;
    std::function<void(const CacheNotice&)> m_cacheHandler;
    StoreNoticeHandler m_storeHandler;
    ChangeSource m_changeSource;
    std::map<std::string, Address> m_hosts;
    // The hosts in this data centre, by the hash of their names, as far as they have told; and those that are told of each prompt.
    std::set<std::uint64_t> m_nearHosts;
    std::map<std::string, Address> m_closeHosts;
    std::map<std::string, Address> m_sameDataCentre;
    std::map<std::string, Address> m_farHosts;
    // The runners at which a host told to have work, by the hash of the host's name.
    std::unordered_map<std::uint64_t, std::set<std::uint32_t>> m_toldRunners;
    // Placement notices that may be sent now, one for each receiver.
    double m_noticeBudget = 0;
    TimePoint m_noticeBudgetAt {};
    std::vector<PlacedPart> m_parts;
    // Parts for hosts of other data centres, which are told less often.
    std::vector<PlacedPart> m_farParts;
    std::vector<StoreSpeedEntry> m_farStoreSpeeds;
    TimePoint m_farNoticeAt {};
    std::uint64_t m_hostHash;
    // Versions that are being fetched already.
    std::uint64_t m_pulledVersion = 0;
    bool m_isStopped = false;
};

}
