#include "chiveshelf/gateway/OriginExchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <cppunit/extensions/HelperMacros.h>

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
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a host that trusts an origin while the news that it is disputed still waits to be sent.
    void disputeIsSentBeforeAnythingElseRuns()
    {
        m_exchange.record({ stream, 5 }, true, now());
        m_context.run_for(milliseconds(150));
        m_context.restart();
        m_sent.clear();
        m_exchange.record({ stream, 7 }, true, now());
        CPPUNIT_ASSERT_EQUAL(m_holders.size(), m_sent.size());
        for (const auto& entry : m_sent)
            CPPUNIT_ASSERT_EQUAL(StreamOrigins::disputed, entry.software);
    }

private:
    boost::asio::io_context m_context { 1 };
    StreamOrigins m_origins { lifetime };
    std::vector<Address> m_holders { { "127.0.0.2", 1 }, { "127.0.0.3", 1 } };
    std::vector<OriginEntry> m_sent;
    OriginExchange m_exchange { m_context, m_origins,
        OriginExchange::Port { [this](std::uint64_t) { return m_holders; },
            [this](const Address&, const OriginNotice& notice) { m_sent.insert(m_sent.end(), notice.entries.begin(), notice.entries.end()); },
            [](const Address&, const OriginQuery&) {}, [](const Address&, const OriginAnswer&) {}, [](const std::string&) { return false; } } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginExchangeTest);

}
