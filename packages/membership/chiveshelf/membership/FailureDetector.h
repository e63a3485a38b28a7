#pragma once

#include "chiveshelf/keyvalue/KeyValueStore.h"
#include "chiveshelf/membership/Gossip.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/membership/MemberStateMachine.h"

#include <deque>
#include <optional>
#include <random>

namespace chiveshelf {

// Time limits and sizes of the failure detector.
struct DetectorLimits {
    // Interval between two regular probes.
    std::chrono::milliseconds protocolPeriod { 500 };
    // Time to wait for an Ack to a direct probe before asking other hosts to probe. Covers the longest round trip within a
    // region plus a scheduling pause of a busy host.
    std::chrono::milliseconds directAckTimeout { 200 };
    // Time that a suspect member has to refute the suspicion before it is declared gone. Three protocol periods, so that a
    // lost datagram does not remove a live host.
    std::chrono::milliseconds suspicionTimeout { 1'500 };
    // Time for which the record of a gone member is kept. Gone members are probed in the background, so that the two sides of
    // a network partition rejoin without the platform's host list.
    std::chrono::milliseconds goneRetention { 600'000 };
    // Time after which a host that suspects itself becomes Live again without an Ack from a peer, since all peers may be down.
    std::chrono::milliseconds selfSuspicionTimeout { 1'000 };
    // Time for which a host that has started or returned owns no roles under OwnershipPolicy::BarReturned. Covers a network
    // outage of 3 s right after the return.
    std::chrono::milliseconds returnBarTime { 5'000 };
    // Hosts that start within this time of each other do not bar each other from ownership.
    std::chrono::milliseconds startSkew { 1'000 };
    // Hosts asked to probe a member that did not answer a direct probe.
    std::size_t indirectProbers = 2;
    std::size_t maxUpdatesPerDatagram = 8;
    // Unchanged members added to each datagram in turn, so that a host that missed an update receives it later.
    std::size_t repeatedUpdates = 2;
    // Members of each other data centre that this host tracks.
    std::size_t contactsPerDataCentre = 4;
    // Listed hosts that are sent a Join at the same time. Each answers with several datagrams.
    std::size_t concurrentJoins = 3;
    // Assumed upper bound of the delay before a change of the platform's host list is visible to this host.
    std::chrono::milliseconds maxListLag { 10'000 };
    // Protocol periods between two background probes. These go to contacts in other data centres, gone members and listed
    // hosts that have not answered yet.
    std::uint64_t periodsPerBackgroundProbe = 4;
};

// A datagram for the caller to send.
struct OutgoingGossip {
    Address to;
    Gossip message;
};

// A member that was added or changed its state.
struct MemberChange {
    Member member;
    // The previous state, or nothing if the member is new.
    std::optional<MemberState> before;
};

// SWIM-style failure detection without I/O. Call tick() every few tens of milliseconds and receive() for each datagram, then
// send the datagrams from takeOutgoing() and process the changes from takeChanges(). The detector keeps the directory current.
//
// This host's own state is Live or Leaving (after startLeaving() or through the leaving flag in the platform's host list). It
// is Suspect after a gap between two calls that is longer than `suspicionTimeout`: the process was paused, other hosts may
// have declared it gone, and it probes them before it relies on its own view again.
//
// A neighbour is a member of this host's data centre.
class FailureDetector {
public:
    using Clock = std::chrono::steady_clock;

    // `incarnation` must be higher than that of any earlier process with the same host name.
    FailureDetector(MemberDirectory&, DetectorLimits, std::uint64_t incarnation, std::uint32_t seed);
    FailureDetector(const FailureDetector&) = delete;
    FailureDetector& operator=(const FailureDetector&) = delete;

    void tick(Clock::time_point now);
    void receive(const Gossip&, Clock::time_point now);

    // Processes the platform's host list: sends a Join to unknown hosts and applies leaving flags. The list alone adds and
    // removes no members.
    void updateListedHosts(const std::vector<ListedHost>&, Clock::time_point now);

    // Sets this host to Leaving for the rest of the process and notifies all members of its data centre directly. Each further
    // call repeats the notification.
    void startLeaving(Clock::time_point now);

    // Notifies all members of the data centre that this host is gone. Call it last, at shutdown.
    void announceGone();

    // Probes a member at once, for example after a connection to it was lost.
    void probeNow(const Address& peerAddress, Clock::time_point now);

    // Sets the revision of the tables that is included in each datagram.
    void setTablesRevision(std::uint64_t revision) { m_tablesRevision = revision; }

    std::vector<OutgoingGossip> takeOutgoing();
    std::vector<MemberChange> takeChanges();

private:
    struct Record {
        Member member;
        MemberStateMachine machine;
        // The end of the suspicion timeout, set while the member is suspected.
        std::optional<Clock::time_point> suspectUntil;
        Clock::time_point goneAt {};
        bool wasListedLeaving = false;
        // The suspicion comes from this host's own probes, not only from gossip.
        bool isOwnSuspicion = false;
    };

    struct Probe {
        std::string name;
        Clock::time_point sentAt;
        bool isIndirect = false;
    };

    // A probe sent on behalf of another host.
    struct RelayedProbe {
        Address requester;
        std::uint32_t requesterSequence = 0;
        Clock::time_point sentAt;
    };

    struct PendingUpdate {
        std::string name;
        int transmissions = 0;
    };

    void detectCallGap(Clock::time_point now);
    void endSelfSuspicion();
    void startPeriod(Clock::time_point now);
    void probe(const std::string& name, Clock::time_point now);
    void probeInBackground(Clock::time_point now);
    void sendJoins();
    void checkProbes(Clock::time_point now);
    void requestIndirectProbes(std::uint32_t sequence, const Probe&);
    void expireRecords(Clock::time_point now);
    void suspect(const std::string& name, Clock::time_point now);
    void recordAck(const std::string& name);

    bool applyLeavingFlag(Record&, bool isFlagged, Clock::time_point now);
    void applyOwnLeavingFlag(bool isFlagged, Clock::time_point now);
    void updateLeavingState(Clock::time_point now);
    bool isLeaving() const { return m_isDraining || m_isFlaggedLeaving; }
    void applyUpdate(const MemberUpdate&, Clock::time_point now);
    void applyUpdateToSelf(const MemberUpdate&, Clock::time_point now);
    bool shouldTrack(const MemberUpdate&) const;
    void addMember(const MemberUpdate&, Clock::time_point now);
    void publishChange(Record&, std::optional<MemberState> before, Clock::time_point now);
    void setSelf(MemberState, std::uint64_t incarnation);

    std::string nextProbeTarget();
    bool isPresentNeighbour(const Record&) const;
    std::vector<std::string> presentNeighbours(const std::string& except) const;
    MemberUpdate selfUpdate() const;
    bool isEstablished() const;
    Gossip makeGossip(GossipKind) const;
    static MemberUpdate updateOf(const Record&);
    std::vector<MemberUpdate> chooseUpdates(const std::string& receiver);
    void send(const Address&, const std::string& receiver, GossipKind, std::uint32_t sequence, std::string subject);
    void sendMembers(const Address&);
    void notifyDataCentre();
    void queueUpdate(const std::string& name);

    MemberDirectory& m_directory;
    DetectorLimits m_limits;
    std::mt19937 m_random;
    std::map<std::string, Record> m_records;
    std::map<std::string, ListedHost> m_candidates;
    std::map<std::uint32_t, Probe> m_probes;
    std::map<std::uint32_t, RelayedProbe> m_relayed;
    std::deque<PendingUpdate> m_updates;
    std::vector<std::string> m_probeRound;
    std::vector<std::string> m_backgroundRound;
    std::string m_lastRepeated;
    std::vector<OutgoingGossip> m_outgoing;
    std::vector<MemberChange> m_changes;
    std::optional<Clock::time_point> m_startedAt;
    std::optional<Clock::time_point> m_lastCallAt;
    Clock::time_point m_nextPeriod;
    Clock::time_point m_selfSuspectSince;
    std::uint64_t m_periodCount = 0;
    std::uint32_t m_sequence = 0;
    std::uint64_t m_tablesRevision = 0;
    Clock::time_point m_leavingFlagSetAt;
    bool m_isDraining = false;
    bool m_isFlaggedLeaving = false;
    bool m_hasReadOwnLeavingFlag = false;
};

}
