#include "chiveshelf/core/HeldBytes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace {

using chiveshelf::HeldBytes;
using chiveshelf::HeldBytesBudget;

constexpr auto freeBytes = HeldBytesBudget::freeBytesPerHolder;

class HeldBytesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HeldBytesTest);
    CPPUNIT_TEST(manyHoldersStayWithinBudgetTogether);
    CPPUNIT_TEST(shortAnswerIsHeldBesideExhaustedBudget);
    CPPUNIT_TEST(refusedGrowthKeepsFormerNumber);
    CPPUNIT_TEST(endOfHolderGivesItsBytesBack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers that are each within their limit and together use up the memory of the process.
    void manyHoldersStayWithinBudgetTogether()
    {
        std::vector<std::unique_ptr<HeldBytes>> holders;
        std::size_t granted = 0;
        for (int i = 0; i < 600; ++i) {
            holders.push_back(std::make_unique<HeldBytes>(m_budget));
            granted += holders.back()->resize(freeBytes + 250) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'000), m_budget->held());
    }

    // Guards against sound requests that fail because faulty answers hold all that there is.
    void shortAnswerIsHeldBesideExhaustedBudget()
    {
        HeldBytes faulty(m_budget);
        CPPUNIT_ASSERT(faulty.resize(freeBytes + 1'000));
        HeldBytes sound(m_budget);
        CPPUNIT_ASSERT(sound.resize(freeBytes));
        CPPUNIT_ASSERT(!sound.resize(freeBytes + 1));
    }

    void refusedGrowthKeepsFormerNumber()
    {
        HeldBytes held(m_budget);
        CPPUNIT_ASSERT(held.resize(freeBytes + 600));
        CPPUNIT_ASSERT(!held.resize(freeBytes + 1'001));
        CPPUNIT_ASSERT_EQUAL(std::size_t(600), m_budget->held());
        CPPUNIT_ASSERT(held.resize(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget->held());
    }

    void endOfHolderGivesItsBytesBack()
    {
        {
            HeldBytes held(m_budget);
            CPPUNIT_ASSERT(held.resize(freeBytes + 600));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget->held());
    }

private:
    std::shared_ptr<HeldBytesBudget> m_budget = std::make_shared<HeldBytesBudget>(1'000);
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeldBytesTest);

}
