#include "GatewayFixture.h"

#include "chiveshelf/placement/CacheScope.h"

namespace {

using namespace chiveshelf;
using fakeplatform::Script;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = boost::asio;

// The runners' clock in ms.
std::int64_t clockMs()
{
    return std::chrono::duration_cast<milliseconds>(bootTime()).count();
}

// A store of cached parts that holds the same parts until they are freed.
class PartStore {
public:
    PartStore(asio::io_context& context, json parts)
        : m_context(context)
        , m_parts(std::move(parts))
        , m_server(context, {}, [this](http::Exchange& exchange) { return handle(exchange); })
    {
    }

    Result<void> start(const Address& address) { return m_server.start(address); }

    // When the first parts were freed, a time of the runners' clock.
    std::optional<std::int64_t> freedAt() const { return m_freedAt; }

private:
    asio::awaitable<void> handle(http::Exchange& exchange)
    {
        const auto target = std::string(exchange.request().target());
        json body { { "epoch", 7 }, { "nextToken", 0 }, { "clock_ms", clockMs() } };
        if (target.starts_with("/kv-list")) {
            body["held"] = m_parts;
        } else if (target.starts_with("/kv-events")) {
            asio::steady_timer timer(m_context, milliseconds(200));
            co_await timer.async_wait(asio::use_awaitable);
            body["events"] = json::array();
            body["lost"] = false;
            body["clock_ms"] = clockMs();
        } else if (target.starts_with("/kv-free")) {
            m_freedAt = m_freedAt.value_or(clockMs());
        }
        auto response = http::makeResponse(http::Status::ok, body.dump());
        co_await exchange.respond(std::move(response));
    }

    asio::io_context& m_context;
    json m_parts;
    http::Server m_server;
    std::optional<std::int64_t> m_freedAt;
};

// Two hosts, two model runners and a store of cached parts. One host loses the key-value store, and then a new version is announced.
class FreedPartsTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(FreedPartsTest);
    CPPUNIT_TEST(partsAreFreedOnlyAfterFetchesOfHostThatMissedTheVersion);
    CPPUNIT_TEST(hostWithoutStoreFetchesOnWhileAnotherHostConfirmsTheVersions);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override
    {
        m_hosts.clear();
        m_partStore.reset();
        GatewayFixture::tearDown();
    }

    // Guards against answers made from freed parts: the leader doesn't know the runner that still fetches them, since it has left
    // without a notice, and the host that uses it knows neither of its removal nor of the new version.
    void partsAreFreedOnlyAfterFetchesOfHostThatMissedTheVersion()
    {
        startFleet();
        const int away = leader() == 0 ? 1 : 0;
        setStoreCut(away, true);
        sendPrompts(away, milliseconds(500));
        m_store->remove("servers/r1");
        m_store->put("op/version/m", R"({"model":"m","version":2})");
        const auto announcedAt = clockMs();
        sendPrompts(away, milliseconds(5'000));
        CPPUNIT_ASSERT_MESSAGE("the parts are never freed", m_partStore->freedAt());
        std::size_t n = 0;
        for (const auto& fetch : m_fetches) {
            CPPUNIT_ASSERT_MESSAGE("a fetch has no end", fetch.endMs);
            CPPUNIT_ASSERT_MESSAGE("a fetch may end after its parts were freed", *fetch.endMs <= *m_partStore->freedAt());
            n += fetch.sentMs > announcedAt ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE("nothing was fetched after the announcement", n > 0);
        CPPUNIT_ASSERT_MESSAGE("the host still fetches", m_fetches.back().sentMs < *m_partStore->freedAt());
    }

    // Guards against hosts that give up the stores when only their own path to the key-value store fails.
    void hostWithoutStoreFetchesOnWhileAnotherHostConfirmsTheVersions()
    {
        startFleet();
        const int away = leader() == 0 ? 1 : 0;
        setStoreCut(away, true);
        sendPrompts(away, milliseconds(5'000));
        CPPUNIT_ASSERT_MESSAGE("the host stopped fetching", !m_fetches.empty() && clockMs() - m_fetches.back().sentMs < 400);
    }

private:
    struct Fetch {
        std::int64_t sentMs = 0;
        std::optional<std::int64_t> endMs;
    };

    void startFleet()
    {
        m_fetches.clear();
        const Address partStore { m_network + ".3", 9'000 };
        m_partStore = std::make_unique<PartStore>(*m_context, json::array({ json::array({ CacheScope { "m", 1, "" }.text(), "91bd0001", 8'610, "m" }) }));
        CPPUNIT_ASSERT(m_partStore->start(partStore));
        m_store->put("op/config", R"({"version":4,"routes":[
{"name":"draft","host":"desk.example","pathPrefix":"/draft/","service":"models","kind":"stream","attempts":1,"timeoutMs":3000,"goalMs":1200,"priority":2,"sticky":true}],
"services":[{"name":"models","maxConns":100,"engine":{"capacity":64,"kvTokens":138177,"kvBytes":327680,"linkMbps":310000.0}},
{"name":"shelf","kvStoreAddr":")"
                + toString(partStore) + R"(","managed":true,"zone":"z","kvTokens":1410516,"linkMbps":1100000.0,"first_ms":6.0,"maxInflight":12}]})");
        m_store->put("op/version/m", R"({"model":"m","version":1})");
        for (std::size_t i = 0; i < 2; ++i) {
            m_versions[i] = 1;
            addRunner([this, i](const auto& request) { return serve(i, request); }, R"(,"service":"models","capacity":64,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}])");
        }
        linkStore(0);
        linkStore(1);
        startHosts(2);
        // The leader may send orders once it has held its lease for the order gap of 3 s.
        runUntil([this] { return m_store->contains("rollout/leader"); });
        runFor(milliseconds(3'500));
    }

    int leader() const
    {
        return m_store->valueOf("rollout/leader") == "host-0" ? 0 : 1;
    }

    Script serve(std::size_t runner, const http::Request& request)
    {
        const auto target = std::string(request.target());
        json body { { "stage", "both" }, { "models", json::array({ { { "name", "m" }, { "version", m_versions[runner] }, { "adapters", json::array() } } }) }, { "busy", false }, { "sequence", m_versions[runner] - 1 } };
        if (target == "/report" || target == "/order") {
            if (target == "/order")
                m_versions[runner] = json::parse(request.body()).at("version").get<int>();
            const auto text = body.dump();
            return Script { "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text };
        }
        const bool isFetching = http::header(request, "X-Kv-Fetch").find(':') != std::string::npos;
        if (isFetching && http::header(request, "X-Cache-Salt") == CacheScope { "m", 1, "" }.text()) {
            const auto end = http::header(request, "X-Kv-Until");
            m_fetches.push_back({ clockMs(), end.empty() ? std::nullopt : std::optional<std::int64_t>(std::stoll(end)) });
        }
        return Script { fakeplatform::sealedStreamHeader(request) + fakeplatform::chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n" };
    }

    // Sends prompts to a host, one after the other, whose shared part is in the store.
    void sendPrompts(int host, milliseconds duration)
    {
        for (const auto end = std::chrono::steady_clock::now() + duration; std::chrono::steady_clock::now() < end;) {
            const auto id = std::to_string(++m_prompts);
            fetchFrom(host, "POST /draft/" + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: p" + id + "\r\nX-Deadline-Ms: 3000\r\nX-Model: m\r\nX-Token-Count: 11480,5\r\nX-Prompt-Prefix: 91bd0001:8610," + id + "a0:2870\r\nContent-Length: 0\r\n\r\n");
            runFor(milliseconds(60));
        }
    }

    std::unique_ptr<PartStore> m_partStore;
    std::array<int, 2> m_versions {};
    std::vector<Fetch> m_fetches;
    int m_prompts = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreedPartsTest);

}
