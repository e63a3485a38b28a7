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
    CPPUNIT_TEST(drainingHostGetsNoNewWorkAfter3S);
    CPPUNIT_TEST(hostListedAsLeavingSchedulesNothingNewAfter3S);
    CPPUNIT_TEST(rollingRestartUnderStreamingLoadInterruptsNoRequest);
    CPPUNIT_TEST(queuedRequestsOfDrainingSchedulerMoveToOtherHost);
    CPPUNIT_TEST(keepAliveConnectionOfDrainingHostIsClosedAfterNextResponse);
    CPPUNIT_TEST(onlyHostOfDataCentreServesAcceptedRequestsWhileDraining);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        m_fleet->startRunner("runner-1", "east");
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against callers and hosts that still send new work to a draining host.
    void drainingHostGetsNoNewWorkAfter3S()
    {
        startHosts({ "east-1", "east-2", "east-3" });
        const auto leaving = schedulerHost();
        auto longStream = std::async(std::launch::async, [&] { return support::streamCompletion(m_fleet->host(leaving), 1'600, "long"); });
        support::LoadCallers callers(*m_fleet, m_names, 6, 20);
        CPPUNIT_ASSERT(support::eventually([&] { return scheduled(leaving) > 10; }, seconds(5)));
        const auto drainStart = std::chrono::steady_clock::now();
        m_fleet->process(leaving).signal(SIGTERM);
        std::this_thread::sleep_for(seconds(3));
        const auto scheduledAfter3S = scheduled(leaving);
        CPPUNIT_ASSERT(scheduledAfter3S > 0);
        std::this_thread::sleep_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(scheduledAfter3S, scheduled(leaving));
        const auto records = callers.stop();
        CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures(records));
        std::map<std::string, int> lateByHost;
        for (const auto& record : records)
            lateByHost[record.host] += record.startedAt > drainStart + seconds(3) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(0, lateByHost[leaving]);
        CPPUNIT_ASSERT(longStream.get().isComplete);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->process(leaving).waitForExit(seconds(5)));
    }

    // Guards against scheduling on a host that only the platform's host list marks as leaving.
    void hostListedAsLeavingSchedulesNothingNewAfter3S()
    {
        startHosts({ "east-1", "east-2", "east-3" });
        const auto leaving = schedulerHost();
        support::LoadCallers callers(*m_fleet, m_names, 6, 20);
        CPPUNIT_ASSERT(support::eventually([&] { return scheduled(leaving) > 10; }, seconds(5)));
        m_fleet->writeHostList({ leaving });
        std::this_thread::sleep_for(seconds(3));
        const auto scheduledAfter3S = scheduled(leaving);
        std::this_thread::sleep_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(scheduledAfter3S, scheduled(leaving));
        CPPUNIT_ASSERT_EQUAL(std::string(), support::describeFailures(callers.stop()));
    }

    // Guards against losing streams, queued requests and connections in a rolling restart.
    void rollingRestartUnderStreamingLoadInterruptsNoRequest()
    {
        startHosts({ "east-1", "east-2", "east-3" });
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

    // Guards against requests that stay in the queue of a draining host until their deadline.
    void queuedRequestsOfDrainingSchedulerMoveToOtherHost()
    {
        startHosts({ "east-1", "east-2" });
        const auto leaving = schedulerHost();
        const auto other = leaving == "east-1" ? "east-2" : "east-1";
        // With eight slots, the other eight requests wait for 3 s.
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

    // Guards against a keep-alive connection that is closed without notice, so that its next request is lost.
    void keepAliveConnectionOfDrainingHostIsClosedAfterNextResponse()
    {
        startHosts({ "east-1" });
        const auto& host = m_fleet->host("east-1");
        boost::asio::io_context context(1);
        beast::tcp_stream stream(context);
        stream.connect({ boost::asio::ip::make_address(host.caller.ip), host.caller.port });
        CPPUNIT_ASSERT(sendCompletion(stream).keep_alive());
        CPPUNIT_ASSERT_EQUAL(202u, support::call(host.admin, Verb::post, "/drain").status);
        std::this_thread::sleep_for(milliseconds(500));
        const auto last = sendCompletion(stream);
        CPPUNIT_ASSERT_EQUAL(200u, last.result_int());
        CPPUNIT_ASSERT(!last.keep_alive());
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->process("east-1").waitForExit(seconds(5)));
    }

    // Guards against the only host of a data centre not scheduling the requests that it accepted before draining.
    void onlyHostOfDataCentreServesAcceptedRequestsWhileDraining()
    {
        startHosts({ "east-1" });
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
    void startHosts(const std::vector<std::string>& names)
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

    static beast::http::response<beast::http::string_body> sendCompletion(beast::tcp_stream& stream)
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
