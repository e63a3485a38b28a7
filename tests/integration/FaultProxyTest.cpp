#include "Fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using chiveshelf::http::Verb;
using Milliseconds = std::chrono::milliseconds;

class FaultProxyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FaultProxyTest);
    CPPUNIT_TEST(eachFaultFailsCallsUntilCleared);
    CPPUNIT_TEST(silentPooledConnectionTimesOutAndNewConnectionWorks);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->useProxy("service-1");
        m_fleet->startService("service-1", "east");
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against faults without effect: tests that use the proxy would then pass without testing anything.
    void eachFaultFailsCallsUntilCleared()
    {
        CPPUNIT_ASSERT_EQUAL(200u, probe());
        for (const nlohmann::json& fault : { nlohmann::json { { "cut", "to_target" } }, nlohmann::json { { "cut", "to_caller" } },
                 nlohmann::json { { "drop_percent", 100 } }, nlohmann::json { { "connections", "refuse" } },
                 nlohmann::json { { "connections", "reset" } }, nlohmann::json { { "frozen", true } } }) {
            m_fleet->setFault("service-1", fault);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.dump(), 0u, probe());
            m_fleet->setFault("service-1", { { "cut", "" }, { "drop_percent", 0 }, { "connections", "accept" }, { "frozen", false } });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.dump(), 200u, probe());
        }
        m_fleet->setFault("service-1", { { "delay_ms", 60 } });
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(200u, probe());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >= Milliseconds(120));
    }

    // Guards against a silent fault that closes the connection, which callers would detect immediately.
    void silentPooledConnectionTimesOutAndNewConnectionWorks()
    {
        boost::asio::io_context context(1);
        chiveshelf::http::Client client(context);
        std::vector<unsigned> statuses;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                for (int i = 0; i < 3; ++i) {
                    if (i == 1)
                        m_fleet->setFault("service-1", { { "silent", true } });
                    const chiveshelf::http::CallLimits limits { Milliseconds(300), Milliseconds(300) };
                    auto request = chiveshelf::http::makeRequest(Verb::get, "/control/runs");
                    const auto response = co_await client.send(m_fleet->backend("service-1"), std::move(request), limits);
                    statuses.push_back(response ? response->result_int() : 0);
                }
            },
            boost::asio::detached);
        context.run();
        CPPUNIT_ASSERT((statuses == std::vector<unsigned> { 200, 0, 200 }));
    }

private:
    unsigned probe() const
    {
        return support::call(m_fleet->backend("service-1"), Verb::get, "/control/runs", {}, {}, Milliseconds(300)).status;
    }

    std::unique_ptr<support::Fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultProxyTest);

}
