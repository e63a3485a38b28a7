#include "chiveshelf/core/BodyBudget.h"
#include "chiveshelf/core/LogThrottle.h"
#include "chiveshelf/core/MemoryPlan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kb = 1'024;
constexpr std::size_t mb = 1'024 * kb;
constexpr std::size_t ordinaryBytes = 72 * kb;

class BodyBudgetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BodyBudgetTest);
    CPPUNIT_TEST(largeBodiesLeaveReservedBytesForOrdinaryOnes);
    CPPUNIT_TEST(smallestBodyFitsInExhaustedBudget);
    CPPUNIT_TEST(bodyAboveBudgetFitsAlone);
    CPPUNIT_TEST(growthBeyondBudgetIsRefusedAndKeepsFormerNumber);
    CPPUNIT_TEST(slowBodyIsDroppedForBodyThatDoesNotFit);
    CPPUNIT_TEST(slowBodyIsKeptWhileOthersFit);
    CPPUNIT_TEST(bodyAtMinimumRateIsNeverDropped);
    CPPUNIT_TEST(bodyThatStopsIsSlowAfterWindow);
    CPPUNIT_TEST(bodyThatStopsAfterBurstIsSlowAfterWindow);
    CPPUNIT_TEST(completeBodyIsNeverDropped);
    CPPUNIT_TEST(crowdOfStalledOrdinaryBodiesGivesWay);
    CPPUNIT_TEST(endOfBodyGivesItsBytesBack);
    CPPUNIT_TEST(planOfMachineStaysWithinItsMemory);
    CPPUNIT_TEST(throttleAllowsOneLinePerInterval);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a crowd of large bodies that keeps ordinary requests out.
    void largeBodiesLeaveReservedBytesForOrdinaryOnes()
    {
        fill(4 * mb);
        CPPUNIT_ASSERT(m_budget->held() <= 12 * mb);
        CPPUNIT_ASSERT(add()->resize(ordinaryBytes, m_now));
        CPPUNIT_ASSERT(!add()->resize(4 * mb, m_now));
    }

    void smallestBodyFitsInExhaustedBudget()
    {
        fill(4 * mb);
        fill(ordinaryBytes);
        CPPUNIT_ASSERT(!add()->resize(ordinaryBytes, m_now));
        CPPUNIT_ASSERT(add()->resize(BodyBudget::freeBytesPerBody, m_now));
    }

    // Guards against tables whose limit of bodies can't be met on a small machine.
    void bodyAboveBudgetFitsAlone()
    {
        CPPUNIT_ASSERT(add()->resize(64 * mb, m_now));
        CPPUNIT_ASSERT(!add()->resize(mb, m_now));
    }

    void growthBeyondBudgetIsRefusedAndKeepsFormerNumber()
    {
        fill(4 * mb);
        auto* const body = add();
        CPPUNIT_ASSERT(body->resize(ordinaryBytes, m_now));
        const auto held = m_budget->held();
        CPPUNIT_ASSERT(!body->resize(4 * mb, m_now));
        CPPUNIT_ASSERT_EQUAL(held, m_budget->held());
    }

    // Guards against bodies that stop short of their end and hold the memory for as long as the tables allow.
    void slowBodyIsDroppedForBodyThatDoesNotFit()
    {
        fill(4 * mb);
        m_now += BodyBudget::rateWindow;
        CPPUNIT_ASSERT(add()->resize(4 * mb, m_now));
        CPPUNIT_ASSERT_EQUAL(1, m_dropped);
    }

    void slowBodyIsKeptWhileOthersFit()
    {
        CPPUNIT_ASSERT(add()->resize(4 * mb, m_now));
        m_now += seconds(10);
        CPPUNIT_ASSERT(add()->resize(4 * mb, m_now));
        CPPUNIT_ASSERT_EQUAL(0, m_dropped);
    }

    void bodyAtMinimumRateIsNeverDropped()
    {
        fill(4 * mb);
        for (int i = 0; i < 100; ++i) {
            m_now += milliseconds(100);
            for (const auto& body : m_bodies)
                body->onReceived(m_limits.minBytesPerSecond / 10 + 1, m_now);
            CPPUNIT_ASSERT(!HeldBody(m_budget, m_now, nullptr).resize(4 * mb, m_now));
        }
        CPPUNIT_ASSERT_EQUAL(0, m_dropped);
    }

    // Guards against the average rate, which remains high for seconds after a fast body has stopped.
    void bodyThatStopsIsSlowAfterWindow()
    {
        auto* const body = add();
        for (int i = 0; i < 10; ++i) {
            m_now += milliseconds(100);
            body->onReceived(mb, m_now);
        }
        CPPUNIT_ASSERT(!body->isSlow(m_now));
        m_now += BodyBudget::rateWindow;
        CPPUNIT_ASSERT(body->isSlow(m_now));
    }

    // Guards against a window that a burst at its start makes look fast for seconds.
    void bodyThatStopsAfterBurstIsSlowAfterWindow()
    {
        auto* const body = add();
        body->onReceived(4 * mb, m_now);
        m_now += BodyBudget::rateWindow - milliseconds(1);
        CPPUNIT_ASSERT(!body->isSlow(m_now));
        m_now += milliseconds(1);
        CPPUNIT_ASSERT(body->isSlow(m_now));
    }

    // Guards against a request that is answered as not run after it was sent to a runner.
    void completeBodyIsNeverDropped()
    {
        fill(4 * mb);
        for (const auto& body : m_bodies)
            body->complete();
        m_now += seconds(10);
        CPPUNIT_ASSERT(!add()->resize(4 * mb, m_now));
        CPPUNIT_ASSERT_EQUAL(0, m_dropped);
    }

    // Guards against the reserved bytes being used up by bodies that look ordinary.
    void crowdOfStalledOrdinaryBodiesGivesWay()
    {
        fill(ordinaryBytes);
        CPPUNIT_ASSERT(!add()->resize(ordinaryBytes, m_now));
        m_now += BodyBudget::rateWindow;
        CPPUNIT_ASSERT(add()->resize(ordinaryBytes, m_now));
        CPPUNIT_ASSERT_EQUAL(1, m_dropped);
    }

    void endOfBodyGivesItsBytesBack()
    {
        CPPUNIT_ASSERT(add()->resize(4 * mb, m_now));
        m_bodies.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget->held());
    }

    void planOfMachineStaysWithinItsMemory()
    {
        for (const std::size_t memoryMb : { 88, 110, 160, 512, 4'096 }) {
            const auto plan = MemoryPlan::forMachine(memoryMb, 1'916);
            CPPUNIT_ASSERT(plan.bodyBytes + plan.responseBytes + plan.connections * MemoryPlan::connectionBytes <= memoryMb * mb * 86 / 100);
            CPPUNIT_ASSERT(plan.bodyBytes - plan.smallBodyBytes >= 4 * mb);
            CPPUNIT_ASSERT(plan.connections <= 1'916);
        }
    }

    void throttleAllowsOneLinePerInterval()
    {
        LogThrottle throttle(seconds(1));
        CPPUNIT_ASSERT(throttle.record(m_now) == 1u);
        CPPUNIT_ASSERT(!throttle.record(m_now));
        CPPUNIT_ASSERT(throttle.record(m_now + seconds(1)) == 2u);
    }

private:
    HeldBody* add()
    {
        m_bodies.push_back(std::make_unique<HeldBody>(m_budget, m_now, [this] { ++m_dropped; }));
        return m_bodies.back().get();
    }

    // Adds bodies of `n` bytes until one doesn't fit.
    void fill(std::size_t n)
    {
        while (add()->resize(n, m_now)) { }
        m_bodies.pop_back();
    }

    const BodyBudget::Limits m_limits { 16 * mb, 4 * mb, 64 * kb };
    std::shared_ptr<BodyBudget> m_budget = std::make_shared<BodyBudget>(m_limits);
    std::vector<std::unique_ptr<HeldBody>> m_bodies;
    TimePoint m_now { seconds(1'000) };
    int m_dropped = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyBudgetTest);

}
