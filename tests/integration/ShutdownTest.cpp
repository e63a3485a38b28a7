#include "LoadCallers.h"
#include "chiveshelf/membership/RendezvousHash.h"

#include <boost/asio/connect.hpp>
#include <boost/beast.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>

namespace {

namespace beast = boost::beast;
using chiveshelf::http::Verb;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ShutdownTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShutdownTest);
    CPPUNIT_TEST(leavingHostGetsNoNewWorkAfterThreeSeconds);
    CPPUNIT_TEST(listedLeavingHostGetsNoNewSchedulingAfterThreeSeconds);
    CPPUNIT_TEST(sigtermOfEachHostUnderStreamingLoadCutsOffNoRequest);
    CPPUNIT_TEST(waitingRequestsOfDrainingSchedulerAreQueuedElsewhere);
    CPPUNIT_TEST(keptConnectionOfDrainingHostGetsCloseOnNextAnswer);
    CPPUNIT_TEST(onlyHostOfDataCentreServesWhatItAcceptedWhileDraining);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        m_fleet->startRunner("runner-1", "east");
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against callers and schedulers that go on using a host that has announced its leave.
    void leavingHostGetsNoNewWorkAfterThreeSeconds()
    {
        start({ "east-1", "east-2", "east-3" });
        const auto leaving = schedulerHost();
        auto longStream = std::async(std::launch::async, [&] { return support::streamCompletion(m_fleet->host(leaving), 1'600, "long"); });
        support::LoadCallers callers(*m_fleet, m_names, 6, 20);
        CPPUNIT_ASSERT(support::eventually([&] { return scheduled(leaving) > 10; }, seconds(5)));
        const auto firstSign = std::chrono::steady_clock::now();
        m_fleet->process(leaving).signal(SIGTERM);
        std::this_thread::sleep_for(seconds(3));
        const auto scheduledAtBound = scheduled(leaving);
        CPPUNIT_ASSERT(scheduledAtBound > 0);
        std::this_thread::sleep_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(scheduledAtBound, scheduled(leaving));
        const auto records = callers.stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures(records));
        std::map<std::string, int> lateByHost;
        for (const auto& record : records)
            lateByHost[record.host] += record.startedAt > firstSign + seconds(3) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(0, lateByHost[leaving]);
        CPPUNIT_ASSERT(longStream.get().isComplete);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->process(leaving).waitForExit(seconds(5)));
    }

    // Guards against a leave that only the platform knows of.
    void listedLeavingHostGetsNoNewSchedulingAfterThreeSeconds()
    {
        start({ "east-1", "east-2", "east-3" });
        const auto leaving = schedulerHost();
        support::LoadCallers callers(*m_fleet, m_names, 6, 20);
        CPPUNIT_ASSERT(support::eventually([&] { return scheduled(leaving) > 10; }, seconds(5)));
        m_fleet->writeHostList({ leaving });
        std::this_thread::sleep_for(seconds(3));
        const auto scheduledAtBound = scheduled(leaving);
        std::this_thread::sleep_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(scheduledAtBound, scheduled(leaving));
        CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures(callers.stop()));
    }

    // Guards against streams, queued requests and connections that are lost in a rolling restart.
    void sigtermOfEachHostUnderStreamingLoadCutsOffNoRequest()
    {
        start({ "east-1", "east-2", "east-3" });
        support::LoadCallers callers(*m_fleet, m_names, 12, 60);
        for (const auto& name : m_names) {
            std::this_thread::sleep_for(milliseconds(500));
            m_fleet->process(name).signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, m_fleet->process(name).waitForExit(seconds(10)));
            m_fleet->startHost(name, "east");
            CPPUNIT_ASSERT(support::eventually([&] { return support::call(m_fleet->host(name).admin, Verb::get, "/readyz").status == 200; }, seconds(5)));
            CPPUNIT_ASSERT(waitForMembers());
        }
        const auto records = callers.stop();
        std::printf(" [%zu requests]", records.size());
        CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures(records));
        CPPUNIT_ASSERT(records.size() > 100);
    }

    // Guards against requests that wait at a leaving scheduler until their time limit.
    void waitingRequestsOfDrainingSchedulerAreQueuedElsewhere()
    {
        start({ "east-1", "east-2" });
        const auto leaving = schedulerHost();
        const auto other = leaving == "east-1" ? "east-2" : "east-1";
        // Eight slots: the second half waits for 3 s.
        std::vector<std::future<support::CallRecord>> calls;
        for (int i = 0; i < 16; ++i)
            calls.push_back(std::async(std::launch::async, [&, i] { return support::streamCompletion(m_fleet->host(other), 600, "prompt " + std::to_string(i)); }));
        CPPUNIT_ASSERT(support::eventually([&] { return queued(leaving) == 8; }, seconds(3)));
        m_fleet->process(leaving).signal(SIGTERM);
        CPPUNIT_ASSERT(support::eventually([&] { return queued(other) == 8; }, milliseconds(500)));
        std::vector<support::CallRecord> records;
        for (auto& call : calls)
            records.push_back(call.get());
        CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures(records));
    }

    // Guards against a kept connection that is cut without notice, so that its next request is lost.
    void keptConnectionOfDrainingHostGetsCloseOnNextAnswer()
    {
        start({ "east-1" });
        const auto& host = m_fleet->host("east-1");
        boost::asio::io_context context(1);
        beast::tcp_stream stream(context);
        stream.connect({ boost::asio::ip::make_address(host.caller.ip), host.caller.port });
        CPPUNIT_ASSERT(completion(stream).keep_alive());
        CPPUNIT_ASSERT_EQUAL(202u, support::call(host.admin, Verb::post, "/drain").status);
        std::this_thread::sleep_for(milliseconds(500));
        const auto last = completion(stream);
        CPPUNIT_ASSERT_EQUAL(200u, last.result_int());
        CPPUNIT_ASSERT(!last.keep_alive());
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->process("east-1").waitForExit(seconds(5)));
    }

    // Guards against a last host that refuses to schedule what it has accepted.
    void onlyHostOfDataCentreServesWhatItAcceptedWhileDraining()
    {
        start({ "east-1" });
        std::vector<std::future<support::CallRecord>> calls;
        for (int i = 0; i < 16; ++i)
            calls.push_back(std::async(std::launch::async, [&, i] { return support::streamCompletion(m_fleet->host("east-1"), 300, "prompt " + std::to_string(i)); }));
        CPPUNIT_ASSERT(support::eventually([&] { return queued("east-1") == 8; }, seconds(3)));
        m_fleet->process("east-1").signal(SIGTERM);
        std::vector<support::CallRecord> records;
        for (auto& call : calls)
            records.push_back(call.get());
        CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures(records));
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->process("east-1").waitForExit(seconds(5)));
    }

private:
    void start(const std::vector<std::string>& names)
    {
        m_names = names;
        for (const auto& name : names)
            m_fleet->startHost(name, "east");
        m_fleet->writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_fleet->defaultTables()));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, seconds(4)));
        CPPUNIT_ASSERT(waitForMembers());
    }

    bool waitForMembers()
    {
        return support::eventually(
            [&] {
                for (const auto& observer : m_names) {
                    for (const auto& member : m_names) {
                        if (m_fleet->memberState(observer, member) != "live")
                            return false;
                    }
                }
                return true;
            },
            seconds(5));
    }

    std::string schedulerHost() const { return chiveshelf::rankByRendezvous("scheduler/desk", m_names).front(); }

    int scheduled(const std::string& host) const { return m_fleet->state(host).value("scheduler_requests", -1); }

    int queued(const std::string& host) const
    {
        const auto state = m_fleet->state(host);
        const auto pools = state.is_object() ? state["pools"] : nlohmann::json::object();
        return pools.contains("desk") ? pools["desk"].value("queued", 0) : 0;
    }

    static beast::http::response<beast::http::string_body> completion(beast::tcp_stream& stream)
    {
        beast::http::request<beast::http::string_body> request { Verb::post, "/v1/completions", 11 };
        request.set("Host", "chiveshelf");
        request.set("X-Organisation", "org-a");
        request.body() = R"({"model":"desk-model","prompt":"hello","max_tokens":5})";
        request.prepare_payload();
        beast::http::write(stream, request);
        beast::flat_buffer buffer;
        beast::http::response<beast::http::string_body> response;
        beast::http::read(stream, buffer, response);
        return response;
    }

    std::unique_ptr<support::Fleet> m_fleet;
    std::vector<std::string> m_names;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

}
