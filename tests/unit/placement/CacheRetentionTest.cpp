#include "chiveshelf/placement/CacheRetention.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;

// All times are ms of one clock, which stands for bootTime() and for the runners' clock.
class CacheRetentionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CacheRetentionTest);
    CPPUNIT_TEST(fetchOfHostWithoutConfirmationIsNotAllowed);
    CPPUNIT_TEST(fetchOfNewestVersionIsAllowedFromEachConfirmationOn);
    CPPUNIT_TEST(fetchOfOldVersionIsNotExtendedByLaterConfirmations);
    CPPUNIT_TEST(fetchOfVersionThatWasNeverNewestIsNotAllowed);
    CPPUNIT_TEST(partsOfNewestVersionAreNotFreed);
    CPPUNIT_TEST(partsOfOldVersionAreFreedOnlyAfterRetentionTime);
    CPPUNIT_TEST(partsOfVersionBetweenTwoAnnouncementsAreFreedByTheNextOne);
    CPPUNIT_TEST(fetchOfVersionBeforeDroppedAnnouncementsIsNotAllowed);
    CPPUNIT_TEST(fetchOfAnyHostEndsBeforeAnyOtherHostFrees);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process that has just started and fetches parts which another host frees.
    void fetchOfHostWithoutConfirmationIsNotAllowed()
    {
        CacheRetention retention;
        CPPUNIT_ASSERT(!retention.fetchEnd("m", 1));
        retention.onAnnounced("m", 2, milliseconds(500));
        CPPUNIT_ASSERT(!retention.fetchEnd("m", 2));
    }

    // Guards against hosts in contact that stop fetching.
    void fetchOfNewestVersionIsAllowedFromEachConfirmationOn()
    {
        CacheRetention retention;
        retention.confirm(1'000);
        CPPUNIT_ASSERT(retention.fetchEnd("m", 1) == 1'000 + retentionMs);
        retention.onAnnounced("m", 2, milliseconds(1'500));
        retention.confirm(2'000);
        CPPUNIT_ASSERT(retention.fetchEnd("m", 2) == 2'000 + retentionMs);
        // A confirmation that arrives late takes nothing back.
        retention.confirm(1'700);
        CPPUNIT_ASSERT(retention.fetchEnd("m", 2) == 2'000 + retentionMs);
    }

    // Guards against fetches of parts that other hosts free, because this host's contact goes on.
    void fetchOfOldVersionIsNotExtendedByLaterConfirmations()
    {
        CacheRetention retention;
        retention.confirm(1'000);
        retention.onAnnounced("m", 2, milliseconds(1'500));
        retention.confirm(9'000);
        CPPUNIT_ASSERT(retention.fetchEnd("m", 1) == 1'000 + retentionMs);
        CPPUNIT_ASSERT(retention.fetchEnd("other", 1) == 9'000 + retentionMs);
    }

    // Guards against a host that first learns of two versions at once and dates the end of the older one too late.
    void fetchOfVersionThatWasNeverNewestIsNotAllowed()
    {
        CacheRetention retention;
        retention.onAnnounced("m", 3, milliseconds(1'000));
        retention.confirm(2'000);
        CPPUNIT_ASSERT(!retention.fetchEnd("m", 2));
    }

    // Guards against the loss of parts in use.
    void partsOfNewestVersionAreNotFreed()
    {
        CacheRetention retention;
        retention.onAnnounced("m", 2, milliseconds(0));
        CPPUNIT_ASSERT(!retention.mayFree("m", 2, std::chrono::hours(1)));
        CPPUNIT_ASSERT(!retention.mayFree("other", 1, std::chrono::hours(1)));
    }

    // Guards against freeing parts as soon as this host knows no user of them.
    void partsOfOldVersionAreFreedOnlyAfterRetentionTime()
    {
        CacheRetention retention;
        retention.onAnnounced("m", 2, milliseconds(1'000));
        const auto end = milliseconds(1'000) + CacheRetention::retentionTime + CacheRetention::freeMargin;
        CPPUNIT_ASSERT(!retention.mayFree("m", 1, end - milliseconds(1)));
        CPPUNIT_ASSERT(retention.mayFree("m", 1, end));
    }

    // Guards against parts that are kept, and fetched, for as long as versions are announced in quick succession.
    void partsOfVersionBetweenTwoAnnouncementsAreFreedByTheNextOne()
    {
        CacheRetention retention;
        retention.confirm(900);
        retention.onAnnounced("m", 2, milliseconds(1'000));
        retention.confirm(1'900);
        retention.onAnnounced("m", 3, milliseconds(2'000));
        const auto end = milliseconds(1'000) + CacheRetention::retentionTime + CacheRetention::freeMargin;
        CPPUNIT_ASSERT(retention.mayFree("m", 1, end));
        CPPUNIT_ASSERT(!retention.mayFree("m", 2, end));
        CPPUNIT_ASSERT(retention.mayFree("m", 2, end + milliseconds(1'000)));
        CPPUNIT_ASSERT(retention.fetchEnd("m", 1) == 900 + retentionMs);
        CPPUNIT_ASSERT(retention.fetchEnd("m", 2) == 1'900 + retentionMs);
    }

    // Guards against a later end of fetches after the memory of the announcement that set it was given back.
    void fetchOfVersionBeforeDroppedAnnouncementsIsNotAllowed()
    {
        CacheRetention retention;
        for (std::uint64_t version = 2; version <= 21; ++version) {
            const auto at = static_cast<std::int64_t>(1'000 * (version - 2));
            retention.confirm(at);
            retention.onAnnounced("m", version, milliseconds(at + 500));
        }
        CPPUNIT_ASSERT(!retention.fetchEnd("m", 1));
        CPPUNIT_ASSERT(retention.fetchEnd("m", 20) == 19'000 + retentionMs);
    }

    // Guards against any order of announcements, answers, cuts, starts and messages between hosts in which one host frees parts while
    // another lets a runner fetch them.
    void fetchOfAnyHostEndsBeforeAnyOtherHostFrees()
    {
        for (unsigned seed = 1; seed <= 300; ++seed)
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), isSafe(seed));
    }

private:
    static constexpr std::int64_t retentionMs = CacheRetention::retentionTime.count();

    struct Host {
        CacheRetention retention;
        std::uint64_t newest = 0;
        bool isCut = false;
        // When its lease was acquired and until when it holds, and whether the host knows the versions announced before.
        int heldSince = 0;
        int heldUntil = 0;
        std::uint64_t newestAtAcquisition = 0;

        void learn(std::uint64_t version, int now)
        {
            if (version <= newest)
                return;
            newest = version;
            retention.onAnnounced("m", version, milliseconds(now));
        }
    };

    // An answer of the store, or a notice of a host, on its way to a host.
    struct Message {
        std::size_t to = 0;
        int arrival = 0;
        std::uint64_t newest = 0;
        std::int64_t confirmed = 0;
        bool isNotice = false;
    };

    // A call that frees the parts of a version, on its way to a store.
    struct FreeCall {
        std::uint64_t version = 0;
        int arrival = 0;
    };

    static constexpr int leaseMs = 2'500;

    // Plays 40 s with drawn events, and returns whether no allowed fetch was still running when its version was freed.
    static bool isSafe(unsigned seed)
    {
        std::mt19937 engine(seed);
        const auto draw = [&engine](int n) { return static_cast<int>(engine() % static_cast<unsigned>(n)); };
        constexpr int endMs = 40'000;
        constexpr int stepMs = 20;
        std::vector<Host> hosts(4);
        std::vector<Message> messages;
        std::vector<FreeCall> freeCalls;
        std::uint64_t announced = 1;
        // The key-value store removes the key of a holder that doesn't renew it.
        int keyEnd = 0;
        bool isStoreDown = false;
        // The latest end of an allowed fetch, by version.
        std::map<std::uint64_t, std::int64_t> lastFetchEnd;
        for (int now = 0; now < endMs; now += stepMs) {
            isStoreDown = draw(300) == 0 ? !isStoreDown : isStoreDown;
            announced += !isStoreDown && draw(250) == 0 ? 1 : 0;
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                auto& host = hosts[i];
                const bool hasContact = !host.isCut && !isStoreDown;
                host.isCut = draw(100) == 0 ? !host.isCut : host.isCut;
                if (draw(600) == 0)
                    host = Host {};
                // The answer tells what was announced before the call at least, and arrives after up to 2 s.
                if (hasContact && draw(20) == 0)
                    messages.push_back({ i, now + draw(2'000), announced, now, false });
                const bool isHolder = host.heldUntil > now;
                if (hasContact && isHolder && draw(20) == 0) {
                    host.heldUntil = now + leaseMs;
                    keyEnd = now + leaseMs + draw(100);
                } else if (hasContact && keyEnd <= now && draw(20) == 0) {
                    host.heldSince = now;
                    host.heldUntil = now + leaseMs;
                    keyEnd = now + leaseMs + draw(100);
                    host.newestAtAcquisition = announced;
                }
                if (isHolder && host.newest >= host.newestAtAcquisition)
                    host.retention.confirm(now);
                // A notice may wait for seconds in a host that stands still.
                if (const auto confirmed = host.retention.confirmedAt(); confirmed && draw(20) == 0)
                    messages.push_back({ static_cast<std::size_t>(draw(static_cast<int>(hosts.size()))), now + draw(6'000), host.newest, *confirmed, true });
            }
            for (const auto& message : messages) {
                if (message.arrival > now)
                    continue;
                auto& host = hosts[message.to];
                if (!message.isNotice)
                    host.learn(message.newest, now);
                if (!message.isNotice || message.newest == host.newest)
                    host.retention.confirm(message.confirmed);
            }
            std::erase_if(messages, [now](const auto& message) { return message.arrival <= now; });
            for (auto& host : hosts) {
                for (std::uint64_t version = 1; version <= announced; ++version) {
                    const auto end = host.retention.fetchEnd("m", version);
                    if (end && *end > now)
                        lastFetchEnd[version] = std::max(lastFetchEnd[version], *end);
                    const bool mayFree = host.heldUntil > now && milliseconds(now - host.heldSince) >= CacheRetention::minTenure && host.retention.mayFree("m", version, milliseconds(now));
                    if (mayFree && draw(20) == 0)
                        freeCalls.push_back({ version, now + draw(1'600) });
                }
            }
            // Checked after the step's fetches were allowed, since fetches begin while the call is on its way.
            for (const auto& call : freeCalls) {
                if (call.arrival <= now && lastFetchEnd[call.version] > now)
                    return false;
            }
            std::erase_if(freeCalls, [now](const auto& call) { return call.arrival <= now; });
        }
        return true;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CacheRetentionTest);

}
