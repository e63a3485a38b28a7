#include "Fleet.h"
#include "fakes/FakeRunner.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace {

using chiveshelf::http::Verb;
using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using boost::asio::ip::tcp;
using nlohmann::json;

constexpr int tokenMs = 5;

std::int64_t millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count();
}

// A caller that sends raw bytes and reads only on request.
class RawCaller {
public:
    RawCaller(const chiveshelf::Address& address, const std::string& bytes, int receiveBuffer = 0)
        : m_socket(m_context)
    {
        m_socket.open(tcp::v4());
        if (receiveBuffer > 0)
            m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
        m_socket.connect({ boost::asio::ip::make_address(address.ip), address.port });
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
    }

    std::string readLine()
    {
        std::string line;
        boost::system::error_code ec;
        boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(line), "\r\n", ec);
        return line.substr(0, line.find("\r\n"));
    }

    void close() { m_socket.close(); }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
};

class ConnectionsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionsTest);
    CPPUNIT_TEST(streamResumesAtOffsetAfterRunnerConnectionBecomesSilent);
    CPPUNIT_TEST(streamContinuesOnAnotherRunnerAfterRunnerIsKilled);
    CPPUNIT_TEST(streamEndsWithErrorAfterAllRunnersAreKilled);
    CPPUNIT_TEST(requestsOverSilentPooledConnectionsRecover);
    CPPUNIT_TEST(requestsOverSilentPeerConnectionsRecover);
    CPPUNIT_TEST(platformCallsOverSilentConnectionsRecover);
    CPPUNIT_TEST(requestsWithSameRequestIdGetTheirOwnAnswers);
    CPPUNIT_TEST(disconnectedCallerFreesItsQueueEntryOrSlot);
    CPPUNIT_TEST(malformedAndOversizedRequestsGet4xxWithBoundedMemory);
    CPPUNIT_TEST(callersNotReadingAreDisconnectedWithBoundedMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        for (const auto* link : { "platform", "runner-1", "runner-2", "service-1", "service-2", "east-1/peer", "east-2/peer" })
            m_fleet->useProxy(link);
        m_fleet->startPlatform();
        for (const auto* suffix : { "1", "2" }) {
            m_fleet->startRunner(std::string("runner-") + suffix, "east", { "--token-ms", std::to_string(tokenMs), "--slots", "64" });
            m_fleet->startService(std::string("service-") + suffix, "east");
            m_fleet->startHost(std::string("east-") + suffix, "east");
        }
        m_fleet->writeHostList();
        m_tables = m_fleet->defaultTables();
        apply();
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against a stream that hangs when its connection fails silently, and against missing or duplicate tokens after the resume.
    void streamResumesAtOffsetAfterRunnerConnectionBecomesSilent()
    {
        checkLongStream(
            "runner_stream", [this] { silenceLinks({ "runner-1", "runner-2" }); }, 4'000);
    }

    // Guards against missing or duplicate tokens when another runner continues the answer.
    void streamContinuesOnAnotherRunnerAfterRunnerIsKilled()
    {
        checkLongStream(
            "runner_death", [this] { m_fleet->process(busyRunner()).kill(); }, 4'000);
    }

    // Guards against an incomplete answer that ends like a complete one.
    void streamEndsWithErrorAfterAllRunnersAreKilled()
    {
        auto answer = std::async(std::launch::async, [this] { return stream("east-1", "hello", 400); });
        waitForRunning();
        m_fleet->process("runner-1").kill();
        m_fleet->process("runner-2").kill();
        const auto text = answer.get();
        CPPUNIT_ASSERT(text != expectedText("hello", 400));
        CPPUNIT_ASSERT_MESSAGE(text, text.find("incomplete") == 0);
    }

    // Guards against requests that hang because the pool reuses connections which have failed silently.
    void requestsOverSilentPooledConnectionsRecover()
    {
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(expectedText("hello", 5), stream("east-1", "hello", 5));
        silenceLinks({ "runner-1", "runner-2" });
        checkDuration("runner_pool", 4'000, [this] { CPPUNIT_ASSERT_EQUAL(expectedText("hello", 5), stream("east-1", "hello", 5)); });
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(200u, plainCall(Verb::get).status);
        silenceLinks({ "service-1", "service-2" });
        // GET comes first since it may be repeated and uses the pool; a POST before it would put a new connection into the pool.
        checkDuration("service_pool_get", 4'000, [this] { CPPUNIT_ASSERT_EQUAL(200u, plainCall(Verb::get).status); });
        silenceLinks({ "service-1", "service-2" });
        checkDuration("service_pool_post", 1'000, [this] { CPPUNIT_ASSERT_EQUAL(200u, plainCall(Verb::post).status); });
    }

    // Guards against requests that wait for a scheduler over a connection that has failed silently.
    void requestsOverSilentPeerConnectionsRecover()
    {
        for (const auto* host : { "east-1", "east-2" })
            CPPUNIT_ASSERT_EQUAL(expectedText("hello", 5), stream(host, "hello", 5));
        silenceLinks({ "east-1/peer", "east-2/peer" });
        for (const auto* host : { "east-1", "east-2" })
            checkDuration(std::string("peer_") + host, 3'000, [&] { CPPUNIT_ASSERT_EQUAL(expectedText("hello", 5), stream(host, "hello", 5)); });
    }

    // Guards against table changes and keyed calls that wait on a silently failed connection to the platform.
    void platformCallsOverSilentConnectionsRecover()
    {
        CPPUNIT_ASSERT_EQUAL(200u, plainCall(Verb::post, "k1").status);
        silenceLinks({ "platform" });
        checkDuration("platform_keyed_call", 2'000, [this] { CPPUNIT_ASSERT_EQUAL(200u, plainCall(Verb::post, "k2").status); });
        silenceLinks({ "platform" });
        // Applying unchanged tables would create no new revision.
        m_tables.pools.front().slotsPerRunner = 7;
        checkDuration("platform_table_change", 6'000, [this] { apply(); });
    }

    // Guards against answers that are sent to the caller of another request with the same X-Request-Id.
    void requestsWithSameRequestIdGetTheirOwnAnswers()
    {
        std::vector<std::future<std::string>> answers;
        for (int i = 0; i < 12; ++i) {
            answers.push_back(std::async(std::launch::async,
                [this, i] { return stream(i % 2 ? "east-1" : "east-2", "prompt " + std::to_string(i), 60, "same-id"); }));
        }
        std::this_thread::sleep_for(Milliseconds(100));
        silenceLinks({ "runner-1", "runner-2" });
        for (int i = 0; i < 12; ++i)
            CPPUNIT_ASSERT_EQUAL(expectedText("prompt " + std::to_string(i), 60), answers[static_cast<std::size_t>(i)].get());
    }

    // Guards against slots and queue entries that stay occupied after the caller has disconnected.
    void disconnectedCallerFreesItsQueueEntryOrSlot()
    {
        m_tables.pools.front().slotsPerRunner = 1;
        apply();
        std::vector<std::unique_ptr<RawCaller>> streaming;
        for (int i = 0; i < 2; ++i)
            streaming.push_back(std::make_unique<RawCaller>(m_fleet->host("east-1").caller, completionRequest(4'000, i == 0)));
        CPPUNIT_ASSERT(support::eventually([this] { return deskPoolSum("running") == 2; }, Milliseconds(3'000)));
        RawCaller waiting(m_fleet->host("east-1").caller, completionRequest(10, false));
        CPPUNIT_ASSERT(support::eventually([this] { return deskPoolSum("queued") == 1; }, Milliseconds(3'000)));
        waiting.close();
        checkDuration("waiting_caller_left", 1'000,
            [this] { CPPUNIT_ASSERT(support::eventually([this] { return deskPoolSum("queued") == 0; }, Milliseconds(3'000))); });
        for (const auto& caller : streaming)
            caller->close();
        checkDuration("streaming_callers_left", 1'000,
            [this] { CPPUNIT_ASSERT(support::eventually([this] { return deskPoolSum("running") == 0; }, Milliseconds(3'000))); });
    }

    // Guards against invalid requests that exhaust memory or crash the process.
    void malformedAndOversizedRequestsGet4xxWithBoundedMemory()
    {
        const auto& address = m_fleet->host("east-1").caller;
        const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Organisation: org-a\r\n";
        const auto before = residentKilobytes("east-1");
        const std::string large(8'000'000, '[');
        const auto withBody = [&](const std::string& body) { return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; };
        const std::pair<std::string, std::string> cases[] = {
            { "not http\r\n\r\n", "400" },
            { head + "X-Long: " + std::string(20'000, 'x') + "\r\n\r\n", "431" },
            { head + "Content-Length: 100000000\r\n\r\n", "413" },
            { withBody("{\"model\":"), "400" },
            { withBody(large), "400" },
            { withBody("{\"model\":\"desk-model\",\"prompt\":\"x\",\"a\":" + std::string(4'000'000, '[') + "}"), "400" },
            { withBody("[" + std::string(3'999'000, '0') + "]"), "400" },
        };
        for (int round = 0; round < 3; ++round) {
            for (const auto& [bytes, status] : cases) {
                RawCaller caller(address, bytes);
                const auto line = caller.readLine();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes.substr(0, 60), "HTTP/1.1 " + status, line.substr(0, 12));
            }
        }
        const auto growth = residentKilobytes("east-1") - before;
        std::cerr << "malformed_input memory_growth_kb=" << growth << "\n";
        CPPUNIT_ASSERT(growth < 64'000);
        CPPUNIT_ASSERT_EQUAL(expectedText("hello", 5), stream("east-1", "hello", 5));
    }

    // Guards against callers that occupy slots and memory because they read nothing.
    void callersNotReadingAreDisconnectedWithBoundedMemory()
    {
        m_tables.pools.front().slotsPerRunner = 64;
        apply();
        const auto before = residentKilobytes("east-2");
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int i = 0; i < 20; ++i)
            callers.push_back(std::make_unique<RawCaller>(m_fleet->host("east-2").caller, completionRequest(60'000, true), 4'096));
        CPPUNIT_ASSERT(support::eventually([this] { return deskPoolSum("running") == 20; }, Milliseconds(5'000)));
        checkDuration("callers_that_read_nothing", 45'000,
            [this] { CPPUNIT_ASSERT(support::eventually([this] { return deskPoolSum("running") == 0; }, Milliseconds(45'000))); });
        const auto growth = residentKilobytes("east-2") - before;
        std::cerr << "slow_callers memory_growth_kb=" << growth << "\n";
        CPPUNIT_ASSERT(growth < 20'000);
    }

private:
    void apply()
    {
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_tables));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(++m_revision, Milliseconds(8'000)));
    }

    void silenceLinks(const std::vector<std::string>& links)
    {
        for (const auto& link : links)
            m_fleet->setFault(link, { { "silent", true } });
    }

    template <typename Action>
    static void checkDuration(const std::string& name, std::int64_t limitMs, Action action)
    {
        const auto start = Clock::now();
        action();
        const auto elapsed = millisecondsSince(start);
        std::cerr << name << " recovered_after_ms=" << elapsed << "\n";
        CPPUNIT_ASSERT_MESSAGE(name + " took " + std::to_string(elapsed) + " ms", elapsed <= limitMs);
    }

    template <typename Fault>
    void checkLongStream(const std::string& name, Fault fault, std::int64_t limitMs)
    {
        constexpr int tokens = 300;
        const auto start = Clock::now();
        auto answer = std::async(std::launch::async, [this] { return stream("east-1", "hello", tokens); });
        waitForRunning();
        std::this_thread::sleep_for(Milliseconds(200));
        fault();
        CPPUNIT_ASSERT_EQUAL(expectedText("hello", tokens), answer.get());
        const auto delay = millisecondsSince(start) - tokens * tokenMs;
        std::cerr << name << " recovered_after_ms=" << delay << "\n";
        CPPUNIT_ASSERT(delay <= limitMs);
    }

    void waitForRunning()
    {
        CPPUNIT_ASSERT(support::eventually([this] { return deskPoolSum("running") > 0; }, Milliseconds(3'000)));
    }

    json deskPoolState(const std::string& host) const
    {
        const auto state = json::parse(support::call(m_fleet->host(host).admin, Verb::get, "/state").body, nullptr, false);
        return state.is_object() ? state["pools"].value("desk", json::object()) : json::object();
    }

    int deskPoolSum(const std::string& field) const
    {
        int sum = 0;
        for (const auto* host : { "east-1", "east-2" }) {
            const auto value = deskPoolState(host).value(field, json());
            sum += value.is_number() ? value.get<int>() : static_cast<int>(value.size());
        }
        return sum;
    }

    std::string busyRunner() const
    {
        for (const auto* host : { "east-1", "east-2" }) {
            const auto running = deskPoolState(host).value("running", json::object());
            for (const auto& [id, runner] : running.items())
                return runner.get<std::string>();
        }
        return "runner-1";
    }

    std::int64_t residentKilobytes(const std::string& host)
    {
        std::ifstream file("/proc/" + std::to_string(m_fleet->process(host).id()) + "/statm");
        std::int64_t total = 0;
        std::int64_t resident = 0;
        file >> total >> resident;
        return resident * ::sysconf(_SC_PAGESIZE) / 1024;
    }

    static std::string completionRequest(int tokens, bool isStream)
    {
        const json body { { "model", "desk-model" }, { "prompt", "hello" }, { "max_tokens", tokens }, { "stream", isStream } };
        const auto text = body.dump();
        return "POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Organisation: org-a\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    }

    support::ProbeResponse plainCall(Verb verb, const std::string& key = {}) const
    {
        support::Headers headers { { "X-Organisation", "org-a" }, { "X-Operation", "op" } };
        if (!key.empty())
            headers.emplace_back("Idempotency-Key", key);
        return support::call(m_fleet->host("east-1").caller, verb, "/bookings", headers);
    }

    static std::string expectedText(const std::string& prompt, int tokens)
    {
        std::string out;
        for (int i = 0; i < tokens; ++i)
            out += fakes::answerToken(prompt, i);
        return out;
    }

    std::string stream(const std::string& host, const std::string& prompt, int tokens, const std::string& requestId = {}) const
    {
        const json body { { "model", "desk-model" }, { "prompt", prompt }, { "max_tokens", tokens }, { "stream", true } };
        support::Headers headers { { "X-Organisation", "org-a" } };
        if (!requestId.empty())
            headers.emplace_back("X-Request-Id", requestId);
        const auto response = support::call(m_fleet->host(host).caller, Verb::post, "/v1/completions", headers, body.dump());
        const auto events = support::sseEvents(response.body);
        if (events.empty() || events.back() != "[DONE]")
            return "incomplete: " + std::to_string(response.status) + " " + response.body;
        std::string out;
        for (std::size_t i = 0; i + 1 < events.size(); ++i)
            out += json::parse(events[i])["choices"][0]["text"].get<std::string>();
        return out;
    }

    std::unique_ptr<support::Fleet> m_fleet;
    chiveshelf::Tables m_tables;
    std::uint64_t m_revision = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionsTest);

}
