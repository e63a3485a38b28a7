#include "chiveshelf/gateway/OriginExchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <thread>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
namespace asio = boost::asio;

constexpr std::uint64_t stream = 17;
constexpr std::uint64_t software = 5;

// The search for the origin of a stream. Answers are datagrams of one byte, the number of the host that answers.
class OriginExchangeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OriginExchangeTest);
    CPPUNIT_TEST(answersThatArrivedWhileLoopWasBlockedBeyondSearchLimitAreHeard);
    CPPUNIT_TEST(searchWithoutAnswersEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        const char* group = std::getenv("CHIVESHELF_TEST_NETWORK");
        const auto address = asio::ip::make_address("127." + std::string(group ? group : "70") + ".251.1");
        m_socket = std::make_unique<asio::ip::udp::socket>(m_context, asio::ip::udp::endpoint(address, 0));
        m_hasAnswers = true;
    }

    void tearDown() override { m_socket.reset(); }

    // Guards against taking hosts for silent whose answers lie in the socket, so that a stream can't be resumed.
    void answersThatArrivedWhileLoopWasBlockedBeyondSearchLimitAreHeard()
    {
        receive();
        const auto finding = find();
        CPPUNIT_ASSERT(finding);
        CPPUNIT_ASSERT(finding->record);
        CPPUNIT_ASSERT_EQUAL(software, finding->record->software);
    }

    void searchWithoutAnswersEnds()
    {
        m_hasAnswers = false;
        const auto finding = find();
        CPPUNIT_ASSERT(finding);
        CPPUNIT_ASSERT(!finding->record);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), finding->answers);
    }

private:
    static Address hostAddress(int number) { return { "127.0.1." + std::to_string(number), 1 }; }

    // Only the last host knows the stream.
    void receive()
    {
        m_socket->async_receive(asio::buffer(&m_number, 1), [this](boost::system::error_code ec, std::size_t) {
            if (ec)
                return;
            const bool isKnown = m_number == 3;
            m_exchange.onAnswer(hostAddress(m_number), { stream, isKnown, isKnown ? software : 0, true }, std::chrono::steady_clock::now());
            receive();
        });
    }

    void sendQuery(const Address& host)
    {
        const auto number = static_cast<unsigned char>(host.ip.back() - '0');
        if (m_hasAnswers)
            m_socket->send_to(asio::buffer(&number, 1), m_socket->local_endpoint());
    }

    // Searches, and blocks the loop once the queries have been sent.
    std::optional<OriginExchange::Finding> find()
    {
        std::optional<OriginExchange::Finding> out;
        asio::co_spawn(
            m_context, [&]() -> asio::awaitable<void> { out = co_await m_exchange.find(stream, m_pool); }, asio::detached);
        asio::post(m_context, [] { std::this_thread::sleep_for(milliseconds(300)); });
        m_context.run_for(milliseconds(700));
        return out;
    }

    asio::io_context m_context { 1 };
    std::unique_ptr<asio::ip::udp::socket> m_socket;
    unsigned char m_number = 0;
    bool m_hasAnswers = true;
    std::string m_pool = "desk";
    StreamOrigins m_origins { milliseconds(60'000) };
    OriginExchange m_exchange { m_context, m_origins,
        { [](std::uint64_t) { return std::vector<Address> { hostAddress(1), hostAddress(2), hostAddress(3) }; }, [](const Address&, const OriginNotice&) {},
            [this](const Address& host, const OriginQuery&) { sendQuery(host); }, [](const Address&, const OriginAnswer&) {}, [](const std::string&) { return true; } } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginExchangeTest);

}
