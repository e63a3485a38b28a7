#include "GatewayFixture.h"

namespace {

using namespace chiveshelf;
using fakeplatform::Script;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Hosts that miss a version of the weights, because they were not running or were cut from the store, and then learn of a newer one. The
// other host knows the missed version but not its exact time, since it was announced in an outage, and so doesn't report its age.
class MissedVersionTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(MissedVersionTest);
    CPPUNIT_TEST(weightsReplacedBeforeStartOfHostAreNotUsedLongerForAgeOfNewerVersion);
    CPPUNIT_TEST(weightsReplacedDuringCutOfHostAreNotUsedLongerForAgeOfNewerVersion);
    CPPUNIT_TEST(weightsBeforeNewestVersionAreUsedForItsTimeByHostThatStarts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a host that starts after the second of two announcements and takes its time limit for the first one, which has ended.
    void weightsReplacedBeforeStartOfHostAreNotUsedLongerForAgeOfNewerVersion()
    {
        startFirstHost(1);
        announceDuringOutage(2);
        runFor(weightsLimit);
        CPPUNIT_ASSERT_EQUAL(503U, sendPrompt(0));
        announce(3);
        startHost(1);
        runUntil([this] { return sendPrompt(1) == 200; });
        runFor(startAllowance);
        for (int i = 0; i < 12; ++i) {
            CPPUNIT_ASSERT_EQUAL(503U, sendPrompt(1));
            runFor(milliseconds(100));
        }
    }

    // Guards against the same at a host that reads the store anew after a cut, and finds only the second version there.
    void weightsReplacedDuringCutOfHostAreNotUsedLongerForAgeOfNewerVersion()
    {
        linkStore(1);
        startFirstHost(1);
        startHost(1);
        runFor(milliseconds(1'500));
        CPPUNIT_ASSERT_EQUAL(200U, sendPrompt(1));
        setStoreCut(1, true);
        runFor(milliseconds(500));
        announceDuringOutage(2);
        runFor(weightsLimit);
        announce(3);
        setStoreCut(1, false);
        // Within this time a host reads the store again, also on a busy machine.
        runFor(milliseconds(2'500));
        for (int i = 0; i < 12; ++i) {
            CPPUNIT_ASSERT_EQUAL(503U, sendPrompt(1));
            runFor(milliseconds(100));
        }
    }

    // Guards against hosts that refuse requests after their start although another host knows how long the weights may be used.
    void weightsBeforeNewestVersionAreUsedForItsTimeByHostThatStarts()
    {
        startFirstHost(2);
        announceDuringOutage(2);
        runFor(weightsLimit);
        announce(3);
        const auto announcedAt = std::chrono::steady_clock::now();
        startHost(1);
        runUntil([this] { return sendPrompt(1) == 200; });
        runFor(startAllowance);
        while (std::chrono::steady_clock::now() < announcedAt + milliseconds(3'900)) {
            CPPUNIT_ASSERT_EQUAL(200U, sendPrompt(1));
            runFor(milliseconds(100));
        }
        runUntil([&] { return std::chrono::steady_clock::now() >= announcedAt + weightsLimit; });
        CPPUNIT_ASSERT_EQUAL(503U, sendPrompt(1));
    }

private:
    // Longer than the time for which hosts use older weights, 70 in 100 of 6 s.
    static constexpr milliseconds weightsLimit { 4'600 };
    // Longer than the time for which a host uses weights of unknown age after its start.
    static constexpr milliseconds startAllowance { 2'700 };

    // Starts a host and a model runner with this version of the weights. The runner gives no reports, so that it gets no orders.
    void startFirstHost(int runnerVersion)
    {
        m_store->put("op/config", R"({"version":4,"routes":[
{"name":"draft","host":"desk.example","pathPrefix":"/draft/","service":"models","kind":"stream","attempts":1,"timeoutMs":3000,"goalMs":1200,"priority":2,"sticky":true}],
"services":[{"name":"models","maxConns":100,"engine":{"capacity":64,"kvTokens":138177,"kvBytes":327680,"linkMbps":310000.0}}]})");
        announce(1);
        addRunner(serve, R"(,"service":"models","capacity":64,"stage":"both","models":[{"name":"m","version":)" + std::to_string(runnerVersion) + R"(,"adapters":[]}])");
        startHost(0);
        runFor(milliseconds(1'000));
    }

    void announce(int version)
    {
        m_store->put("op/version/m", R"({"model":"m","version":)" + std::to_string(version) + "}");
    }

    // Announces a version while the watches of all hosts are interrupted, so that none knows its exact time.
    void announceDuringOutage(int version)
    {
        m_store->abortWatches();
        announce(version);
    }

    static Script serve(const http::Request& request)
    {
        if (request.target() == "/report")
            return Script { "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" };
        return Script { fakeplatform::sealedStreamHeader(request) + fakeplatform::chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n" };
    }

    // Sends a prompt to a host and returns the status of the response.
    unsigned sendPrompt(int host)
    {
        const auto id = std::to_string(++m_prompts);
        return fetchFrom(host, "POST /draft/" + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: p" + id + "\r\nX-Deadline-Ms: 3000\r\nX-Model: m\r\nX-Token-Count: 1480,5\r\nX-Prompt-Prefix: " + id + "a0:1480\r\nContent-Length: 0\r\n\r\n")
            .status;
    }

    int m_prompts = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MissedVersionTest);

}
