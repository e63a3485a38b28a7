#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace {

using chiveshelf::http::Verb;
using nlohmann::json;
using std::chrono::seconds;

class CrashingRequestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashingRequestTest);
    CPPUNIT_TEST(requestThatCrashedTwoRunnersIsRefusedByEveryHost);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        for (const auto& name : runners())
            m_fleet->startRunner(name, "east");
        for (const auto* name : { "east-1", "east-2" })
            m_fleet->startHost(name, "east");
        m_fleet->writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_fleet->defaultTables()));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, seconds(4)));
        CPPUNIT_ASSERT(m_fleet->waitForMembers(seconds(4)));
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against a request that crashes further runners when its caller repeats it, on the same or on another host.
    void requestThatCrashedTwoRunnersIsRefusedByEveryHost()
    {
        const auto first = complete("east-1", "please CRASH-THE-RUNNER");
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), json::parse(first.body)["error"]["ran"].get<std::string>());
        CPPUNIT_ASSERT(support::eventually([&] { return crashedRunnerCount() == 2; }, seconds(3)));
        CPPUNIT_ASSERT(support::eventually([&] { return isQuarantinedOn("east-2"); }, seconds(3)));
        for (const auto* host : { "east-1", "east-2" }) {
            const auto again = complete(host, "please CRASH-THE-RUNNER");
            const auto error = json::parse(again.body)["error"];
            CPPUNIT_ASSERT_EQUAL(503u, again.status);
            CPPUNIT_ASSERT_EQUAL(std::string("quarantined"), error["code"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(std::string("no"), error["ran"].get<std::string>());
        }
        CPPUNIT_ASSERT_EQUAL(2, crashedRunnerCount());
        CPPUNIT_ASSERT_EQUAL(200u, complete("east-2", "hello").status);
    }

private:
    static std::vector<std::string> runners() { return { "runner-1", "runner-2", "runner-3" }; }

    int crashedRunnerCount()
    {
        int n = 0;
        for (const auto& name : runners())
            n += m_fleet->process(name).isRunning() ? 0 : 1;
        return n;
    }

    bool isQuarantinedOn(const std::string& host)
    {
        const auto state = json::parse(support::call(m_fleet->host(host).admin, Verb::get, "/state").body, nullptr, false);
        return state.is_object() && state["quarantined"].size() == 1;
    }

    support::ProbeResponse complete(const std::string& host, const std::string& prompt)
    {
        const json body { { "model", "desk-model" }, { "prompt", prompt }, { "max_tokens", 5 } };
        return support::call(m_fleet->host(host).caller, Verb::post, "/v1/completions", { { "X-Organisation", "org-a" } }, body.dump());
    }

    std::unique_ptr<support::Fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);

}
