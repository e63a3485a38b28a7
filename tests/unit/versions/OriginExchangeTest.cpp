#include "chiveshelf/gateway/OriginExchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <thread>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;

constexpr milliseconds lifetime { 10'000 };
constexpr std::uint64_t stream = 1;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

class OriginExchangeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OriginExchangeTest);
    CPPUNIT_TEST(disputeIsSentBeforeAnythingElseRuns);
    CPPUNIT_TEST(recordIsSentWhileOneVersionServes);
    CPPUNIT_TEST(recordOfSecondVersionDoesNotWaitForThoseOfASoleOne);
    CPPUNIT_TEST(answersOfAMinorityAreNoMajority);
    CPPUNIT_TEST(searchFindsRecordAlthoughFirstQuestionsAreLost);
    CPPUNIT_TEST(searchThatIsInterruptedByAFreezeReadsTheAnswer);
    CPPUNIT_TEST(recordsCostFewDatagramsInFleetsOfAnySize);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a host that trusts an origin while the news that it is disputed still waits to be sent.
    void disputeIsSentBeforeAnythingElseRuns()
    {
        m_exchange.record({ stream, 5 }, true, now());
        runUntil([this] { return m_sent.size() == m_holders.size(); });
        m_sent.clear();
        m_exchange.record({ stream, 7 }, true, now());
        CPPUNIT_ASSERT_EQUAL(m_holders.size(), m_sent.size());
        for (const auto& entry : m_sent)
            CPPUNIT_ASSERT_EQUAL(StreamOrigins::disputed, entry.software);
    }

    // Guards against a host that stands still when a second version joins and is then the only one that knows its streams.
    void recordIsSentWhileOneVersionServes()
    {
        m_exchange.record({ stream, 5 }, false, now());
        runUntil([this] { return m_sent.size() == m_holders.size(); });
        CPPUNIT_ASSERT_EQUAL(m_holders.size(), m_sent.size());
    }

    // Guards against the longer delay once streams can be joined. Timers end in the order of their times, also if this process stands
    // still meanwhile.
    void recordOfSecondVersionDoesNotWaitForThoseOfASoleOne()
    {
        m_exchange.record({ stream, 5 }, false, now());
        m_exchange.record({ stream + 1, 7 }, true, now());
        std::optional<std::size_t> sentBefore;
        boost::asio::steady_timer timer(m_context, milliseconds(60));
        timer.async_wait([&](boost::system::error_code) { sentBefore = m_sent.size(); });
        runUntil([&] { return sentBefore.has_value(); });
        CPPUNIT_ASSERT(sentBefore);
        CPPUNIT_ASSERT_EQUAL(2 * m_holders.size(), *sentBefore);
    }

    // Guards against a cost that grows with the number of streams or of hosts. Rates are streams a second of the whole fleet.
    void recordsCostFewDatagramsInFleetsOfAnySize()
    {
        expectCost(6, 5, 167, 50);
        expectCost(68, 3, 334, 15);
        expectCost(295, 3, 2'048, 21);
    }

    // Guards against a group of hosts that share a cut: their answers prove nothing.
    void answersOfAMinorityAreNoMajority()
    {
        m_holders = { { "127.0.0.2", 1 }, { "127.0.0.3", 1 }, { "127.0.0.4", 1 }, { "127.0.0.5", 1 } };
        m_answering = { m_holders[0] };
        CPPUNIT_ASSERT(!find().isMajority());
        m_answering = { m_holders[0], m_holders[1] };
        CPPUNIT_ASSERT(find().isMajority());
        m_holders.clear();
        CPPUNIT_ASSERT(find().isMajority());
    }

    // Guards against datagrams that are lost while the queue of a host that has just woken overflows.
    void searchFindsRecordAlthoughFirstQuestionsAreLost()
    {
        m_lostQueries = 3 * m_holders.size();
        m_answering = { m_holders[0] };
        m_known = 7;
        const auto finding = find();
        CPPUNIT_ASSERT(finding.record);
        CPPUNIT_ASSERT_EQUAL(SoftwareId(7), finding.record->software);
    }

    // Guards against a search that ends, as the process goes on, before it has read the answer.
    void searchThatIsInterruptedByAFreezeReadsTheAnswer()
    {
        m_answering = {};
        std::optional<OriginExchange::Finding> finding;
        startFind(finding);
        m_context.run_one_for(milliseconds(50));
        std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
        boost::asio::steady_timer timer(m_context, milliseconds(1));
        timer.async_wait([this](boost::system::error_code) { m_exchange.onAnswer(m_holders[0], { stream, true, 7, false }, now()); });
        runUntil([&] { return finding.has_value(); });
        CPPUNIT_ASSERT(finding && finding->record);
    }

private:
    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = now() + std::chrono::seconds(5);
        while (!condition() && now() < end) {
            m_context.run_one_for(milliseconds(5));
            m_context.restart();
        }
    }

    void startFind(std::optional<OriginExchange::Finding>& out)
    {
        boost::asio::co_spawn(
            m_context, [this, &out]() -> boost::asio::awaitable<void> { out = co_await m_exchange.find(stream, "pool"); }, boost::asio::detached);
    }

    OriginExchange::Finding find()
    {
        std::optional<OriginExchange::Finding> out;
        startFind(out);
        runUntil([&] { return out.has_value(); });
        CPPUNIT_ASSERT(out);
        return *out;
    }

    void onQuery(const Address& holder, const OriginQuery& query)
    {
        if (m_lostQueries > 0) {
            --m_lostQueries;
            return;
        }
        if (m_answering.contains(holder))
            boost::asio::post(m_context, [this, holder, query] { m_exchange.onAnswer(holder, { query.stream, m_known != 0, m_known, false }, now()); });
    }

    // Plays a second of one host. Streams begin at equal distances, and each has other holders than the one before.
    void expectCost(std::size_t hosts, std::size_t holders, std::size_t rate, double mostDatagrams)
    {
        boost::asio::io_context context(1);
        StreamOrigins origins { lifetime };
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;
        OriginExchange::Port port { [&](std::uint64_t id) {
                                       std::vector<Address> out;
                                       for (std::size_t i = 0; i < holders; ++i)
                                           out.push_back({ "127.0.0.1", static_cast<std::uint16_t>(1 + (id * holders + i) % (hosts - 1)) });
                                       return out;
                                   },
            [&](const Address&, const OriginNotice& notice) {
                ++datagrams;
                bytes += peer::encode(notice).size();
            },
            [](const Address&, const OriginQuery&) {}, [](const Address&, const OriginAnswer&) {}, [](const std::string&) { return false; } };
        OriginExchange exchange(context, origins, std::move(port));
        const auto begin = now();
        const auto interval = std::chrono::nanoseconds(std::chrono::seconds(1)) * hosts / rate;
        std::uint64_t begun = 0;
        while (now() - begin < std::chrono::seconds(1)) {
            for (; begin + interval * begun <= now(); ++begun)
                exchange.record({ begun, 5 }, false, now());
            context.run_for(milliseconds(1));
            context.restart();
        }
        context.run_for(milliseconds(150));
        std::cout << " " << hosts << " hosts: " << datagrams << " datagrams and " << bytes << " bytes per host and second";
        CPPUNIT_ASSERT(static_cast<double>(datagrams) <= mostDatagrams + static_cast<double>(holders));
    }

    boost::asio::io_context m_context { 1 };
    StreamOrigins m_origins { lifetime };
    std::vector<Address> m_holders { { "127.0.0.2", 1 }, { "127.0.0.3", 1 } };
    std::vector<OriginEntry> m_sent;
    // Holders that answer, how many questions are lost before, and the software that the answers name, or 0.
    std::set<Address> m_answering;
    std::size_t m_lostQueries = 0;
    SoftwareId m_known = 0;
    OriginExchange m_exchange { m_context, m_origins,
        OriginExchange::Port { [this](std::uint64_t) { return m_holders; },
            [this](const Address&, const OriginNotice& notice) { m_sent.insert(m_sent.end(), notice.entries.begin(), notice.entries.end()); },
            [this](const Address& holder, const OriginQuery& query) { onQuery(holder, query); }, [](const Address&, const OriginAnswer&) {}, [](const std::string&) { return false; } } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginExchangeTest);

}
