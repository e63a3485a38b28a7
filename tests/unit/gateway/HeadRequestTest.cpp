#include "GatewayFixture.h"

namespace {

using namespace chiveshelf;
using fakeplatform::Script;
using std::chrono::milliseconds;
namespace asio = boost::asio;

// Sends HEAD requests that the host answers itself, and reads all that it writes.
class HeadRequestTest : public fakeplatform::GatewayFixture {
    CPPUNIT_TEST_SUITE(HeadRequestTest);
    CPPUNIT_TEST(ownAnswerWithoutRouteHasNoBodyBeforeNextAnswer);
    CPPUNIT_TEST(ownAnswerWithoutKeyHasNoBodyBeforeNextAnswer);
    CPPUNIT_TEST(ownAnswerAfterLostRunnerHasNoBodyBeforeNextAnswer);
    CPPUNIT_TEST(ownAnswerToUnreadableRequestHasNoBody);
    CPPUNIT_TEST(ownAnswerToOtherMethodKeepsItsBody);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayFixture::setUp();
        addRunner([](const auto& request) {
            if (request.method() == http::Verb::head)
                return Script { "", Script::End::Reset };
            return Script { fakeplatform::sealedResponse(request, 200, "sound") };
        });
        startGateway();
    }

    // Guards against the body of an answer to HEAD where the caller finds the answer to its next request.
    void ownAnswerWithoutRouteHasNoBodyBeforeNextAnswer()
    {
        expectNextAnswerAfterHeader(404, "/unknown/1", "key1");
    }

    void ownAnswerWithoutKeyHasNoBodyBeforeNextAnswer()
    {
        expectNextAnswerAfterHeader(401, "/look/1", "nobody");
    }

    void ownAnswerAfterLostRunnerHasNoBodyBeforeNextAnswer()
    {
        expectNextAnswerAfterHeader(502, "/look/1", "key1");
    }

    // Guards against the same where the rest of the request can't be read and the connection is closed.
    void ownAnswerToUnreadableRequestHasNoBody()
    {
        const auto received = exchange("HEAD /look/1 HTTP/1.1\r\nHost: desk.example\r\nBroken\r\n\r\n");
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT_EQUAL(received.size(), received.find("\r\n\r\n") + 4);
    }

    // Guards against answers that lose their body for all methods.
    void ownAnswerToOtherMethodKeepsItsBody()
    {
        const auto received = exchange(request("GET", "/unknown/1", "key1"));
        const auto length = received.size() - received.find("\r\n\r\n") - 4;
        CPPUNIT_ASSERT(length > 0);
        CPPUNIT_ASSERT(received.find("Content-Length: " + std::to_string(length) + "\r\n") != std::string::npos);
    }

private:
    static std::string request(const std::string& method, const std::string& path, const std::string& key)
    {
        return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: id1\r\nX-Deadline-Ms: 1000\r\nApi-Key: " + key + "\r\n\r\n";
    }

    // Writes bytes to a new connection and returns all that the host writes within 400 ms after them.
    std::string exchange(const std::string& bytes)
    {
        asio::ip::tcp::socket socket(*m_context);
        socket.connect(http::toEndpoint({ m_network + ".1", 7'001 }));
        asio::write(socket, asio::buffer(bytes));
        runFor(milliseconds(400));
        socket.non_blocking(true);
        std::string received(16'384, '\0');
        boost::system::error_code ec;
        received.resize(socket.read_some(asio::buffer(received), ec));
        return received;
    }

    void expectNextAnswerAfterHeader(unsigned status, const std::string& path, const std::string& key)
    {
        const auto received = exchange(request("HEAD", path, key) + request("GET", "/look/2", "key1"));
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 " + std::to_string(status) + " "));
        CPPUNIT_ASSERT(received.find("Content-Length: ") < received.find("\r\n\r\n"));
        const auto next = received.substr(received.find("\r\n\r\n") + 4);
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 "), next.substr(0, 13));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadRequestTest);

}
