#include "GatewayFixture.h"

namespace {

using namespace chiveshelf;
using fakeplatform::Script;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Cuts hosts from the store while runners leave, or while their entries expire.
class StoreCutTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(StoreCutTest);
    CPPUNIT_TEST(runnerThatLeavesAfterACutOfTheOnlyHostGetsNoRequests);
    CPPUNIT_TEST(runnerThatLeavesWhileOneHostIsCutGetsNoRequestsAfterTheCut);
    CPPUNIT_TEST(runnersWhoseEntriesExpiredWhileAllHostsWereCutAreUsed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that are lost at the exit of a runner whose removal was put off as if its entry had expired.
    void runnerThatLeavesAfterACutOfTheOnlyHostGetsNoRequests()
    {
        startLinkedHosts(1);
        runFor(milliseconds(500));
        cutStore(0, milliseconds(4'900));
        runFor(milliseconds(900));
        m_store->remove("servers/r0");
        runFor(milliseconds(200));
        expectNoRequestsToFirstRunner(0);
    }

    // Guards against the same after a cut in which entries may or may not have expired: only the other host knows.
    void runnerThatLeavesWhileOneHostIsCutGetsNoRequestsAfterTheCut()
    {
        startLinkedHosts(2);
        runFor(seconds(6));
        setStoreCut(1, true);
        runFor(milliseconds(1'500));
        m_store->remove("servers/r0");
        runFor(milliseconds(1'000));
        setStoreCut(1, false);
        runFor(milliseconds(600));
        expectNoRequestsToFirstRunner(1);
    }

    // Guards against the loss of all runners after an outage of the store in which their entries expired.
    void runnersWhoseEntriesExpiredWhileAllHostsWereCutAreUsed()
    {
        startLinkedHosts(2);
        runFor(seconds(6));
        setStoreCut(0, true);
        setStoreCut(1, true);
        runFor(milliseconds(4'500));
        m_store->remove("servers/r0");
        m_store->remove("servers/r1");
        setStoreCut(0, false);
        setStoreCut(1, false);
        runFor(milliseconds(1'200));
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(i % 2, post("/book/1")).status);
    }

private:
    static Script answer(const http::Request& request)
    {
        return Script { fakeplatform::sealedResponse(request, 200, "x") };
    }

    // Starts hosts whose paths to the store can be cut, with two runners.
    void startLinkedHosts(int n)
    {
        addRunner(answer, R"(,"born":5000,"sequence":7)");
        addRunner(answer, R"(,"born":6000,"sequence":7)");
        for (int i = 0; i < n; ++i)
            linkStore(i);
        startHosts(n);
    }

    void cutStore(int host, milliseconds duration)
    {
        setStoreCut(host, true);
        runFor(duration);
        setStoreCut(host, false);
    }

    void expectNoRequestsToFirstRunner(int host)
    {
        const auto before = m_runners.at(0)->requests().size();
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(host, post("/book/1")).status);
        CPPUNIT_ASSERT_EQUAL(before, m_runners.at(0)->requests().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreCutTest);

}
