#include "GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>

namespace {

using fakeplatform::Script;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::CallerResponse;
namespace http = chiveshelf::http;

// The time limit of the route is longer than a host has for its stop.
const char* const tables = R"({"version":3,"routes":[
{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":30000,"goalMs":600,"priority":3,"service":"desk","attempts":1},
{"name":"draft","host":"desk.example","pathPrefix":"/draft/","kind":"stream","timeoutMs":30000,"goalMs":600,"priority":3,"service":"desk","attempts":1}],
"services":[{"name":"desk","maxConns":50}],"tenants":[{"name":"gallery","apiKeys":["key1"]}]})";

// Planned stops of a gateway process.
class GatewayStopTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayStopTest);
    CPPUNIT_TEST(streamCutByStopIsNotPassedOnAsComplete);
    CPPUNIT_TEST(requestWithoutResponseGetsOneBeforeTheStopEnds);
    CPPUNIT_TEST(requestLateInTheStopIsRefusedAndNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against cutting a request off without an answer, among them those that may not be repeated.
    void requestWithoutResponseGetsOneBeforeTheStopEnds()
    {
        support::GatewayFleet fleet(tables, 1);
        for (const auto* name : { "runner-1", "runner-2" })
            fleet.addRunner(name, "desk", [](const http::Request&) { return Script { "", Script::End::Silence }; });
        fleet.startHosts(1);
        std::vector<std::optional<CallerResponse>> responses(2);
        const auto send = [&](std::size_t i) {
            fleet.send(1, request("/book/" + std::to_string(i)), [&, i](const CallerResponse& response) { responses[i] = response; });
        };
        send(0);
        fleet.runFor(milliseconds(500));
        fleet.stopHost(1);
        // Before the host has left the balancer it still takes requests.
        fleet.runFor(milliseconds(1'500));
        send(1);
        for (int i = 0; i < 100 && fleet.process(1).isRunning(); ++i)
            fleet.runFor(milliseconds(100));
        CPPUNIT_ASSERT(!fleet.process(1).isRunning());
        for (const auto& response : responses) {
            CPPUNIT_ASSERT(response);
            // The request may have run, so that a refusal would be false.
            CPPUNIT_ASSERT_EQUAL(504U, response->status);
        }
    }

    void requestLateInTheStopIsRefusedAndNotRun()
    {
        support::GatewayFleet fleet(tables, 1);
        std::size_t runs = 0;
        fleet.addRunner("runner", "desk", [&runs](const http::Request& it) {
            ++runs;
            return it.target() == "/draft/0" ? Script { fakeplatform::sealedStreamHeader(it) + fakeplatform::chunk("id: 1\ndata: a\n\n"), Script::End::Silence }
                                             : Script { fakeplatform::sealedResponse(it, 200, "x") };
        });
        fleet.startHosts(1);
        // A stream in progress keeps the host from leaving early.
        fleet.send(1, request("/draft/0"), [](const CallerResponse&) {});
        fleet.runFor(milliseconds(300));
        fleet.stopHost(1);
        fleet.runFor(milliseconds(3'200));
        for (int i = 0; i < 4; ++i) {
            std::optional<CallerResponse> response;
            fleet.send(1, request("/book/" + std::to_string(i)), [&](const CallerResponse& it) { response = it; });
            fleet.runFor(milliseconds(900));
            CPPUNIT_ASSERT(response);
            CPPUNIT_ASSERT_EQUAL(503U, response->status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), runs);
    }

    // Guards against ending a stream without length and chunks, as callers with HTTP/1.0 get it, by an orderly close.
    void streamCutByStopIsNotPassedOnAsComplete()
    {
        support::GatewayFleet fleet(tables, 1);
        fleet.addRunner("runner", "desk", [](const http::Request& request) {
            return Script { fakeplatform::sealedStreamHeader(request) + fakeplatform::chunk("id: 1\ndata: a\n\n"), Script::End::Silence };
        });
        fleet.startHosts(1);
        std::vector<std::optional<CallerResponse>> responses(2);
        for (std::size_t i = 0; i < responses.size(); ++i) {
            const auto bytes = "POST /draft/" + std::to_string(i) + " HTTP/1." + std::to_string(i) + "\r\nHost: desk.example\r\nX-Request-Id: id" + std::to_string(i)
                + "\r\nX-Deadline-Ms: 30000\r\nApi-Key: key1\r\nContent-Length: 4\r\n\r\nbody";
            fleet.send(1, bytes, [&, i](const CallerResponse& response) { responses[i] = response; });
        }
        fleet.runFor(milliseconds(500));
        fleet.stopHost(1);
        for (int i = 0; i < 100 && fleet.process(1).isRunning(); ++i)
            fleet.runFor(milliseconds(100));
        CPPUNIT_ASSERT(!fleet.process(1).isRunning());
        fleet.runFor(milliseconds(100));
        for (const auto& response : responses) {
            CPPUNIT_ASSERT(response);
            CPPUNIT_ASSERT_EQUAL(0U, response->status);
        }
    }

private:
    static std::string request(const std::string& path)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: id" + path.substr(path.rfind('/') + 1)
            + "\r\nX-Deadline-Ms: 30000\r\nApi-Key: key1\r\nContent-Length: 4\r\n\r\nbody";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStopTest);

}
