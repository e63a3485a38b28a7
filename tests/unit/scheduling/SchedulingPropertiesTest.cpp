#include "PoolModel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;

class SchedulingPropertiesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SchedulingPropertiesTest);
    CPPUNIT_TEST(everyRequestIsGrantedOrRefusedExactlyOnce);
    CPPUNIT_TEST(classWithWaitingRequestsKeepsItsGuaranteedSlots);
    CPPUNIT_TEST(deficitStaysWithinBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that are lost in the queue, answered twice or both granted and refused.
    void everyRequestIsGrantedOrRefusedExactlyOnce()
    {
        CPPUNIT_ASSERT(rc::check([] {
            PoolModel model(FairSharePolicy({}), *rc::gen::inRange(1, 4), *rc::gen::inRange(1, 4));
            const auto count = *rc::gen::inRange(1, 60);
            for (int i = 0; i < count; ++i) {
                model.submit("r" + std::to_string(i), "org" + std::to_string(*rc::gen::inRange(0, 5)), *rc::gen::elementOf(allPriorities),
                    *rc::gen::inRange(0, 30'000), *rc::gen::inRange(1, 50), milliseconds(*rc::gen::inRange(50, 5'000)));
                if (*rc::gen::inRange(0, 3) == 0)
                    model.advance(milliseconds(*rc::gen::inRange(1, 200)));
            }
            model.advance(std::chrono::seconds(8));
            RC_ASSERT(model.policy.size() == 0);
            for (const auto& [id, outcome] : model.outcomes)
                RC_ASSERT(outcome.grants + outcome.refusals == 1);
        }));
    }

    // Guards against starvation of a class that has waiting requests and fewer running ones than its guaranteed slots.
    void classWithWaitingRequestsKeepsItsGuaranteedSlots()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const auto slots = *rc::gen::inRange(4, 20);
            PoolModel model(FairSharePolicy({}), 1, slots);
            for (int i = 0; i < 100; ++i) {
                for (const auto priority : allPriorities)
                    model.submit(std::string(priorityName(priority)) + std::to_string(i), "org", priority, *rc::gen::inRange(0, 200),
                        *rc::gen::inRange(5, 30));
            }
            const auto guaranteed = guaranteedSlots(model.shares, slots);
            // The first requests take free slots in order of arrival. Freed slots are then assigned by shares.
            model.advance(milliseconds(500));
            for (int step = 0; step < 20; ++step) {
                model.advance(milliseconds(5));
                const auto running = model.snapshot().runningByClass;
                for (const auto priority : allPriorities) {
                    const bool hasWork = !model.policy.organisations(priority).empty() && model.policy.organisations(priority)[0].waiting > 0;
                    RC_ASSERT(!hasWork || running[priorityIndex(priority)] >= guaranteed[priorityIndex(priority)]);
                }
            }
        }));
    }

    // Guards against an organisation that accumulates unlimited credit, or unlimited debt that blocks it.
    void deficitStaysWithinBounds()
    {
        CPPUNIT_ASSERT(rc::check([] {
            ClassQueue queue;
            double largest = queue.quantum();
            int next = 0;
            const auto steps = *rc::gen::inRange(1, 200);
            for (int i = 0; i < steps; ++i) {
                const auto organisation = "org" + std::to_string(*rc::gen::inRange(0, 4));
                switch (*rc::gen::inRange(0, 3)) {
                case 0: {
                    QueuedRequest request;
                    request.id = std::to_string(next++);
                    request.organisation = organisation;
                    request.promptTokens = *rc::gen::inRange(0, 100'000);
                    largest = std::max(largest, ClassQueue::fullCost(request));
                    queue.push(request);
                    break;
                }
                case 1: {
                    const bool canServe = *rc::gen::inRange(0, 2) == 0;
                    queue.take([&](const QueuedRequest& request) { return canServe ? std::optional(ClassQueue::fullCost(request)) : std::nullopt; });
                    break;
                }
                default:
                    queue.correctCharge(organisation, *rc::gen::inRange(0, 500'000), *rc::gen::inRange(0, 500'000));
                }
                for (const auto& state : queue.organisations()) {
                    RC_ASSERT(state.deficit >= -ClassQueue::debtLimit);
                    RC_ASSERT(state.deficit <= std::max(ClassQueue::debtLimit, 2 * largest));
                    RC_ASSERT(state.waiting > 0 || state.deficit <= 0);
                }
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingPropertiesTest);

}
