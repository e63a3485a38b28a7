#include "chiveshelf/membership/MemberStateMachine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using chiveshelf::MemberState;
using chiveshelf::MemberStateMachine;

class MemberStateMachineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemberStateMachineTest);
    CPPUNIT_TEST(reportsInAnyOrderEndInSameState);
    CPPUNIT_TEST(goneMemberReturnsOnlyWithHigherIncarnation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against hosts that disagree on a member's state because they received its reports in different orders.
    void reportsInAnyOrderEndInSameState()
    {
        const std::vector<MemberState> states { MemberState::Live, MemberState::Suspect, MemberState::Leaving, MemberState::Gone };
        for (const auto first : states) {
            for (const auto second : states) {
                for (std::uint64_t incarnation = 4; incarnation <= 6; ++incarnation) {
                    MemberStateMachine forward(first, 5);
                    forward.report(second, incarnation);
                    MemberStateMachine backward(second, incarnation);
                    backward.report(first, 5);
                    CPPUNIT_ASSERT(forward.state() == backward.state());
                    CPPUNIT_ASSERT_EQUAL(forward.incarnation(), backward.incarnation());
                }
            }
        }
    }

    // Guards against a delayed Live report that restores a removed member.
    void goneMemberReturnsOnlyWithHigherIncarnation()
    {
        MemberStateMachine machine(MemberState::Live, 5);
        CPPUNIT_ASSERT(machine.report(MemberState::Gone, 5));
        CPPUNIT_ASSERT(!machine.report(MemberState::Live, 5));
        CPPUNIT_ASSERT(machine.state() == MemberState::Gone);
        CPPUNIT_ASSERT(machine.report(MemberState::Live, 6));
        CPPUNIT_ASSERT(machine.state() == MemberState::Live);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberStateMachineTest);

}
