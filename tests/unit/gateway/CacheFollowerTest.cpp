#include "chiveshelf/gateway/CacheFollower.h"
#include "chiveshelf/core/Hash.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;

const Address storeAddress { "127.72.0.1", 7'300 };

// A host of a large fleet that depends on what others tell of a store. Nothing listens at the store's address.
class CacheFollowerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CacheFollowerTest);
    CPPUNIT_TEST(storeIsKnownFromNoticesWithoutAListing);
    CPPUNIT_TEST(restartOfTheStoreForgetsItsParts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_settings.dataCentre = "z";
        m_settings.peerAddress = { "127.72.0.2", 7'301 };
        m_settings.hostName = nameOfAHostThatDoesNotAsk();
        m_state = std::make_unique<ServingState>(m_settings);
        RoutingTables tables;
        tables.version = 1;
        RegisteredPool pool;
        pool.name = "store";
        pool.store = CacheStore { storeAddress, "z", 100'000 };
        tables.pools.push_back(pool);
        m_state->acceptTables(std::move(tables), "", "test");
        m_exchange = std::make_unique<HostExchange>(m_context, m_settings, *m_state);
        m_follower = std::make_unique<CacheFollower>(m_context, m_client, *m_state, *m_exchange, [] { return false; });
        CPPUNIT_ASSERT(m_exchange->start());
        m_exchange->setHosts(otherHosts());
        m_follower->start();
        CPPUNIT_ASSERT(m_teller.start({ "127.72.0.3", 7'301 }));
    }

    void tearDown() override
    {
        m_exchange->stop();
        m_teller.stop();
    }

    // Guards against hundreds of hosts that each list each store, which fills the links between data centres.
    void storeIsKnownFromNoticesWithoutAListing()
    {
        tell(7, "0a");
        const auto& contents = *m_state->cacheStores().front();
        CPPUNIT_ASSERT(contents.isConfirmed(bootTime()));
        CPPUNIT_ASSERT(contents.contains(CacheScope { "m", 1, "" }, 0x0a));
        m_context.run_for(milliseconds(1'500));
        tell(7, "0b");
        CPPUNIT_ASSERT(contents.contains(CacheScope { "m", 1, "" }, 0x0a));
        CPPUNIT_ASSERT(contents.contains(CacheScope { "m", 1, "" }, 0x0b));
    }

    // Guards against fetching what a store has lost.
    void restartOfTheStoreForgetsItsParts()
    {
        tell(7, "0a");
        tell(8, "0b");
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

    // Returns a name that is behind most others in the order of those who ask the store.
    static std::string nameOfAHostThatDoesNotAsk()
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

    void tell(std::uint64_t epoch, const std::string& part)
    {
        CacheNotice notice;
        notice.store = toString(storeAddress);
        notice.epoch = epoch;
        notice.partCount = 1;
        notice.entries.push_back({ CacheScope { "m", 1, "" }.text(), part, std::stoull(part, nullptr, 16), 500, true });
        m_teller.send(m_settings.peerAddress, notice);
        m_context.run_for(milliseconds(50));
    }

    boost::asio::io_context m_context { 1 };
    http::Client m_client { m_context };
    peer::DatagramChannel m_teller { m_context };
    GatewaySettings m_settings;
    std::unique_ptr<ServingState> m_state;
    std::unique_ptr<HostExchange> m_exchange;
    std::unique_ptr<CacheFollower> m_follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CacheFollowerTest);

}
