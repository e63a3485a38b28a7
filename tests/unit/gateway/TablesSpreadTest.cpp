#include "GatewayFixture.h"

#include <sstream>

namespace {

using fakeplatform::Script;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Counts what the spreading of the tables costs the hosts, in one process.
class TablesSpreadTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(TablesSpreadTest);
    CPPUNIT_TEST(textThatArrivesAgainIsNotDecoded);
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
        m_store->put("op/config", fakeplatform::sellTables(9));
        runFor(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(2.0, gauge("tables_texts_decoded", m_network + ".1"));
        CPPUNIT_ASSERT_EQUAL(200U, fetch(post("/sell/1")).status);
    }

private:
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
