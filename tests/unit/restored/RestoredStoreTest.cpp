#include "GatewayFixture.h"

namespace {

using namespace chiveshelf;
using fakeplatform::Script;
using fakeplatform::Store;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Restores the store from an older copy under running hosts.
class RestoredStoreTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(RestoredStoreTest);
    CPPUNIT_TEST(tablesBelowOvertakenRevisionReachHostWhoseWatchGoesOn);
    CPPUNIT_TEST(entriesBelowOvertakenRevisionReachHostsThatHearOfTheStoreFromOthers);
    CPPUNIT_TEST(readAnsweredBeforeTheRestoreDoesNotHideLaterTables);
    CPPUNIT_TEST(olderTablesOfTheCopyAreNotTaken);
    CPPUNIT_TEST(hostThatStartsIntoTheCopyTakesNewerTablesFromOthers);
    CPPUNIT_TEST(registrationWhoseLeaseNumberWasGivenOutAgainIsWrittenAnew);
    CPPUNIT_TEST(keyIsNotLeftUnderLeaseThatWasGivenOutAgain);
    CPPUNIT_TEST(stopDoesNotEndLeaseThatWasGivenOutAgain);
    CPPUNIT_TEST(ordersAfterTheRestoreHaveHigherFencingTokens);
    CPPUNIT_TEST(ordersPauseAfterTheRestoreUntilFormerHolderIsSilent);
    CPPUNIT_TEST(leavingRunnerListedAsReadyInTheCopyGetsNoRequests);
    CPPUNIT_TEST(removedRunnerListedInTheCopyGetsNoRequestsUntilItRegistersAgain);
    CPPUNIT_TEST(hostThatStartsIntoTheCopyLearnsOfLeavingRunner);
    CPPUNIT_TEST(runnerMissingInTheCopyIsUsedUntilItCanHaveRegisteredAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Revisions that have overtaken the host's must not hide what was written below it.
    void tablesBelowOvertakenRevisionReachHostWhoseWatchGoesOn()
    {
        addAnsweringRunner();
        startGateway();
        m_store->takeCopy();
        writeOtherItems(30);
        runFor(milliseconds(200));
        m_store->restore(Store::Watches::Kept);
        m_store->put("op/config", fakeplatform::sellTables(9));
        writeOtherItems(60);
        runFor(milliseconds(800));
        CPPUNIT_ASSERT_EQUAL(200U, fetch(post("/sell/1")).status);
    }

    // A data centre with many hosts, most of which learn of changes from the two that watch. Tables reach them by a second way, entries
    // of runners don't.
    void entriesBelowOvertakenRevisionReachHostsThatHearOfTheStoreFromOthers()
    {
        addTwoRunners();
        startHosts(hostCount);
        runFor(seconds(6));
        m_store->takeCopy();
        writeOtherItems(30);
        runFor(milliseconds(700));
        m_store->restore();
        // The watching hosts have read the copy by now, the others have heard nothing of it that they count as newer.
        runFor(milliseconds(300));
        registerRunner(0, R"(,"born":5000,"sequence":8,"state":"draining")");
        writeOtherItems(60);
        runFor(seconds(1));
        for (int i = 0; i < 5 * hostCount; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(i % hostCount, post("/book/1")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestsOf(0));
    }

    // The answer to a full read may have been made up before the restore and arrive after it.
    void readAnsweredBeforeTheRestoreDoesNotHideLaterTables()
    {
        addAnsweringRunner();
        startGateway();
        m_store->takeCopy();
        writeOtherItems(30);
        runFor(milliseconds(200));
        m_store->delayNextAnswer("/kv-range", milliseconds(400));
        m_store->abortWatches();
        runFor(milliseconds(200));
        m_store->restore();
        m_store->put("op/config", fakeplatform::sellTables(9));
        writeOtherItems(60);
        runFor(milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(200U, fetch(post("/sell/1")).status);
    }

    // Tables in force and keys that were revoked must not come back with the copy.
    void olderTablesOfTheCopyAreNotTaken()
    {
        addAnsweringRunner();
        startGateway();
        m_store->takeCopy();
        auto revoked = fakeplatform::sellTables(9);
        revoked.replace(revoked.find("key1"), 4, "key2");
        m_store->put("op/config", revoked);
        runFor(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(401U, fetch(post("/sell/1")).status);
        m_store->restore();
        runFor(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(401U, fetch(post("/sell/1")).status);
        CPPUNIT_ASSERT_EQUAL(200U, fetch(post("/sell/1", "key2")).status);
    }

    // A process without memory can't tell that the copy is old; its neighbours can.
    void hostThatStartsIntoTheCopyTakesNewerTablesFromOthers()
    {
        addAnsweringRunner();
        startHosts(2);
        runFor(seconds(1));
        m_store->takeCopy();
        m_store->put("op/config", fakeplatform::sellTables(9));
        runFor(milliseconds(300));
        m_store->restore();
        startHost(2, 1);
        runFor(milliseconds(1'500));
        CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(2, post("/sell/1")).status);
    }

    // A renewal of a lease that now belongs to another process succeeds, while this host is missing in the store.
    void registrationWhoseLeaseNumberWasGivenOutAgainIsWrittenAnew()
    {
        addAnsweringRunner();
        m_store->takeCopy();
        startGateway();
        runFor(milliseconds(500));
        CPPUNIT_ASSERT(m_store->contains("hosts/host"));
        m_store->restore();
        for (int i = 0; i < 4; ++i)
            m_store->grantLease("hosts/other-" + std::to_string(i));
        runUntil([&] { return m_store->contains("hosts/host"); });
        CPPUNIT_ASSERT(m_store->contains("hosts/host"));
    }

    // A lease may be granted before the restore and the key written after it, under what is now another holder's lease.
    void keyIsNotLeftUnderLeaseThatWasGivenOutAgain()
    {
        addAnsweringRunner();
        m_store->takeCopy();
        m_store->delayNextAnswer("/kv-lease", milliseconds(400));
        startGateway();
        m_store->restore(Store::Watches::Kept);
        const auto other = m_store->grantLease("hosts/other");
        runFor(milliseconds(2'000));
        CPPUNIT_ASSERT(m_store->contains("hosts/host"));
        CPPUNIT_ASSERT(m_store->leaseOf("hosts/host") != other);
    }

    void stopDoesNotEndLeaseThatWasGivenOutAgain()
    {
        addAnsweringRunner();
        m_store->takeCopy();
        startGateway();
        runFor(milliseconds(500));
        m_store->restore(Store::Watches::Kept);
        for (int i = 0; i < 4; ++i)
            m_store->grantLease("hosts/other-" + std::to_string(i));
        m_gateway->stop();
        runFor(milliseconds(500));
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(m_store->contains("hosts/other-" + std::to_string(i)));
    }

    // Runners keep the highest token they saw, and revisions fall with the restore.
    void ordersAfterTheRestoreHaveHigherFencingTokens()
    {
        addLoadingRunner();
        m_store->takeCopy();
        writeOtherItems(20);
        startGateway(milliseconds(10));
        runFor(milliseconds(500));
        announceVersion(2);
        runUntil([&] { return !m_fences.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fences.size());
        m_store->restore();
        registerRunner(0, std::string(weights) + R"(,"sequence":2)");
        announceVersion(3);
        runUntil([&] { return m_fences.size() > 1; }, seconds(9));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_fences.size());
        CPPUNIT_ASSERT(m_fences[1] > m_fences[0]);
    }

    // The former holder may not have heard of the restore and acts until its own time ends.
    void ordersPauseAfterTheRestoreUntilFormerHolderIsSilent()
    {
        addLoadingRunner();
        m_store->takeCopy();
        startGateway(milliseconds(300));
        runFor(seconds(1));
        m_store->restore();
        registerRunner(0, std::string(weights) + R"(,"sequence":2)");
        announceVersion(2);
        // The time to live of the lease and the time between two holders.
        runFor(milliseconds(2'500));
        CPPUNIT_ASSERT(m_fences.empty());
        runUntil([&] { return !m_fences.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fences.size());
    }

    void leavingRunnerListedAsReadyInTheCopyGetsNoRequests()
    {
        addTwoRunners();
        startGateway();
        m_store->takeCopy();
        registerRunner(0, R"(,"born":5000,"sequence":8,"state":"draining")");
        runFor(milliseconds(200));
        m_store->restore();
        runFor(milliseconds(500));
        expectRequestsOnlyTo(1);
    }

    void removedRunnerListedInTheCopyGetsNoRequestsUntilItRegistersAgain()
    {
        addTwoRunners();
        startGateway();
        m_store->takeCopy();
        m_store->remove("servers/r0");
        runFor(milliseconds(200));
        m_store->restore();
        runFor(milliseconds(500));
        expectRequestsOnlyTo(1);
        registerRunner(0, R"(,"born":5000,"sequence":9)");
        m_store->remove("servers/r1");
        runFor(seconds(3));
        expectRequestsOnlyTo(0);
    }

    // A process without memory can't tell that the runner has left since the copy; its neighbours can.
    void hostThatStartsIntoTheCopyLearnsOfLeavingRunner()
    {
        addTwoRunners();
        startHosts(2);
        runFor(seconds(1));
        m_store->takeCopy();
        registerRunner(0, R"(,"born":5000,"sequence":8,"state":"draining")");
        runFor(milliseconds(300));
        m_store->restore();
        startHost(2, 1);
        runFor(milliseconds(1'500));
        const auto before = requestsOf(0);
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(2, post("/book/1")).status);
        CPPUNIT_ASSERT_EQUAL(before, requestsOf(0));
    }

    // A runner that registered after the copy writes its entry again within two seconds.
    void runnerMissingInTheCopyIsUsedUntilItCanHaveRegisteredAgain()
    {
        m_store->takeCopy();
        addAnsweringRunner();
        startGateway();
        m_store->restore();
        runFor(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(200U, fetch(post("/book/1")).status);
        runFor(milliseconds(2'500));
        CPPUNIT_ASSERT_EQUAL(503U, fetch(post("/book/1")).status);
    }

private:
    static constexpr int hostCount = 10;
    static constexpr const char* weights = R"(,"models":[{"name":"m","version":1,"adapters":[]}])";

    static Script answer(const http::Request& request)
    {
        return { fakeplatform::sealedResponse(request, 200, "x") };
    }

    void addAnsweringRunner(const std::string& moreFields = {})
    {
        addRunner(answer, moreFields);
    }

    void addTwoRunners()
    {
        addAnsweringRunner(R"(,"born":5000,"sequence":7)");
        addAnsweringRunner(R"(,"born":6000,"sequence":7)");
    }

    // Adds a runner that loads weights at once and records the fencing tokens of its orders.
    void addLoadingRunner()
    {
        addRunner([this](const http::Request& request) {
            if (request.target() == "/report")
                return plainResponse(nlohmann::json { { "busy", false }, { "sequence", m_fences.size() }, { "models", { { { "name", "m" }, { "version", m_loadedVersion } } } } }.dump());
            const auto order = nlohmann::json::parse(request.body());
            if (order.at("version") == m_loadedVersion)
                return plainResponse("{}");
            m_loadedVersion = order.at("version");
            m_fences.push_back(order.at("fence"));
            return plainResponse("{}");
        },
            weights);
    }

    static Script plainResponse(const std::string& body)
    {
        return { "HTTP/1.1 200 x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
    }

    void announceVersion(int version)
    {
        m_store->put("op/version/m", nlohmann::json { { "model", "m" }, { "version", version } }.dump());
    }

    void writeOtherItems(int n)
    {
        for (int i = 0; i < n; ++i)
            m_store->put("other", std::to_string(i));
    }

    std::size_t requestsOf(std::size_t runner) const { return m_runners.at(runner)->requests().size(); }

    void expectRequestsOnlyTo(std::size_t runner)
    {
        const auto before = requestsOf(1 - runner);
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, fetch(post("/book/1")).status);
        CPPUNIT_ASSERT_EQUAL(before, requestsOf(1 - runner));
    }

    int m_loadedVersion = 1;
    std::vector<std::uint64_t> m_fences;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);

}
