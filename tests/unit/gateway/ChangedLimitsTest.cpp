#include "GatewayFixture.h"

namespace {

using namespace chiveshelf;
using fakeplatform::Script;
using std::chrono::milliseconds;
namespace asio = boost::asio;

// Limits of callers that change while connections are open.
class ChangedLimitsTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(ChangedLimitsTest);
    CPPUNIT_TEST(bodyWithinRaisedLimitOnKeptConnectionIsForwarded);
    CPPUNIT_TEST(headerWithinRaisedLimitOnKeptConnectionIsForwarded);
    CPPUNIT_TEST(bodyBeyondLoweredLimitOnKeptConnectionGets413);
    CPPUNIT_TEST(bodyWhoseLimitIsRaisedWhileItArrivesIsForwarded);
    CPPUNIT_TEST(bodyWhoseLimitIsLoweredWhileItArrivesIsForwarded);
    CPPUNIT_TEST(chunkedBodyBeyondLimitGets413);
    CPPUNIT_TEST(connectionIsKeptForRaisedIdleTime);
    CPPUNIT_TEST(connectionIsClosedAfterLoweredIdleTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing, by the limits of an older configuration, what the present one allows.
    void bodyWithinRaisedLimitOnKeptConnectionIsForwarded()
    {
        start(R"("bodyBytes":1000)");
        const auto caller = connectCaller();
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*caller, request(500)));
        setLimits(R"("bodyBytes":100000)");
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*caller, request(50'000)));
    }

    // Guards against the same for headers.
    void headerWithinRaisedLimitOnKeptConnectionIsForwarded()
    {
        start(R"("headerBytes":1000)");
        const auto caller = connectCaller();
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*caller, request(5)));
        setLimits(R"("headerBytes":16000)");
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*caller, request(5, "X-Note: " + std::string(8'000, 'n') + "\r\n")));
    }

    // Guards against callers that keep to a former, higher limit for as long as their connection lives.
    void bodyBeyondLoweredLimitOnKeptConnectionGets413()
    {
        start(R"("bodyBytes":100000)");
        const auto caller = connectCaller();
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*caller, request(50'000)));
        setLimits(R"("bodyBytes":1000)");
        CPPUNIT_ASSERT_EQUAL(413U, exchange(*caller, request(50'000)));
    }

    // Guards against refusing a body at its end that is allowed by then.
    void bodyWhoseLimitIsRaisedWhileItArrivesIsForwarded()
    {
        start(R"("bodyBytes":1000)");
        const auto caller = connectCaller();
        asio::write(*caller, asio::buffer(chunkedHeader() + fakeplatform::chunk(std::string(900, 'b'))));
        runFor(milliseconds(50));
        setLimits(R"("bodyBytes":100000)");
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*caller, fakeplatform::chunk(std::string(9'000, 'b')) + "0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(9'900), m_runners[0]->requests().back().body().size());
    }

    // Guards against refusing a request that was sent before its limit was lowered.
    void bodyWhoseLimitIsLoweredWhileItArrivesIsForwarded()
    {
        start(R"("bodyBytes":100000)");
        const auto caller = connectCaller();
        const auto bytes = request(50'000);
        asio::write(*caller, asio::buffer(bytes.substr(0, 20)));
        runFor(milliseconds(50));
        setLimits(R"("bodyBytes":1000)");
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*caller, bytes.substr(20)));
    }

    // Guards against bodies without a stated length that evade the limit.
    void chunkedBodyBeyondLimitGets413()
    {
        start(R"("bodyBytes":1000)");
        const auto caller = connectCaller();
        CPPUNIT_ASSERT_EQUAL(413U, exchange(*caller, chunkedHeader() + fakeplatform::chunk(std::string(1'001, 'b')) + "0\r\n\r\n"));
        const auto other = connectCaller();
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*other, chunkedHeader() + fakeplatform::chunk(std::string(1'000, 'b')) + "0\r\n\r\n"));
    }

    // Guards against closing a connection that its caller may still use.
    void connectionIsKeptForRaisedIdleTime()
    {
        start(R"("idleMs":100)");
        const auto caller = connectCaller();
        setLimits(R"("idleMs":5000)");
        runFor(milliseconds(1'700));
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*caller, request(5)));
    }

    // Guards against connections that keep their place for the former, longer idle time.
    void connectionIsClosedAfterLoweredIdleTime()
    {
        start(R"("idleMs":60000)");
        const auto caller = connectCaller();
        CPPUNIT_ASSERT_EQUAL(200U, exchange(*caller, request(5)));
        setLimits(R"("idleMs":100)");
        boost::system::error_code ec;
        char byte = 0;
        caller->non_blocking(true, ec);
        runUntil([&] {
            caller->read_some(asio::buffer(&byte, 1), ec);
            return ec == asio::error::eof;
        });
        CPPUNIT_ASSERT_EQUAL(boost::system::error_code(asio::error::eof), ec);
    }

private:
    void start(const std::string& limits)
    {
        setLimits(limits);
        addRunner([](const auto& request) { return Script { fakeplatform::sealedResponse(request, 200, "x"), Script::End::Keep }; });
        startGateway();
    }

    // Writes a new version of the tables with these limits, and waits until it is in force.
    void setLimits(const std::string& limits)
    {
        auto text = fakeplatform::sellTables(++m_tablesVersion);
        text.insert(1, "\"limits\":{" + limits + "},");
        m_store->put("op/config", text);
        if (m_gateway)
            runFor(milliseconds(200));
    }

    std::unique_ptr<asio::ip::tcp::socket> connectCaller()
    {
        auto socket = std::make_unique<asio::ip::tcp::socket>(m_callerContext);
        socket->connect(http::toEndpoint({ m_network + ".1", 7'001 }));
        runFor(milliseconds(50));
        return socket;
    }

    static std::string request(std::size_t bodyBytes, const std::string& moreHeaders = {})
    {
        return "POST /look/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: id1\r\nX-Deadline-Ms: 3000\r\nApi-Key: key1\r\n" + moreHeaders + "Content-Length: "
            + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
    }

    static std::string chunkedHeader()
    {
        return "POST /look/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: id1\r\nX-Deadline-Ms: 3000\r\nApi-Key: key1\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    // Writes bytes and returns the status of the response, 0 if there is none.
    unsigned exchange(asio::ip::tcp::socket& socket, const std::string& bytes)
    {
        boost::system::error_code ec;
        socket.non_blocking(false, ec);
        asio::write(socket, asio::buffer(bytes), ec);
        socket.non_blocking(true, ec);
        std::string received;
        runUntil([&] {
            char buf[1'024];
            received.append(buf, socket.read_some(asio::buffer(buf), ec));
            return received.size() >= 12;
        });
        runFor(milliseconds(30));
        char rest[4'096];
        socket.read_some(asio::buffer(rest), ec);
        return received.size() >= 12 ? static_cast<unsigned>(std::stoi(received.substr(9, 3))) : 0;
    }

    asio::io_context m_callerContext { 1 };
    int m_tablesVersion = 3;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangedLimitsTest);

}
