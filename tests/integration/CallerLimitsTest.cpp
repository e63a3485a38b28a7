#include "GatewayFleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using chiveshelf::http::Request;
using fakeplatform::Script;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::CallerResponse;
using support::statusBytes;

// A quarter of the usual limit, so that a small crowd exceeds the memory.
constexpr std::size_t bodyBytes = 1'024 * 1'024;
constexpr std::size_t memoryMb = 64;
constexpr std::size_t maxMemoryBytes = memoryMb * 1'024 * 1'024;
// Crowds of large bodies hold more than twice the memory if they are kept whole.
constexpr std::size_t largeCrowd = 150;
// The largest body of an ordinary caller.
constexpr std::size_t ordinaryBytes = 72 * 1'024;
constexpr std::size_t fewDescriptors = 400;
constexpr std::size_t manyConnections = 300;
constexpr milliseconds sampleInterval { 20 };
constexpr milliseconds crowdTime { 12'000 };
// Within the time that an incomplete body has, so that the crowd is still there when the ordinary request is sent.
constexpr milliseconds settleTime { 1'500 };
constexpr int host = 1;

const std::string tables = R"({"version":3,"limits":{"headerBytes":16384,"bodyBytes":)" + std::to_string(bodyBytes) + R"(,"headerMs":3000,"idleMs":15000},"routes":[
{"name":"sound","host":"desk.example","pathPrefix":"/sound/","kind":"idempotent","timeoutMs":20000,"goalMs":300,"priority":2,"service":"sound","attempts":2}],
"services":[{"name":"sound","maxConns":2000}],
"tenants":[{"name":"gallery","apiKeys":["key1"]}]})";

std::size_t descriptorCount(int process)
{
    std::error_code ec;
    std::size_t n = 0;
    for (std::filesystem::directory_iterator it("/proc/" + std::to_string(process) + "/fd", ec); !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
        ++n;
    return n;
}

// Returns the bytes that the kernel has received for the connections at an address and that the process has not read.
std::size_t unreadBytes(const chiveshelf::Address& address)
{
    const auto ip = boost::asio::ip::make_address_v4(address.ip).to_bytes();
    char local[16];
    std::snprintf(local, sizeof(local), "%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.port);
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::size_t out = 0;
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string number;
        std::string from;
        std::string to;
        std::string state;
        std::string queues;
        words >> number >> from >> to >> state >> queues;
        const auto colon = queues.find(':');
        // The queue of a listening socket counts connections.
        const bool isListening = state == "0A";
        if (from == local && !isListening && colon != std::string::npos)
            out += std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
    return out;
}

std::string header(const std::string& framing)
{
    static int number = 0;
    // Each request has its own target, so that none is quarantined for the failure of an earlier one.
    const auto id = std::to_string(++number);
    return "POST /sound/" + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: id" + id + "\r\nApi-Key: key1\r\n" + framing + "\r\n\r\n";
}

std::string announced(std::size_t n)
{
    return header("Content-Length: " + std::to_string(n));
}

std::string chunked()
{
    return header("Transfer-Encoding: chunked");
}

// Returns a body in chunks of `size` bytes, without the last chunk.
std::string chunks(std::size_t n, std::size_t size)
{
    std::string out;
    for (std::size_t sent = 0; sent < n; sent += size)
        out += fakeplatform::chunk(std::string(std::min(size, n - sent), 'a'));
    return out;
}

// What each caller of a crowd sends before it stops and leaves its connection open.
struct Crowd {
    std::size_t callers = largeCrowd;
    std::function<std::string()> head;
    std::string body {};
    std::size_t pieceBytes = bodyBytes;
    milliseconds pause { 0 };
};

// Callers that nobody controls, at one host. Guards against a host that exceeds its memory or its descriptors, and against one that answers
// nobody else meanwhile. Times, and how many of the crowd are served, are not checked.
class CallerLimitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerLimitsTest);
    CPPUNIT_TEST(wholeBodiesThatStopShortLeaveMemoryBounded);
    CPPUNIT_TEST(bodiesInPiecesThatStopShortLeaveMemoryBounded);
    CPPUNIT_TEST(largeChunksThatStopShortLeaveMemoryBounded);
    CPPUNIT_TEST(smallChunksThatStopShortLeaveMemoryBounded);
    CPPUNIT_TEST(completeBodiesLeaveMemoryBounded);
    CPPUNIT_TEST(announcedBodiesOverLimitLeaveMemoryBounded);
    CPPUNIT_TEST(chunkedBodiesOverLimitLeaveMemoryBounded);
    CPPUNIT_TEST(ordinaryBodiesThatStopShortLeaveMemoryBounded);
    CPPUNIT_TEST(bytesBehindRequestsInProgressLeaveMemoryBounded);
    CPPUNIT_TEST(manyConnectionsLeaveDescriptorsForOthers);
    CPPUNIT_TEST(singleLargestBodyIsServedInAnyFraming);
    CPPUNIT_TEST(restOfRefusedBodyIsNotTakenForRequest);
    CPPUNIT_TEST(restOfRefusedChunkedBodyIsNotTakenForRequest);
    CPPUNIT_TEST(stalledBodyGivesWayAndGets408);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::GatewayFleet>(tables, 1);
        m_fleet->addRunner("sound-1", "sound", [this](const Request& request) {
            ++m_runs;
            if (m_isRunnerSilent && request.body().size() < ordinaryBytes)
                return Script { "", Script::End::Silence };
            return Script { fakeplatform::sealedResponse(request, 200, "x") };
        });
    }

    void tearDown() override
    {
        m_isOver = true;
        m_fleet.reset();
    }

    void wholeBodiesThatStopShortLeaveMemoryBounded()
    {
        play({ .head = [] { return announced(bodyBytes); }, .body = std::string(bodyBytes - 1, 'a') });
    }

    void bodiesInPiecesThatStopShortLeaveMemoryBounded()
    {
        play({ .head = [] { return announced(bodyBytes); }, .body = std::string(bodyBytes - 1, 'a'), .pieceBytes = 32 * 1'024, .pause = milliseconds(20) });
    }

    void largeChunksThatStopShortLeaveMemoryBounded()
    {
        play({ .head = chunked, .body = chunks(bodyBytes - 1, 64 * 1'024), .pieceBytes = 64 * 1'024, .pause = milliseconds(20) });
    }

    void smallChunksThatStopShortLeaveMemoryBounded()
    {
        play({ .head = chunked, .body = chunks(bodyBytes - 1, 8), .pieceBytes = 64 * 1'024, .pause = milliseconds(20) });
    }

    // Guards against a second copy of each body for its sending.
    void completeBodiesLeaveMemoryBounded()
    {
        play({ .head = [] { return announced(bodyBytes); }, .body = std::string(bodyBytes, 'a') });
    }

    void announcedBodiesOverLimitLeaveMemoryBounded()
    {
        play({ .head = [] { return announced(1'024 * bodyBytes); }, .body = std::string(4 * bodyBytes, 'a') });
    }

    void chunkedBodiesOverLimitLeaveMemoryBounded()
    {
        play({ .head = chunked, .body = chunks(4 * bodyBytes, 64 * 1'024) });
    }

    // Guards against the share for ordinary bodies being used up by bodies that look ordinary.
    void ordinaryBodiesThatStopShortLeaveMemoryBounded()
    {
        play({ .callers = 800, .head = [] { return announced(ordinaryBytes); }, .body = std::string(ordinaryBytes - 1, 'a') });
    }

    // Guards against unread bytes in the kernel, which count like resident memory.
    void bytesBehindRequestsInProgressLeaveMemoryBounded()
    {
        m_isRunnerSilent = true;
        play({ .callers = 400, .head = [] { return announced(1); }, .body = std::string(bodyBytes, 'a') });
    }

    void manyConnectionsLeaveDescriptorsForOthers()
    {
        m_fleet->addHostArguments({ "--most-descriptors=" + std::to_string(fewDescriptors) });
        m_maxDescriptors = fewDescriptors;
        play({ .callers = manyConnections, .head = [] { return announced(ordinaryBytes); }, .body = "a" });
    }

    // Guards against limits that a caller within the limits of the tables meets though the process is idle.
    void singleLargestBodyIsServedInAnyFraming()
    {
        startHost();
        const std::string end = "0\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(200u, exchange(announced(bodyBytes) + std::string(bodyBytes, 'a')));
        CPPUNIT_ASSERT_EQUAL(200u, exchange(chunked() + chunks(bodyBytes, bodyBytes) + end));
        CPPUNIT_ASSERT_EQUAL(200u, exchange(chunked() + chunks(bodyBytes, 1) + end));
    }

    // Guards against a connection that is kept after its body was refused unread, so that the caller runs requests hidden in the body.
    void restOfRefusedBodyIsNotTakenForRequest()
    {
        const auto hidden = announced(1) + "a";
        const std::string body = hidden + std::string(bodyBytes / 2 - hidden.size(), 'a');
        checkRefusal(announced(body.size()) + body + announced(1) + "a");
    }

    void restOfRefusedChunkedBodyIsNotTakenForRequest()
    {
        checkRefusal(chunked() + chunks(bodyBytes / 2, 64 * 1'024) + "0\r\n\r\n" + announced(1) + "a");
    }

    // Guards against a stalled body that keeps others out, or that runs though its caller is told that it has not.
    void stalledBodyGivesWayAndGets408()
    {
        m_fleet->addHostArguments({ "--body-memory-mb=1" });
        startHost();
        std::string stalled;
        boost::asio::co_spawn(m_fleet->context(), sendAndRead(announced(bodyBytes / 2) + std::string(bodyBytes / 2 - 1, 'a'), stalled), boost::asio::detached);
        m_fleet->runFor(settleTime);
        CPPUNIT_ASSERT_EQUAL(std::string(), stalled);
        CPPUNIT_ASSERT_EQUAL(200u, exchange(announced(bodyBytes / 2) + std::string(bodyBytes / 2, 'a')));
        m_fleet->runFor(settleTime);
        CPPUNIT_ASSERT_MESSAGE(stalled, stalled.starts_with("HTTP/1.1 408 "));
        CPPUNIT_ASSERT_EQUAL(1, m_runs);
    }

private:
    // Sends `bytes`, whose body doesn't fit beside another one, and checks that they get a single answer and run nothing.
    void checkRefusal(const std::string& bytes)
    {
        m_fleet->addHostArguments({ "--body-memory-mb=1", "--slow-body-kb-s=0" });
        startHost();
        std::string other;
        boost::asio::co_spawn(m_fleet->context(), sendAndRead(announced(bodyBytes / 2) + "a", other), boost::asio::detached);
        m_fleet->runFor(settleTime);
        std::string answer;
        boost::asio::co_spawn(m_fleet->context(), sendAndRead(bytes, answer), boost::asio::detached);
        m_fleet->runFor(settleTime);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("\r\nRetry-After: ") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("\r\nConnection: close\r\n") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("HTTP/1.1", 1) == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("(end)"));
        CPPUNIT_ASSERT_EQUAL(0, m_runs);
    }

    // Sends bytes and collects what is received; "(end)" stands for the end of the connection.
    boost::asio::awaitable<void> sendAndRead(std::string bytes, std::string& received)
    {
        boost::asio::ip::tcp::socket socket(m_fleet->context());
        boost::system::error_code ec;
        co_await socket.async_connect(chiveshelf::http::toEndpoint(m_fleet->callerAddress(host)), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        std::string piece(4'096, '\0');
        while (!m_isOver) {
            ec = {};
            const auto n = co_await socket.async_read_some(boost::asio::buffer(piece), boost::asio::redirect_error(boost::asio::use_awaitable, ec));
            received += piece.substr(0, n);
            if (ec)
                break;
        }
        received += "(end)";
    }

    void startHost()
    {
        m_fleet->addHostArguments({ "--memory-mb=" + std::to_string(memoryMb) });
        m_fleet->startHosts(1);
    }

    // Sends a request and returns the status of its response, or 0.
    unsigned exchange(std::string bytes)
    {
        std::optional<unsigned> status;
        m_fleet->send(host, std::move(bytes), [&](const CallerResponse& response) { status = response.status; });
        const auto end = std::chrono::steady_clock::now() + seconds(20);
        while (!status && std::chrono::steady_clock::now() < end)
            m_fleet->runFor(sampleInterval);
        return status.value_or(0);
    }

    boost::asio::awaitable<void> sendAndStay(const Crowd& crowd)
    {
        boost::asio::ip::tcp::socket socket(m_fleet->context());
        boost::asio::steady_timer timer(m_fleet->context());
        boost::system::error_code ec;
        const auto redirect = [&] { return boost::asio::redirect_error(boost::asio::use_awaitable, ec); };
        co_await socket.async_connect(chiveshelf::http::toEndpoint(m_fleet->callerAddress(host)), redirect());
        const auto head = crowd.head();
        co_await boost::asio::async_write(socket, boost::asio::buffer(head), redirect());
        for (std::size_t n = 0; n < crowd.body.size() && !ec && !m_isOver; n += crowd.pieceBytes) {
            const auto piece = boost::asio::buffer(crowd.body) + n;
            co_await boost::asio::async_write(socket, boost::asio::buffer(piece, crowd.pieceBytes), redirect());
            timer.expires_after(crowd.pause);
            if (!ec && crowd.pause.count() > 0)
                co_await timer.async_wait(redirect());
        }
        ++m_finished;
        while (!m_isOver) {
            timer.expires_after(seconds(1));
            co_await timer.async_wait(redirect());
        }
    }

    void sample()
    {
        const auto process = m_fleet->process(host).id();
        const auto unread = unreadBytes(m_fleet->callerAddress(host));
        m_peakUnread = std::max(m_peakUnread, unread);
        m_peak = std::max(m_peak, statusBytes(process, "VmRSS") + unread);
        m_peakDescriptors = std::max(m_peakDescriptors, descriptorCount(process));
    }

    void run(milliseconds duration)
    {
        for (const auto end = std::chrono::steady_clock::now() + duration; std::chrono::steady_clock::now() < end; sample())
            m_fleet->runFor(sampleInterval);
    }

    // Starts a host, sends the crowd to it, and an ordinary request while the crowd is still connected.
    void play(const Crowd& crowd)
    {
        startHost();
        for (std::size_t i = 0; i < crowd.callers; ++i)
            boost::asio::co_spawn(m_fleet->context(), sendAndStay(crowd), boost::asio::detached);
        for (const auto end = std::chrono::steady_clock::now() + crowdTime; m_finished < crowd.callers && std::chrono::steady_clock::now() < end;)
            run(sampleInterval);
        run(settleTime);
        const auto status = exchange(announced(ordinaryBytes) + std::string(ordinaryBytes, 'a'));
        sample();
        const bool isRunning = m_fleet->process(host).isRunning();
        const auto largestResident = statusBytes(m_fleet->process(host).id(), "VmHWM");
        const auto text = "peak " + std::to_string(m_peak / 1'024) + " kB with " + std::to_string(m_peakUnread / 1'024) + " kB unread at most, largest resident "
            + std::to_string(largestResident / 1'024) + " kB, descriptors " + std::to_string(m_peakDescriptors) + ", ordinary request " + std::to_string(status) + ", runs "
            + std::to_string(m_runs) + ", callers " + std::to_string(m_finished) + " of " + std::to_string(crowd.callers);
        std::cout << "\n"
                  << text << std::endl;
        m_isOver = true;
        CPPUNIT_ASSERT_MESSAGE(text, isRunning);
        CPPUNIT_ASSERT_MESSAGE(text, m_peak > 0 && std::max(m_peak, largestResident) < maxMemoryBytes);
        CPPUNIT_ASSERT_MESSAGE(text, m_peakDescriptors <= m_maxDescriptors);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 200u, status);
    }

    std::unique_ptr<support::GatewayFleet> m_fleet;
    std::size_t m_maxDescriptors = 4'096;
    bool m_isRunnerSilent = false;
    bool m_isOver = false;
    int m_runs = 0;
    std::size_t m_finished = 0;
    std::size_t m_peak = 0;
    std::size_t m_peakUnread = 0;
    std::size_t m_peakDescriptors = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLimitsTest);

}
