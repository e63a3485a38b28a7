#include "CacheFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

namespace {

using support::CacheFleet;

constexpr std::size_t promptBlocks = 20;
constexpr int promptCount = 7;
constexpr std::int64_t promptTokens = promptBlocks * CacheFleet::blockTokens;

// Response times and recomputed tokens of the returning prompts through one host.
struct Measurement {
    double medianMs = 0;
    double recomputedShare = 0;
};

class CacheReturnTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CacheReturnTest);
    CPPUNIT_TEST(importedPromptIsAnsweredFasterThanRecomputedPrompt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against imports that take longer than recomputing the prompt. Both are measured in one run; host-2 imports nothing.
    void importedPromptIsAnsweredFasterThanRecomputedPrompt()
    {
        CacheFleet fleet;
        for (int i = 0; i < promptCount; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string(), fleet.checkCompletion("org-a", CacheFleet::prompt(std::to_string(i), promptBlocks), 1));
        CPPUNIT_ASSERT(fleet.waitForStoredBlocks(promptBlocks * promptCount));
        const auto recompute = measure(fleet, "host-2");
        const auto import = measure(fleet, "host-1");
        std::cerr << "\nrecompute_ms=" << recompute.medianMs << " import_ms=" << import.medianMs << " recomputed_share=" << import.recomputedShare
                  << " baseline_share=" << recompute.recomputedShare << "\n";
        CPPUNIT_ASSERT(import.medianMs < recompute.medianMs / 2);
        CPPUNIT_ASSERT(import.recomputedShare < 0.1);
        CPPUNIT_ASSERT(recompute.recomputedShare > 0.9);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, fleet.runnerTotal("violations"));
    }

private:
    // An answer has one token, so that its duration is the time to the first token.
    static Measurement measure(CacheFleet& fleet, const std::string& host)
    {
        const auto before = fleet.runnerTotal("computed_tokens");
        std::vector<double> times;
        for (int i = 0; i < promptCount; ++i) {
            fleet.evictRunnerCaches();
            const auto start = std::chrono::steady_clock::now();
            CPPUNIT_ASSERT_EQUAL(std::string(), fleet.checkCompletion("org-a", CacheFleet::prompt(std::to_string(i), promptBlocks), 1, host));
            times.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
        }
        std::sort(times.begin(), times.end());
        const auto computed = fleet.runnerTotal("computed_tokens") - before;
        return { times[times.size() / 2], static_cast<double>(computed) / static_cast<double>(promptTokens * promptCount) };
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CacheReturnTest);

}
