#include "chiveshelf/gateway/CacheFollower.h"
#include "chiveshelf/core/Hash.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;

const Address storeAddress { "127.72.0.1", 7'300 };

// A host of a large fleet that relies on the cache notices of others. Nothing listens at the store's address.
class CacheFollowerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CacheFollowerTest);
    CPPUNIT_TEST(storeContentsFromNoticesNeedNoListing);
    CPPUNIT_TEST(noticeWithNewEpochClearsOldParts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_settings.dataCentre = "z";
        m_settings.peerAddress = { "127.72.0.2", 7'301 };
        m_settings.hostName = nonPollingHostName();
        m_state = std::make_unique<ServingState>(m_settings);
        RoutingTables tables;
        tables.version = 1;
        RegisteredPool pool;
        pool.name = "store";
        pool.store = CacheStore { storeAddress, "z", 100'000 };
        tables.pools.push_back(pool);
        m_state->acceptTables(std::move(tables), { "test" });
        m_exchange = std::make_unique<HostExchange>(m_context, m_settings, *m_state);
        m_follower = std::make_unique<CacheFollower>(m_context, m_client, *m_state, *m_exchange, [] { return false; });
        CPPUNIT_ASSERT(m_exchange->start());
        m_exchange->setHosts(otherHosts());
        m_follower->start();
        CPPUNIT_ASSERT(m_noticeSender.start({ "127.72.0.3", 7'301 }));
    }

    void tearDown() override
    {
        m_exchange->stop();
        m_noticeSender.stop();
    }

    // Hundreds of hosts that each list every store would saturate the links between data centres.
    void storeContentsFromNoticesNeedNoListing()
    {
        sendNotice(7, "0a");
        const auto& contents = *m_state->cacheStores().front();
        CPPUNIT_ASSERT(contents.isConfirmed(bootTime()));
        CPPUNIT_ASSERT(contents.contains(CacheScope { "m", 1, "" }, 0x0a));
        m_context.run_for(milliseconds(1'500));
        sendNotice(7, "0b");
        CPPUNIT_ASSERT(contents.contains(CacheScope { "m", 1, "" }, 0x0a));
        CPPUNIT_ASSERT(contents.contains(CacheScope { "m", 1, "" }, 0x0b));
    }

    // Parts that a store lost in a restart must not be fetched.
    void noticeWithNewEpochClearsOldParts()
    {
        sendNotice(7, "0a");
        sendNotice(8, "0b");
        const auto& contents = *m_state->cacheStores().front();
        CPPUNIT_ASSERT(!contents.contains(CacheScope { "m", 1, "" }, 0x0a));
        CPPUNIT_ASSERT(contents.contains(CacheScope { "m", 1, "" }, 0x0b));
    }

private:
    static std::map<std::string, Address> otherHosts()
    {
        std::map<std::string, Address> out;
        for (int i = 0; i < 20; ++i)
            out.emplace("other-" + std::to_string(i), Address { "127.72.1." + std::to_string(i + 1), 7'301 });
        return out;
    }

    // Returns a name whose rendezvous hashing position for the store is behind most of the other hosts.
    static std::string nonPollingHostName()
    {
        const auto seed = hash64(toString(storeAddress));
        for (int i = 0;; ++i) {
            const auto name = "host-" + std::to_string(i);
            std::size_t n = 0;
            for (const auto& [other, address] : otherHosts())
                n += hash64(other, seed) > hash64(name, seed) ? 1 : 0;
            if (n >= 15)
                return name;
        }
    }

    void sendNotice(std::uint64_t epoch, const std::string& part)
    {
        CacheNotice notice;
        notice.store = toString(storeAddress);
        notice.epoch = epoch;
        notice.partCount = 1;
        notice.entries.push_back({ CacheScope { "m", 1, "" }.text(), part, std::stoull(part, nullptr, 16), 500, true });
        m_noticeSender.send(m_settings.peerAddress, notice);
        m_context.run_for(milliseconds(50));
    }

    boost::asio::io_context m_context { 1 };
    http::Client m_client { m_context };
    peer::DatagramChannel m_noticeSender { m_context };
    GatewaySettings m_settings;
    std::unique_ptr<ServingState> m_state;
    std::unique_ptr<HostExchange> m_exchange;
    std::unique_ptr<CacheFollower> m_follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CacheFollowerTest);

}
