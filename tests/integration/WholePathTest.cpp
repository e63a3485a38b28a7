#include "Fleet.h"
#include "fakes/FakeRunner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace {

using chiveshelf::http::Verb;
using nlohmann::json;

class WholePathTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WholePathTest);
    CPPUNIT_TEST(streamedCompletionThroughEveryHostReturnsAllTokens);
    CPPUNIT_TEST(completionLongerThanRenewalIntervalReturnsAllTokens);
    CPPUNIT_TEST(plainCallThroughRouteKeepsMethodPathAndBody);
    CPPUNIT_TEST(requestAfterHostKillIsServedByAnotherHost);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        for (const auto* dataCentre : { "east", "west" }) {
            m_fleet->startRunner(std::string("runner-") + dataCentre, dataCentre);
            for (const auto* suffix : { "-1", "-2" })
                m_fleet->startHost(std::string(dataCentre) + suffix, dataCentre);
        }
        m_fleet->startService("service-1", "east");
        m_fleet->writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_fleet->defaultTables()));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, std::chrono::seconds(4)));
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against failures anywhere between caller, entry host, scheduling host and runner.
    void streamedCompletionThroughEveryHostReturnsAllTokens()
    {
        for (const auto& [name, host] : m_fleet->hosts())
            CPPUNIT_ASSERT_EQUAL(expectedText(), streamedText(host));
    }

    // Guards against a crash in the renewal of slots, which begins after 1 s: g++ 12 destroyed a braced temporary in a co_await
    // expression twice, and the host aborted.
    void completionLongerThanRenewalIntervalReturnsAllTokens()
    {
        for (const auto& [name, host] : m_fleet->hosts())
            CPPUNIT_ASSERT_EQUAL(expectedText(longAnswerTokens), streamedText(host, longAnswerTokens));
    }

    // Guards against a plain call that is modified in transit.
    void plainCallThroughRouteKeepsMethodPathAndBody()
    {
        const auto response = support::call(m_fleet->host("west-1").caller, Verb::put, "/bookings/7?x=1",
            { { "X-Organisation", "org-a" }, { "X-Operation", "op" } }, "content");
        CPPUNIT_ASSERT_EQUAL(200u, response.status);
        const auto body = json::parse(response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), body["method"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("/bookings/7?x=1"), body["target"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("content"), body["body"].get<std::string>());
    }

    // Guards against a pool that is no longer scheduled after its host is killed: the data centre's other host must take over.
    void requestAfterHostKillIsServedByAnotherHost()
    {
        m_fleet->process("east-1").kill();
        m_fleet->process("west-2").kill();
        CPPUNIT_ASSERT_EQUAL(expectedText(), streamedText(m_fleet->host("east-2")));
        CPPUNIT_ASSERT_EQUAL(expectedText(), streamedText(m_fleet->host("west-1")));
    }

private:
    static constexpr int shortAnswerTokens = 20;
    static constexpr int longAnswerTokens = 400;

    static std::string expectedText(int tokens = shortAnswerTokens)
    {
        std::string out;
        for (int i = 0; i < tokens; ++i)
            out += fakes::answerToken("hello", i);
        return out;
    }

    static std::string streamedText(const support::HostAddresses& host, int tokens = shortAnswerTokens)
    {
        const json body { { "model", "desk-model" }, { "prompt", "hello" }, { "max_tokens", tokens }, { "stream", true } };
        const auto response = support::call(host.caller, Verb::post, "/v1/completions", { { "X-Organisation", "org-a" } }, body.dump());
        const auto events = support::sseEvents(response.body);
        if (events.empty() || events.back() != "[DONE]")
            return "incomplete: " + std::to_string(response.status) + " " + response.body;
        std::string out;
        for (std::size_t i = 0; i + 1 < events.size(); ++i)
            out += json::parse(events[i])["choices"][0]["text"].get<std::string>();
        return out;
    }

    std::unique_ptr<support::Fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);

}
