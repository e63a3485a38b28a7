#include "chiveshelf/placement/AttemptHistory.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace chiveshelf;

const std::vector<Verdict> allVerdicts { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran };

class AttemptHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AttemptHistoryTest);
    CPPUNIT_TEST(nonRepeatableRequestAfterPossibleRunIsNotRetried);
    CPPUNIT_TEST(repeatableRequestWithAnyOutcomesStaysWithinRunLimit);
    CPPUNIT_TEST(verdictAfterAnyOutcomesIsTheStrongest);
    CPPUNIT_TEST(refusedRequestIsSentAtMostMaxSendsTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that runs twice, and against a refusal that claims that a request did not run although it may have.
    void nonRepeatableRequestAfterPossibleRunIsNotRetried()
    {
        const bool holds = rc::check([](const std::vector<std::uint8_t>& outcomes, std::uint8_t limit) {
            AttemptHistory history(false, limit);
            for (const auto outcome : outcomes) {
                if (!history.maySendAgain())
                    break;
                RC_ASSERT(history.verdict() == Verdict::NotRun);
                history.record(allVerdicts[outcome % 3]);
            }
            RC_ASSERT(history.runs() <= 1U);
        });
        CPPUNIT_ASSERT(holds);
    }

    void repeatableRequestWithAnyOutcomesStaysWithinRunLimit()
    {
        const bool holds = rc::check([](const std::vector<std::uint8_t>& outcomes, std::uint8_t limit) {
            AttemptHistory history(true, limit);
            for (const auto outcome : outcomes) {
                if (!history.maySendAgain())
                    break;
                history.record(allVerdicts[outcome % 3]);
            }
            RC_ASSERT(history.runs() <= std::max<unsigned>(limit, 1));
            RC_ASSERT(history.sends() <= AttemptHistory::maxSends);
        });
        CPPUNIT_ASSERT(holds);
    }

    void verdictAfterAnyOutcomesIsTheStrongest()
    {
        const bool holds = rc::check([](const std::vector<std::uint8_t>& outcomes) {
            AttemptHistory history(true, 9);
            auto strongest = Verdict::NotRun;
            for (const auto outcome : outcomes) {
                strongest = std::max(strongest, allVerdicts[outcome % 3]);
                history.record(allVerdicts[outcome % 3]);
                RC_ASSERT(history.verdict() == strongest);
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    void refusedRequestIsSentAtMostMaxSendsTimes()
    {
        AttemptHistory history(true, 2);
        unsigned n = 0;
        while (history.maySendAgain() && n < 100) {
            history.record(Verdict::NotRun);
            ++n;
        }
        CPPUNIT_ASSERT_EQUAL(AttemptHistory::maxSends, n);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptHistoryTest);

}
