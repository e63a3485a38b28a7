#include "GatewayFixture.h"

#include <numeric>
#include <sstream>

namespace {

using fakeplatform::Script;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Counts what the spreading of the tables costs the hosts, in one process.
class TablesSpreadTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(TablesSpreadTest);
    CPPUNIT_TEST(textThatArrivesAgainIsNotDecoded);
    CPPUNIT_TEST(largeTablesReachAllHostsAsUpdates);
    CPPUNIT_TEST(hostThatStartsWithoutStoreGetsWholeTables);
    CPPUNIT_TEST(hostWithoutReachablePeersReadsSingleItem);
    CPPUNIT_TEST(textOfOwnWatchIsAppliedAfterNoticeWithoutIt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against hosts that stand still for the decoding of the same text on each full read and each write of it.
    void textThatArrivesAgainIsNotDecoded()
    {
        addRunner([](const auto& request) { return Script { fakeplatform::sealedResponse(request, 200, "x") }; });
        startGateway();
        CPPUNIT_ASSERT_EQUAL(1.0, gauge("tables_texts_decoded", m_network + ".1"));
        m_store->put("op/config", fakeplatform::tables);
        runFor(milliseconds(200));
        const auto reads = m_store->readCount();
        m_store->abortWatches();
        runFor(milliseconds(500));
        CPPUNIT_ASSERT(m_store->readCount() > reads);
        CPPUNIT_ASSERT_EQUAL(1.0, gauge("tables_texts_decoded", m_network + ".1"));
        // Another text of the version in force, as after an update from another host.
        m_store->put("op/config", std::string(fakeplatform::tables) + " ");
        runFor(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(1.0, gauge("tables_texts_decoded", m_network + ".1"));
        m_store->put("op/config", fakeplatform::sellTables(9));
        runFor(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2.0, gauge("tables_texts_decoded", m_network + ".1"));
        CPPUNIT_ASSERT_EQUAL(200U, fetch(post("/sell/1")).status);
    }

    // Guards against links and processors of small hosts that are busy with the text of large tables on each change: whole reads of the
    // store, whole texts from other hosts, and the decoding of each.
    void largeTablesReachAllHostsAsUpdates()
    {
        startFleet();
        const auto reads = m_store->readCount();
        int version = 10;
        for (const int routes : { 1'400, 2'800, 4'200, 4'201 }) {
            const auto servedBefore = served();
            const auto start = std::chrono::steady_clock::now();
            m_store->put("op/config", largeTables(++version, routes));
            // Reading the metrics of all hosts takes long beside their work in this thread.
            runUntil([&] {
                runFor(milliseconds(20));
                return slowestVersion() == version;
            },
                seconds(3));
            const auto elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
            CPPUNIT_ASSERT_EQUAL(version, slowestVersion());
            const auto servedAfter = served();
            for (int i = m_fastHosts; i < hostCount; ++i) {
                const auto bytes = servedAfter[i] - servedBefore[i];
                // Half of the link, and a piece that is on its way.
                CPPUNIT_ASSERT(bytes <= m_slowLinkMbps * 1'000'000 / 8 / 2 * elapsed + 2 * 32 * 1'024);
            }
            const auto total = sum(servedAfter) - sum(servedBefore);
            // Each host but the watching ones gets the new rows once.
            CPPUNIT_ASSERT(total <= hostCount * (routes == 4'201 ? 1'000.0 : 40'000.0));
        }
        CPPUNIT_ASSERT_EQUAL(reads, m_store->readCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_store->itemReadCount());
        double decoded = 0;
        for (int i = 0; i < hostCount; ++i)
            decoded += gauge("tables_texts_decoded", hostIp(i));
        // Each host at its start, and the two that watch on each change.
        CPPUNIT_ASSERT(decoded <= hostCount + 2 * 4);
        for (int i = 0; i < hostCount; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(i, post("/idle/4199/")).status);
    }

    // Guards against hosts that stay without tables while the store doesn't answer them.
    void hostThatStartsWithoutStoreGetsWholeTables()
    {
        startFleet();
        m_store->put("op/config", largeTables(11, 1'400));
        runFor(seconds(2));
        m_store->overrideResponses("{}", 1'000);
        startHost(hostCount, 2);
        runUntil([&] { return versionOf(hostCount) == 11; }, seconds(3));
        CPPUNIT_ASSERT_EQUAL(11, versionOf(hostCount));
        CPPUNIT_ASSERT_EQUAL(1.0, gauge("tables_arrivals_total{way=\"whole\"}", hostIp(hostCount)));
        CPPUNIT_ASSERT_EQUAL(200U, fetchFrom(hostCount, post("/idle/1399/")).status);
    }

    // Guards against a host that stays on old tables because those who have newer ones can't be reached, and against one that reads
    // the whole store for it.
    void hostWithoutReachablePeersReadsSingleItem()
    {
        startGateway();
        const auto reads = m_store->readCount();
        m_store->delayNextAnswer("/kv-watch", seconds(8));
        m_store->put("op/config", largeTables(11, 1'400));
        chiveshelf::peer::DatagramChannel channel(*m_context);
        CPPUNIT_ASSERT(channel.start({ m_network + ".5", 7'003 }));
        chiveshelf::LoadNotice notice;
        notice.tablesVersion = 11;
        channel.send({ m_network + ".1", 7'003 }, notice);
        runUntil([&] { return gauge("tables_version", m_network + ".1") == 11; }, seconds(4));
        CPPUNIT_ASSERT_EQUAL(11.0, gauge("tables_version", m_network + ".1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_store->itemReadCount());
        CPPUNIT_ASSERT_EQUAL(reads, m_store->readCount());
        channel.stop();
    }

    // Guards against a host that drops the text which its own watch returns, because the notice of another host moved its position.
    void textOfOwnWatchIsAppliedAfterNoticeWithoutIt()
    {
        startGateway();
        chiveshelf::peer::DatagramChannel channel(*m_context);
        CPPUNIT_ASSERT(channel.start({ m_network + ".5", 7'003 }));
        chiveshelf::StoreNotice notice;
        notice.from = { m_store->era(), m_store->revision() };
        m_store->delayNextAnswer("/kv-watch", milliseconds(500));
        m_store->put("op/config", largeTables(11, 10));
        notice.to = { m_store->era(), m_store->revision() };
        notice.hasChanges = true;
        notice.changes.push_back({ "op/config", "", m_store->revision(), false });
        channel.send({ m_network + ".1", 7'003 }, notice);
        runUntil([&] { return gauge("tables_version", m_network + ".1") == 11; }, seconds(2));
        CPPUNIT_ASSERT_EQUAL(11.0, gauge("tables_version", m_network + ".1"));
        channel.stop();
    }

private:
    static constexpr int hostCount = 10;

    // Returns tables with the usual routes and many more.
    static std::string largeTables(int version, int routes)
    {
        auto out = nlohmann::json::parse(fakeplatform::sellTables(version));
        for (int i = 0; i < routes; ++i) {
            const auto number = std::to_string(i);
            out["routes"].push_back({ { "name", "idle-route-of-the-desk-" + number }, { "host", "desk.example" }, { "pathPrefix", "/idle/" + number + "/" },
                { "kind", "idempotent" }, { "resumable", false }, { "timeoutMs", 1'500 }, { "goalMs", 300 }, { "gapAimMs", 0 }, { "priority", 2 },
                { "backends", { { { "service", "desk" }, { "weight", 1 } } } }, { "attempts", 1 } });
        }
        return out.dump();
    }

    // Two hosts have fast links, the others slow ones.
    void startFleet()
    {
        m_fastHosts = 2;
        addRunner([](const auto& request) { return Script { fakeplatform::sealedResponse(request, 200, "x") }; });
        startHosts(hostCount);
        // By then all hosts know each other, and the first watches have ended.
        runFor(seconds(6));
    }

    int versionOf(int host) { return static_cast<int>(gauge("tables_version", hostIp(host))); }

    int slowestVersion()
    {
        int out = versionOf(0);
        for (int i = 1; i < hostCount; ++i)
            out = std::min(out, versionOf(i));
        return out;
    }

    // Bytes of tables that each host has sent to others.
    std::vector<double> served()
    {
        std::vector<double> out;
        for (int i = 0; i < hostCount; ++i)
            out.push_back(gauge("tables_bytes_total", hostIp(i)));
        return out;
    }

    static double sum(const std::vector<double>& numbers) { return std::accumulate(numbers.begin(), numbers.end(), 0.0); }

    // Returns a value of a host's metrics.
    double gauge(const std::string& name, const std::string& ip)
    {
        std::istringstream lines(fetch("GET /metrics HTTP/1.1\r\nHost: admin\r\n\r\n", 7'002, ip).body);
        const auto prefix = "chiveshelf_gateway_" + name + " ";
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(prefix))
                return std::stod(line.substr(prefix.size()));
        }
        CPPUNIT_FAIL("no metric " + name);
        return 0;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesSpreadTest);

}
