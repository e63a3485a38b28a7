#include "chiveshelf/membership/FailureDetector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>

namespace {

using namespace chiveshelf;
using Clock = FailureDetector::Clock;
using std::chrono::milliseconds;

// A group of detectors that exchange datagrams in memory, on a simulated clock.
class DetectorGroup {
public:
    struct Host {
        Host(const Member& self, std::uint32_t seed)
            : directory(self)
            , detector(directory, {}, 1, seed)
        {
        }

        MemberDirectory directory;
        FailureDetector detector;
        std::vector<MemberChange> changes;
        std::size_t sentBytes = 0;
        bool isStopped = false;
    };

    explicit DetectorGroup(int size)
    {
        std::vector<ListedHost> list;
        for (int i = 0; i < size; ++i)
            list.push_back({ name(i), { "127.0.0.1", static_cast<std::uint16_t>(1'000 + i) }, "east", false });
        for (int i = 0; i < size; ++i) {
            const auto& row = list[static_cast<std::size_t>(i)];
            hosts.push_back(std::make_unique<Host>(Member { row.name, row.dataCentre, row.peerAddress, MemberState::Live, 1 }, static_cast<std::uint32_t>(i + 1)));
            hosts.back()->detector.updateListedHosts(list, now);
        }
    }

    static std::string name(int index) { return "host-" + std::to_string(index); }

    void run(milliseconds time)
    {
        const auto end = now + time;
        while (now < end) {
            now += milliseconds(50);
            for (auto& host : hosts) {
                if (!host->isStopped)
                    host->detector.tick(now);
            }
            while (deliver()) {
            }
        }
    }

    MemberState stateAt(int observer, int subject) const
    {
        const auto* member = hosts[static_cast<std::size_t>(observer)]->directory.find(name(subject));
        return member ? member->state : MemberState::Gone;
    }

    bool hasSeen(int observer, int subject, MemberState state) const
    {
        for (const auto& change : hosts[static_cast<std::size_t>(observer)]->changes) {
            if (change.member.name == name(subject) && change.member.state == state)
                return true;
        }
        return false;
    }

    std::vector<std::unique_ptr<Host>> hosts;
    std::function<bool(int from, int to)> isCut = [](int, int) { return false; };
    Clock::time_point now = Clock::time_point() + std::chrono::hours(1);
    std::size_t mostUpdates = 0;
    std::size_t mostBytes = 0;

private:
    bool deliver()
    {
        bool hasDelivered = false;
        for (int from = 0; from < static_cast<int>(hosts.size()); ++from) {
            auto& host = *hosts[static_cast<std::size_t>(from)];
            for (const auto& outgoing : host.detector.takeOutgoing()) {
                const auto bytes = peer::encode(outgoing.message).size() + 2;
                host.sentBytes += bytes;
                mostBytes = std::max(mostBytes, bytes);
                mostUpdates = std::max(mostUpdates, outgoing.message.updates.size());
                const int to = outgoing.to.port - 1'000;
                auto& receiver = *hosts[static_cast<std::size_t>(to)];
                if (receiver.isStopped || isCut(from, to))
                    continue;
                receiver.detector.receive(outgoing.message, now);
                hasDelivered = true;
            }
            for (auto& change : host.detector.takeChanges())
                host.changes.push_back(change);
        }
        return hasDelivered;
    }
};

class FailureDetectorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FailureDetectorTest);
    CPPUNIT_TEST(stoppedHostIsGoneForAllMembersWithin4s);
    CPPUNIT_TEST(hostUnreachableFromOnePeerIsNotSuspected);
    CPPUNIT_TEST(pausedHostIsRemovedAndReturnsWithHigherIncarnation);
    CPPUNIT_TEST(pausedHostSuspectsItselfUntilPeerAnswers);
    CPPUNIT_TEST(partitionedHalvesRejoinWithoutHostList);
    CPPUNIT_TEST(leavingFlagReadByOneHostReachesAllMembers);
    CPPUNIT_TEST(drainingHostStaysLeavingWhenHostListShowsItLive);
    CPPUNIT_TEST(bytesPerHostStayBoundedAsDataCentreGrows);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stopped host that stays in the directory and keeps its roles.
    void stoppedHostIsGoneForAllMembersWithin4s()
    {
        DetectorGroup group(8);
        group.run(milliseconds(3'000));
        for (int i = 1; i < 8; ++i)
            CPPUNIT_ASSERT(group.stateAt(i, 0) == MemberState::Live);
        group.hosts[0]->isStopped = true;
        group.run(milliseconds(4'000));
        for (int i = 1; i < 8; ++i)
            CPPUNIT_ASSERT(group.stateAt(i, 0) == MemberState::Gone);
    }

    // Guards against the removal of a host because of one broken path, which indirect probes must bypass.
    void hostUnreachableFromOnePeerIsNotSuspected()
    {
        DetectorGroup group(5);
        group.run(milliseconds(3'000));
        group.isCut = [](int from, int to) { return from + to == 1; };
        group.run(milliseconds(20'000));
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(!group.hasSeen(i, 0, MemberState::Suspect));
            CPPUNIT_ASSERT(!group.hasSeen(i, 1, MemberState::Suspect));
        }
    }

    // Guards against a removed host that cannot rejoin because other members reject its updates as old.
    void pausedHostIsRemovedAndReturnsWithHigherIncarnation()
    {
        DetectorGroup group(4);
        group.run(milliseconds(3'000));
        group.hosts[0]->isStopped = true;
        group.run(milliseconds(5'000));
        CPPUNIT_ASSERT(group.stateAt(3, 0) == MemberState::Gone);
        group.hosts[0]->isStopped = false;
        group.run(milliseconds(1'000));
        for (int i = 1; i < 4; ++i)
            CPPUNIT_ASSERT(group.stateAt(i, 0) == MemberState::Live);
        CPPUNIT_ASSERT(group.hosts[0]->directory.self().incarnation > 1);
        CPPUNIT_ASSERT(group.hosts[0]->directory.self().state == MemberState::Live);
    }

    // Guards against a host that acts on its outdated view after a pause, or that suspects its peers because of Acks it
    // could not receive meanwhile.
    void pausedHostSuspectsItselfUntilPeerAnswers()
    {
        DetectorGroup group(3);
        group.run(milliseconds(3'000));
        auto& paused = *group.hosts[0];
        paused.detector.tick(group.now + milliseconds(5'000));
        CPPUNIT_ASSERT(paused.directory.self().state == MemberState::Suspect);
        CPPUNIT_ASSERT(paused.directory.mustHandOver());
        CPPUNIT_ASSERT(group.stateAt(0, 1) == MemberState::Live);
        CPPUNIT_ASSERT(paused.directory.owner("role")->name != DetectorGroup::name(0));
        paused.detector.tick(group.now + milliseconds(5'050));
        group.now += milliseconds(5'050);
        for (std::size_t i = 1; i < 3; ++i)
            group.hosts[i]->isStopped = false;
        group.run(milliseconds(1'000));
        CPPUNIT_ASSERT(paused.directory.self().state == MemberState::Live);
    }

    // Guards against a partition that persists while the platform is down, because each side has removed the other and no longer
    // probes it.
    void partitionedHalvesRejoinWithoutHostList()
    {
        DetectorGroup group(6);
        group.run(milliseconds(3'000));
        group.isCut = [](int from, int to) { return (from < 3) != (to < 3); };
        group.run(milliseconds(8'000));
        CPPUNIT_ASSERT(group.stateAt(0, 5) == MemberState::Gone);
        CPPUNIT_ASSERT(group.stateAt(5, 0) == MemberState::Gone);
        group.isCut = [](int, int) { return false; };
        group.run(milliseconds(10'000));
        for (int i = 0; i < 6; ++i) {
            for (int j = 0; j < 6; ++j)
                CPPUNIT_ASSERT(group.stateAt(i, j) == MemberState::Live);
        }
    }

    // Guards against a leaving flag that takes effect only on the hosts that read the list.
    void leavingFlagReadByOneHostReachesAllMembers()
    {
        DetectorGroup group(6);
        group.run(milliseconds(3'000));
        std::vector<ListedHost> flagged { { DetectorGroup::name(2), { "127.0.0.1", 1'002 }, "east", true } };
        group.hosts[0]->detector.updateListedHosts(flagged, group.now);
        group.run(milliseconds(500));
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT(group.stateAt(i, 2) == MemberState::Leaving);
    }

    // Guards against a draining host that becomes Live again because of a lagging host list.
    void drainingHostStaysLeavingWhenHostListShowsItLive()
    {
        DetectorGroup group(3);
        group.run(milliseconds(3'000));
        group.hosts[0]->detector.startLeaving(group.now);
        group.run(milliseconds(50));
        const std::vector<ListedHost> live { { DetectorGroup::name(0), { "127.0.0.1", 1'000 }, "east", false } };
        for (auto& host : group.hosts)
            host->detector.updateListedHosts(live, group.now);
        group.run(milliseconds(3'000));
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(group.stateAt(i, 0) == MemberState::Leaving);
    }

    // Guards against per-host traffic that grows with the data centre, and against datagrams that need IP fragmentation.
    void bytesPerHostStayBoundedAsDataCentreGrows()
    {
        const auto small = bytesPerHostAndSecond(8);
        const auto large = bytesPerHostAndSecond(64);
        std::printf(" [%.0f bytes/s sent per host among 8, %.0f among 64]", small, large);
        CPPUNIT_ASSERT(large < small * 1.2);
        CPPUNIT_ASSERT(large < 2'500);
    }

private:
    static double bytesPerHostAndSecond(int size)
    {
        constexpr int seconds = 60;
        DetectorGroup group(size);
        // The updates about 64 started hosts fill the datagrams for more than a minute.
        group.run(milliseconds(120'000));
        for (auto& host : group.hosts)
            host->sentBytes = 0;
        group.run(milliseconds(seconds * 1'000));
        CPPUNIT_ASSERT(group.mostUpdates <= 8);
        CPPUNIT_ASSERT(group.mostBytes <= 1'400);
        std::size_t sum = 0;
        for (const auto& host : group.hosts)
            sum += host->sentBytes;
        return static_cast<double>(sum) / (static_cast<double>(size) * seconds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureDetectorTest);

}
