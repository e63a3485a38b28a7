#include "chiveshelf/cache/ExportQueue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using chiveshelf::Address;
using chiveshelf::ExportOffer;
using chiveshelf::ExportQueue;

class ExportQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ExportQueueTest);
    CPPUNIT_TEST(takeBestReturnsMostValuableOfferOfIdleStore);
    CPPUNIT_TEST(fullQueueDropsLeastValuableOffer);
    CPPUNIT_TEST(offerOlderThanLifetimeExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against exports of prompts that seldom return before those of more valuable ones.
    void takeBestReturnsMostValuableOfferOfIdleStore()
    {
        m_queue.add(offer(1, m_idle));
        m_queue.add(offer(3, m_idle));
        m_queue.add(offer(2, m_idle));
        m_queue.add(offer(4, m_busy));
        CPPUNIT_ASSERT_EQUAL(3.0, take());
        CPPUNIT_ASSERT_EQUAL(2.0, take());
        CPPUNIT_ASSERT_EQUAL(1.0, take());
        CPPUNIT_ASSERT_EQUAL(-1.0, take());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_queue.size());
    }

    // Guards against unbounded memory use while a store is down.
    void fullQueueDropsLeastValuableOffer()
    {
        for (std::size_t i = 0; i < ExportQueue::maximumOffers; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_queue.add(offer(static_cast<double>(i) + 1, m_idle)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_queue.add(offer(1'000, m_idle)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_queue.add(offer(0.5, m_idle)));
        CPPUNIT_ASSERT_EQUAL(ExportQueue::maximumOffers, m_queue.size());
        CPPUNIT_ASSERT_EQUAL(1'000.0, take());
    }

    // Guards against exports of blocks that the runner has already evicted.
    void offerOlderThanLifetimeExpires()
    {
        m_queue.add(offer(1, m_idle));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, m_queue.expire(m_now + ExportQueue::offerLifetime));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_queue.expire(m_now + ExportQueue::offerLifetime + std::chrono::milliseconds(1)));
    }

private:
    ExportOffer offer(double value, const Address& store) const
    {
        ExportOffer out;
        out.value = value;
        out.store = store;
        out.offeredAt = m_now;
        return out;
    }

    // Returns the value of the offer taken, or -1.
    double take()
    {
        const auto taken = m_queue.takeBest([this](const Address& store) { return store == m_idle; });
        return taken ? taken->value : -1;
    }

    Address m_idle { "127.0.0.1", 8000 };
    Address m_busy { "127.0.0.2", 8000 };
    chiveshelf::StoreLinks::Clock::time_point m_now = chiveshelf::StoreLinks::Clock::now();
    ExportQueue m_queue;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExportQueueTest);

}
