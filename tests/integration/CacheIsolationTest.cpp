#include "CacheFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace {

using chiveshelf::http::Verb;
using support::CacheFleet;
using support::eventually;

constexpr std::size_t promptBlocks = 5;
constexpr auto waitLimit = std::chrono::seconds(10);

class CacheIsolationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CacheIsolationTest);
    CPPUNIT_TEST(samePromptOfTwoOrganisationsSharesNoBlock);
    CPPUNIT_TEST(promptAfterVersionChangeReusesNoBlockOfOldVersion);
    CPPUNIT_TEST(requestsDuringVersionChangeGetCompleteAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        support::CacheFleetFlags flags;
        flags.runners = 2;
        m_fleet = std::make_unique<CacheFleet>(flags);
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against reuse of one organisation's blocks for another, from a runner's cache or from a store.
    void samePromptOfTwoOrganisationsSharesNoBlock()
    {
        const auto prompt = CacheFleet::prompt("shared", promptBlocks);
        for (int i = 0; i < 4; ++i)
            assertCompletionSucceeds("org-a", prompt);
        CPPUNIT_ASSERT(m_fleet->waitForStoredBlocks(promptBlocks));
        CPPUNIT_ASSERT_MESSAGE("org-a reuses its own blocks", m_fleet->runnerTotal("cached_tokens") + m_fleet->runnerTotal("imported_tokens") > 0);
        const auto reused = m_fleet->runnerTotal("cached_tokens") + m_fleet->runnerTotal("imported_tokens");
        assertCompletionSucceeds("org-b", prompt);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, CacheFleet::cachedTokens());
        CPPUNIT_ASSERT_EQUAL(reused, m_fleet->runnerTotal("cached_tokens") + m_fleet->runnerTotal("imported_tokens"));
        CPPUNIT_ASSERT(m_fleet->waitForStoredBlocks(2 * promptBlocks));
        m_fleet->evictRunnerCaches();
        assertCompletionSucceeds("org-b", prompt);
        assertCompletionSucceeds("org-a", prompt);
        CPPUNIT_ASSERT(m_fleet->runnerTotal("imported_tokens") > 0);
        assertNoViolation();
    }

    // Guards against reuse of blocks that were computed with another version of the weights.
    void promptAfterVersionChangeReusesNoBlockOfOldVersion()
    {
        const auto prompt = CacheFleet::prompt("swap", promptBlocks);
        assertCompletionSucceeds("org-a", prompt);
        CPPUNIT_ASSERT(m_fleet->waitForStoredBlocks(promptBlocks));
        changeVersion("v2");
        const auto reused = m_fleet->runnerTotal("cached_tokens") + m_fleet->runnerTotal("imported_tokens");
        // Both runners refuse the request until one of them has loaded the new version.
        std::string problem;
        std::jthread caller([&] { problem = m_fleet->checkCompletion("org-a", prompt); });
        const auto isRefused = eventually([&] { return m_fleet->runnerTotal("wrong_version") >= 2; }, waitLimit);
        sendLoadCommand(1, "v2");
        waitForVersion(1, "v2");
        caller.join();
        CPPUNIT_ASSERT(isRefused);
        CPPUNIT_ASSERT_EQUAL(std::string(), problem);
        CPPUNIT_ASSERT_EQUAL(reused, m_fleet->runnerTotal("cached_tokens") + m_fleet->runnerTotal("imported_tokens"));
        assertNoViolation();
    }

    // Guards against requests that are interrupted or refused while the weights change under load.
    void requestsDuringVersionChangeGetCompleteAnswers()
    {
        std::atomic<bool> isStopping { false };
        std::atomic<int> answers { 0 };
        std::vector<std::string> problems(4);
        std::vector<std::jthread> callers;
        for (std::size_t i = 0; i < problems.size(); ++i)
            callers.emplace_back([&, i] {
                const auto organisation = "org-" + std::to_string(i);
                const auto prompt = CacheFleet::prompt("load", promptBlocks);
                while (!isStopping && problems[i].empty()) {
                    problems[i] = m_fleet->checkCompletion(organisation, prompt, 30, i % 2 ? "host-1" : "host-2");
                    ++answers;
                }
            });
        // Stops the callers if an assertion fails.
        const std::shared_ptr<void> stop(nullptr, [&](void*) { isStopping = true; });
        const auto hasStarted = eventually([&] { return answers >= 20; }, waitLimit);
        changeVersion("v2");
        // Both load at once, so that no runner is available for a time.
        for (const auto runner : { 0, 1 })
            sendLoadCommand(runner, "v2");
        waitForVersion(0, "v2");
        waitForVersion(1, "v2");
        const auto after = answers.load();
        const auto hasContinued = eventually([&] { return answers >= after + 20; }, waitLimit);
        isStopping = true;
        for (auto& caller : callers)
            caller.join();
        for (const auto& problem : problems)
            CPPUNIT_ASSERT_EQUAL(std::string(), problem);
        CPPUNIT_ASSERT(hasStarted && hasContinued);
        assertNoViolation();
    }

private:
    void assertCompletionSucceeds(const std::string& organisation, const std::string& prompt)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), m_fleet->checkCompletion(organisation, prompt));
    }

    void assertNoViolation() { CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, m_fleet->runnerTotal("violations")); }

    void changeVersion(const std::string& version)
    {
        m_fleet->tables().revision = 1;
        m_fleet->tables().pools.at(0).version = version;
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->fleet().applyTables(m_fleet->tables()));
        CPPUNIT_ASSERT(m_fleet->fleet().waitForRevision(2, std::chrono::seconds(4)));
    }

    void sendLoadCommand(int runner, const std::string& version)
    {
        const nlohmann::json command { { "fencing_token", 1 }, { "command", "load_version" }, { "version", version } };
        support::call(m_fleet->fleet().backend(CacheFleet::runnerName(runner)), Verb::post, "/v1/commands", {}, command.dump());
    }

    void waitForVersion(int runner, const std::string& version)
    {
        CPPUNIT_ASSERT(eventually([&] { return m_fleet->runnerStats(runner)["now"]["version"] == version; }, waitLimit));
    }

    std::unique_ptr<CacheFleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CacheIsolationTest);

}
