#include "LoadCallers.h"
#include "chiveshelf/membership/RendezvousHash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>

namespace {

using chiveshelf::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;

class HostFailureTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostFailureTest);
    CPPUNIT_TEST(queuedRequestsOfKilledSchedulerAreServedByOtherHost);
    CPPUNIT_TEST(hostPausedFor5SIsRemovedAndRejoins);
    CPPUNIT_TEST(hostKilledDuringPlatformOutageIsRemovedAndOthersServe);
    CPPUNIT_TEST(hostMissingFromHostListStaysLive);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        m_fleet->startRunner("runner-1", "east");
        m_names = { "east-1", "east-2", "east-3" };
        for (const auto& name : m_names)
            m_fleet->startHost(name, "east");
        m_fleet->writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_fleet->defaultTables()));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, seconds(4)));
        CPPUNIT_ASSERT(support::eventually([&] { return isLiveEverywhere("east-1") && isLiveEverywhere("east-2") && isLiveEverywhere("east-3"); }, seconds(5)));
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against losing the requests in the queue of a host that is killed.
    void queuedRequestsOfKilledSchedulerAreServedByOtherHost()
    {
        const auto [owner, entry, third] = hostsByRank();
        std::vector<std::future<support::CallRecord>> calls;
        for (int i = 0; i < 16; ++i)
            calls.push_back(std::async(std::launch::async, [&, i, entry = entry] { return support::streamCompletion(m_fleet->host(entry), 400, "prompt " + std::to_string(i)); }));
        CPPUNIT_ASSERT(support::eventually([&, owner = owner] { return queued(owner) == 8; }, seconds(3)));
        m_fleet->process(owner).kill();
        const auto killedAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(support::eventually([&, entry = entry] { return queued(entry) == 8; }, milliseconds(500)));
        const auto requeuedAfter = std::chrono::steady_clock::now() - killedAt;
        std::printf(" [queued again after %lld ms]", static_cast<long long>(std::chrono::duration_cast<milliseconds>(requeuedAfter).count()));
        std::vector<support::CallRecord> records;
        for (auto& call : calls)
            records.push_back(call.get());
        CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures(records));
    }

    // Guards against requests that wait for a paused host, and against failures when it resumes with its old state.
    void hostPausedFor5SIsRemovedAndRejoins()
    {
        const auto [paused, entry, third] = hostsByRank();
        const auto incarnation = incarnationOf(entry, paused);
        m_fleet->process(paused).signal(SIGSTOP);
        const auto pausedAt = std::chrono::steady_clock::now();
        std::vector<std::future<support::CallRecord>> calls;
        for (int i = 0; i < 4; ++i)
            calls.push_back(std::async(std::launch::async, [&, i, entry = entry] { return support::streamCompletion(m_fleet->host(entry), 20, "prompt " + std::to_string(i)); }));
        CPPUNIT_ASSERT(support::eventually([&, entry = entry, paused = paused] { return m_fleet->memberState(entry, paused) == "gone"; }, seconds(4)));
        const auto removedAfter = std::chrono::steady_clock::now() - pausedAt;
        std::printf(" [given up after %lld ms]", static_cast<long long>(std::chrono::duration_cast<milliseconds>(removedAfter).count()));
        for (auto& call : calls) {
            const auto record = call.get();
            CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures({ record }));
            CPPUNIT_ASSERT(record.duration < seconds(2));
        }
        // After the host's removal, no request waits for it.
        CPPUNIT_ASSERT(support::streamCompletion(m_fleet->host(third), 20, "late").duration < milliseconds(800));
        std::this_thread::sleep_until(pausedAt + seconds(5));
        m_fleet->process(paused).signal(SIGCONT);
        CPPUNIT_ASSERT(support::eventually([&, paused = paused] { return isLiveEverywhere(paused); }, seconds(4)));
        CPPUNIT_ASSERT(incarnationOf(entry, paused) > incarnation);
        CPPUNIT_ASSERT(m_fleet->state(paused)["membership"].value("own_suspicions", 0) >= 1);
        for (const auto& name : m_names)
            CPPUNIT_ASSERT(support::streamCompletion(m_fleet->host(name), 20, "after").isComplete);
    }

    // Guards against failure detection that does not work without the platform.
    void hostKilledDuringPlatformOutageIsRemovedAndOthersServe()
    {
        const auto [owner, entry, third] = hostsByRank();
        m_fleet->process("platform").kill();
        m_fleet->process(owner).kill();
        CPPUNIT_ASSERT(support::streamCompletion(m_fleet->host(entry), 20, "prompt").isComplete);
        CPPUNIT_ASSERT(support::eventually(
            [&, owner = owner, entry = entry, third = third] { return m_fleet->memberState(entry, owner) == "gone" && m_fleet->memberState(third, owner) == "gone"; }, seconds(4)));
        m_fleet->startHost(owner, "east");
        CPPUNIT_ASSERT(support::eventually([&, owner = owner] { return isLiveEverywhere(owner); }, seconds(10)));
    }

    // Guards against a lagging host list that removes a live host or keeps a killed one.
    void hostMissingFromHostListStaysLive()
    {
        const auto [killed, entry, third] = hostsByRank();
        m_fleet->process(killed).kill();
        const auto list = nlohmann::json::array({ { { "name", killed }, { "address", toString(m_fleet->host(killed).peer) }, { "data_centre", "east" }, { "leaving", false } } });
        support::call(m_fleet->platform(), Verb::put, "/control/hosts", {}, list.dump());
        CPPUNIT_ASSERT(support::eventually([&, killed = killed, entry = entry] { return m_fleet->memberState(entry, killed) == "gone"; }, seconds(4)));
        std::this_thread::sleep_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::string("gone"), m_fleet->memberState(entry, killed));
        CPPUNIT_ASSERT_EQUAL(std::string("live"), m_fleet->memberState(entry, third));
        CPPUNIT_ASSERT_EQUAL(std::string("live"), m_fleet->memberState(third, entry));
    }

private:
    // Returns the hosts by rank for the pool's scheduler, its owner first.
    std::tuple<std::string, std::string, std::string> hostsByRank() const
    {
        const auto names = chiveshelf::rankByRendezvous("scheduler/desk", m_names);
        return { names[0], names[1], names[2] };
    }

    int queued(const std::string& host) const
    {
        const auto state = m_fleet->state(host);
        const auto pools = state.is_object() ? state["pools"] : nlohmann::json::object();
        return pools.contains("desk") ? pools["desk"].value("queued", 0) : 0;
    }

    bool isLiveEverywhere(const std::string& member) const
    {
        for (const auto& observer : m_names) {
            if (m_fleet->memberState(observer, member) != "live")
                return false;
        }
        return true;
    }

    std::uint64_t incarnationOf(const std::string& observer, const std::string& member) const
    {
        const auto state = m_fleet->state(observer);
        for (const auto& row : state["members"]) {
            if (row["name"] == member)
                return row["incarnation"];
        }
        return 0;
    }

    std::unique_ptr<support::Fleet> m_fleet;
    std::vector<std::string> m_names;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostFailureTest);

}
