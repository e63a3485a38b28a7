#pragma once

#include "chiveshelf/keyvalue/KeyValueStore.h"
#include "chiveshelf/membership/Gossip.h"
#include "chiveshelf/membership/MemberDirectory.h"
#include "chiveshelf/membership/MemberStateMachine.h"

#include <deque>
#include <optional>
#include <random>

namespace chiveshelf {

// Times and sizes of the failure detector.
struct DetectorLimits {
    std::chrono::milliseconds period { 500 };
    // Time for a direct answer before other hosts are asked to probe. Covers the longest round trip within a region and a
    // pause of a busy host.
    std::chrono::milliseconds directAnswer { 200 };
    // Time that a suspect has to answer or to refute. Three periods, so that a lost datagram does not cost a host.
    std::chrono::milliseconds suspicion { 1'500 };
    // A member that is gone is kept on record this long, and probed now and then, so that two parts of a data centre find
    // each other again without the platform.
    std::chrono::milliseconds goneRetention { 600'000 };
    // Time without an answer after which a host that suspects itself acts on its own: its peers may all be down.
    std::chrono::milliseconds selfSuspicion { 1'000 };
    // Time for which a host that started or returned owns no roles under OwnershipPolicy::BarReturned. Covers a loss of the
    // network of 3 s right after the return.
    std::chrono::milliseconds returnBar { 5'000 };
    // Hosts that start within this time of each other bar nobody.
    std::chrono::milliseconds startSkew { 1'000 };
    std::size_t indirectProbers = 2;
    std::size_t updatesPerDatagram = 8;
    // Known members sent along when there is no news, so that a host that missed an update gets it later.
    std::size_t repeatedUpdates = 2;
    std::size_t contactsPerDataCentre = 4;
    // Listed hosts asked at once for their members. Each answers with several datagrams.
    std::size_t joinsAtOnce = 3;
    // Longest time by which a host's copy of the platform's list is taken to lag.
    std::chrono::milliseconds listLag { 10'000 };
    // A contact in another data centre, and a member that is gone, is probed each so many periods.
    std::uint64_t periodsPerFarProbe = 4;
};

// A datagram that the detector wants sent.
struct OutgoingGossip {
    Address to;
    Gossip message;
};

// A member that became known or changed its state.
struct MemberChange {
    Member member;
    std::optional<MemberState> before;
};

// SWIM-style failure detection without I/O. Call tick() every few tens of milliseconds and receive() for each datagram;
// afterwards send what takeOutgoing() returns and act on takeChanges(). The directory is kept current.
//
// The host itself is Live, Leaving (after startLeaving(), or by a mark in the platform's list), or Suspect after a gap between two calls of more than the suspicion
// time: it was frozen, others may have given it up, and it asks them before it trusts its own view.
class FailureDetector {
public:
    using Clock = std::chrono::steady_clock;

    // `incarnation` must be higher than that of an earlier process with the same host name.
    FailureDetector(MemberDirectory&, DetectorLimits, std::uint64_t incarnation, std::uint32_t seed);
    FailureDetector(const FailureDetector&) = delete;
    FailureDetector& operator=(const FailureDetector&) = delete;

    void tick(Clock::time_point now);
    void receive(const Gossip&, Clock::time_point now);

    // Takes the platform's list: unknown hosts are probed, leaving marks count, and nobody is added or removed by it alone.
    void offerListed(const std::vector<ListedHost>&, Clock::time_point now);

    // Marks this host as leaving for good and tells all members of its data centre directly, again with each call.
    void startLeaving(Clock::time_point now);

    // Tells all members of the data centre that this host is gone. Call it last.
    void announceGone();

    // Probes a member at once, for instance because a connection to it was lost.
    void probeNow(const Address& peerAddress, Clock::time_point now);

    // The revision to send along with each datagram.
    void setTablesRevision(std::uint64_t revision) { m_tablesRevision = revision; }

    std::vector<OutgoingGossip> takeOutgoing();
    std::vector<MemberChange> takeChanges();

private:
    struct Record {
        Member member;
        MemberStateMachine machine;
        // Set while the member has not answered a probe and its indirect probes.
        std::optional<Clock::time_point> suspectUntil;
        Clock::time_point goneAt {};
        bool wasListedLeaving = false;
        // This host's own probes found the member silent, not only gossip.
        bool isOwnSuspicion = false;
    };

    struct Probe {
        std::string name;
        Clock::time_point sentAt;
        bool isIndirect = false;
    };

    // A probe on behalf of another host.
    struct RelayedProbe {
        Address asker;
        std::uint32_t askerSequence = 0;
        Clock::time_point sentAt;
    };

    struct PendingUpdate {
        std::string name;
        int transmissions = 0;
    };

    void noticeGap(Clock::time_point now);
    void endSelfSuspicion();
    void startPeriod(Clock::time_point now);
    void probe(const std::string& name, Clock::time_point now);
    void probeFarMember(Clock::time_point now);
    void joinCandidates();
    void checkProbes(Clock::time_point now);
    void askOthersToProbe(std::uint32_t sequence, const Probe&);
    void expire(Clock::time_point now);
    void suspect(const std::string& name, Clock::time_point now);
    void noteAnswer(const std::string& name);

    bool takeMark(Record&, bool isMarked, Clock::time_point now);
    void takeOwnMark(bool isMarked, Clock::time_point now);
    void changeLeaving(Clock::time_point now);
    bool isLeaving() const { return m_isDraining || m_isMarkedLeaving; }
    void apply(const MemberUpdate&, Clock::time_point now);
    void applyToSelf(const MemberUpdate&, Clock::time_point now);
    bool isWanted(const MemberUpdate&) const;
    void add(const MemberUpdate&, Clock::time_point now);
    void changed(Record&, std::optional<MemberState> before, Clock::time_point now);
    void setSelf(MemberState, std::uint64_t incarnation);

    std::string nextTarget();
    bool isLiveNeighbour(const Record&) const;
    std::vector<std::string> liveNeighbours(const std::string& except) const;
    MemberUpdate selfUpdate() const;
    bool isEstablished() const;
    Gossip makeGossip(GossipKind) const;
    static MemberUpdate updateOf(const Record&);
    std::vector<MemberUpdate> chooseUpdates(const std::string& receiver);
    void send(const Address&, const std::string& receiver, GossipKind, std::uint32_t sequence, std::string subject);
    void sendMembers(const Address&);
    void tellDataCentre();
    void queueUpdate(const std::string& name);

    MemberDirectory& m_directory;
    DetectorLimits m_limits;
    std::mt19937 m_random;
    std::map<std::string, Record> m_records;
    std::map<std::string, ListedHost> m_candidates;
    std::map<std::uint32_t, Probe> m_probes;
    std::map<std::uint32_t, RelayedProbe> m_relayed;
    std::deque<PendingUpdate> m_updates;
    std::vector<std::string> m_round;
    std::vector<std::string> m_farRound;
    std::string m_lastRepeated;
    std::vector<OutgoingGossip> m_outgoing;
    std::vector<MemberChange> m_changes;
    std::optional<Clock::time_point> m_startedAt;
    std::optional<Clock::time_point> m_lastCall;
    Clock::time_point m_nextPeriod;
    Clock::time_point m_selfSuspectSince;
    std::uint64_t m_periods = 0;
    std::uint32_t m_sequence = 0;
    std::uint64_t m_tablesRevision = 0;
    Clock::time_point m_markTakenAt;
    bool m_isDraining = false;
    bool m_isMarkedLeaving = false;
    bool m_hasSeenOwnMark = false;
};

}
