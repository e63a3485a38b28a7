#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace {

using chiveshelf::http::Verb;
using nlohmann::json;

class FakeKeyValueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FakeKeyValueTest);
    CPPUNIT_TEST(expiredLeaseRemovesKeyAndEndsWatch);
    CPPUNIT_TEST(renewedLeaseKeepsKey);
    CPPUNIT_TEST(callsAboveRateLimitAreRefused);
    CPPUNIT_TEST(hostListChangeIsVisibleAfterLag);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against lease tests that pass only because leases of the fake never expire.
    void expiredLeaseRemovesKeyAndEndsWatch()
    {
        const auto revision = putWithLease(300);
        const auto watched = send(Verb::get, "/kv/k?wait_ms=5000&after=" + revision);
        CPPUNIT_ASSERT_EQUAL(404u, watched.status);
        const auto again = send(Verb::put, "/kv/k?expect=0", "v");
        CPPUNIT_ASSERT_EQUAL(200u, again.status);
        CPPUNIT_ASSERT(std::stoull(again.header("X-Revision")) > std::stoull(revision));
    }

    // Guards against a lease that expires although it is renewed.
    void renewedLeaseKeepsKey()
    {
        putWithLease(400);
        const auto begin = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(support::eventually(
            [&] {
                CPPUNIT_ASSERT_EQUAL(200u, send(Verb::post, "/leases/1/keepalive").status);
                return std::chrono::steady_clock::now() - begin > std::chrono::milliseconds(900);
            },
            std::chrono::seconds(5)));
        CPPUNIT_ASSERT_EQUAL(200u, send(Verb::get, "/kv/k").status);
        CPPUNIT_ASSERT_EQUAL(200u, send(Verb::delete_, "/leases/1").status);
        CPPUNIT_ASSERT_EQUAL(404u, send(Verb::get, "/kv/k").status);
    }

    // Guards against a fake without the rate limit of the real service.
    void callsAboveRateLimitAreRefused()
    {
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "reads_per_second", 2 } });
        std::size_t refused = 0;
        for (int i = 0; i < 6; ++i)
            refused += send(Verb::get, "/kv/k").status == 429 ? 1 : 0;
        CPPUNIT_ASSERT(refused >= 3);
    }

    // Guards against a fake whose host list is always current, while the real list lags.
    void hostListChangeIsVisibleAfterLag()
    {
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "host_list_lag_ms", 400 } });
        send(Verb::put, "/control/hosts", R"([{"name": "h"}])");
        CPPUNIT_ASSERT(json::parse(send(Verb::get, "/hosts").body).empty());
        CPPUNIT_ASSERT(support::eventually([&] { return !json::parse(send(Verb::get, "/hosts").body).empty(); }, std::chrono::seconds(3)));
    }

private:
    support::ProbeResponse send(Verb verb, const std::string& target, const std::string& body = {}) const
    {
        return support::call(m_fleet->platform(), verb, target, {}, body);
    }

    // Writes the key `k` with lease 1 and returns its revision.
    std::string putWithLease(int timeToLiveMs) const
    {
        CPPUNIT_ASSERT_EQUAL(200u, send(Verb::post, "/leases", json { { "ttl_ms", timeToLiveMs } }.dump()).status);
        const auto written = send(Verb::put, "/kv/k?expect=0&lease=1", "v");
        CPPUNIT_ASSERT_EQUAL(200u, written.status);
        return written.header("X-Revision");
    }

    std::unique_ptr<support::Fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeKeyValueTest);

}
