#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <future>
#include <iostream>
#include <thread>

namespace {

using chiveshelf::http::Verb;
using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using nlohmann::json;
using support::ProbeResponse;

class IdempotentRequestsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(IdempotentRequestsTest);
    CPPUNIT_TEST(retryInOtherDataCentreReturnsRecordedOutcome);
    CPPUNIT_TEST(reusedKeyWithDifferentBodyIsRefusedPerOrganisation);
    CPPUNIT_TEST(callDuringOutageIsRefusedAsNotRunWithin1500Ms);
    CPPUNIT_TEST(callWithLostClaimReplyRunsOnce);
    CPPUNIT_TEST(retryWhileClaimantIsPausedIsRefusedAsUnknown);
    CPPUNIT_TEST(retryAfterClaimantIsKilledIsRefusedAsUnknown);
    CPPUNIT_TEST(unsentCallReleasesItsKey);
    CPPUNIT_TEST(keyedCallIsRetriedOnlyIfFirstServiceCannotHaveRunIt);
    CPPUNIT_TEST(entryHostWritesRecordsWhileWriterHostIsPaused);
    CPPUNIT_TEST(keyedCompletionIsReplayedAndNotRunOnSecondRunner);
    CPPUNIT_TEST(hostWithDifferentShardCountRefusesKeyedCalls);
    CPPUNIT_TEST(groupedWritesHalvePlatformCallsPerRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { startFleet({}); }
    void tearDown() override { m_fleet.reset(); }

    // Guards against running or refusing a call again although its outcome is recorded.
    void retryInOtherDataCentreReturnsRecordedOutcome()
    {
        const auto first = book("east-1", "k");
        const auto second = book("west-2", "k");
        CPPUNIT_ASSERT_EQUAL(200u, first.status);
        CPPUNIT_ASSERT_EQUAL(first.body, second.body);
        CPPUNIT_ASSERT_EQUAL(std::string("true"), second.header("Idempotency-Replayed"));
        CPPUNIT_ASSERT_EQUAL(1, runs("k"));
    }

    // Guards against returning a recorded outcome for another request body or to another organisation.
    void reusedKeyWithDifferentBodyIsRefusedPerOrganisation()
    {
        CPPUNIT_ASSERT_EQUAL(200u, book("east-1", "k").status);
        const auto other = support::call(m_fleet->host("west-1").caller, Verb::post, "/bookings", headersFor("k", "org-a"), "other");
        CPPUNIT_ASSERT_EQUAL(422u, other.status);
        CPPUNIT_ASSERT_EQUAL(std::string("key_reused no"), errorSummary(other));
        CPPUNIT_ASSERT_EQUAL(1, runs("k"));
        const auto separate = support::call(m_fleet->host("west-1").caller, Verb::post, "/bookings", headersFor("k", "org-b"), "other");
        CPPUNIT_ASSERT_EQUAL(200u, separate.status);
        CPPUNIT_ASSERT_EQUAL(2, runs("k"));
    }

    // Guards against calls that wait for an unavailable platform, and against a wrong "not run" response.
    void callDuringOutageIsRefusedAsNotRunWithin1500Ms()
    {
        for (const auto* mode : { "close", "unavailable", "silent" }) {
            m_fleet->setPlatformFaults({ { "mode", mode } });
            const auto start = Clock::now();
            const auto refused = book("east-1", mode);
            const auto elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
            std::cerr << "outage=" << mode << " refused_after_ms=" << elapsed.count() << "\n";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(mode, std::string("unavailable no"), errorSummary(refused));
            CPPUNIT_ASSERT(!refused.header("Retry-After").empty());
            CPPUNIT_ASSERT(elapsed < Milliseconds(1'500));
            m_fleet->setPlatformFaults(json::object());
            CPPUNIT_ASSERT_EQUAL(0, runs(mode));
            CPPUNIT_ASSERT(support::eventually([&] { return book("west-1", mode).status == 200; }, Milliseconds(3'000)));
            CPPUNIT_ASSERT_EQUAL(1, runs(mode));
        }
    }

    // Guards against treating the call's own claim as another attempt's because the reply to its write was lost.
    void callWithLostClaimReplyRunsOnce()
    {
        CPPUNIT_ASSERT_EQUAL(200u, book("east-1", "warm-up").status);
        m_fleet->setPlatformFaults({ { "lose_replies", 1 } });
        CPPUNIT_ASSERT_EQUAL(200u, book("east-1", "k").status);
        m_fleet->setPlatformFaults(json::object());
        CPPUNIT_ASSERT_EQUAL(1, runs("k"));
        CPPUNIT_ASSERT(idempotencySum("read_backs") >= 1);
    }

    // Guards against a second run while the host of the first call is paused.
    void retryWhileClaimantIsPausedIsRefusedAsUnknown()
    {
        auto first = std::async(std::launch::async, [this] { return book("east-1", "k", 600); });
        CPPUNIT_ASSERT(support::eventually([this] { return runs("k") == 1; }, Milliseconds(3'000)));
        m_fleet->process("east-1").signal(SIGSTOP);
        const auto retry = book("west-1", "k");
        CPPUNIT_ASSERT_EQUAL(409u, retry.status);
        CPPUNIT_ASSERT_EQUAL(std::string("conflict unknown"), errorSummary(retry));
        m_fleet->process("east-1").signal(SIGCONT);
        CPPUNIT_ASSERT_EQUAL(200u, first.get().status);
        CPPUNIT_ASSERT_EQUAL(200u, book("west-1", "k").status);
        CPPUNIT_ASSERT_EQUAL(1, runs("k"));
    }

    // Guards against a second run after the host of the first call was killed.
    void retryAfterClaimantIsKilledIsRefusedAsUnknown()
    {
        auto first = std::async(std::launch::async, [this] { return book("east-1", "k", 2'000); });
        CPPUNIT_ASSERT(support::eventually([this] { return runs("k") == 1; }, Milliseconds(3'000)));
        m_fleet->process("east-1").kill();
        CPPUNIT_ASSERT_EQUAL(0u, first.get().status);
        for (const auto* host : { "east-2", "west-1" })
            CPPUNIT_ASSERT_EQUAL(std::string("conflict unknown"), errorSummary(book(host, "k")));
        CPPUNIT_ASSERT_EQUAL(1, runs("k"));
    }

    // Guards against a key that stays claimed although no request was sent.
    void unsentCallReleasesItsKey()
    {
        setFaultOfBothServices({ { "connections", "refuse" } });
        CPPUNIT_ASSERT_EQUAL(std::string("unavailable no"), errorSummary(book("east-1", "k")));
        setFaultOfBothServices({ { "connections", "accept" } });
        CPPUNIT_ASSERT_EQUAL(200u, book("west-1", "k").status);
        CPPUNIT_ASSERT_EQUAL(1, runs("k"));
    }

    // Guards against a retry on a second service of a call that the first may have run.
    void keyedCallIsRetriedOnlyIfFirstServiceCannotHaveRunIt()
    {
        m_fleet->setFault("service-east", { { "connections", "refuse" } });
        CPPUNIT_ASSERT_EQUAL(200u, book("east-1", "k1").status);
        m_fleet->setFault("service-east", { { "connections", "accept" }, { "cut", "to_caller" } });
        CPPUNIT_ASSERT_EQUAL(std::string("timeout unknown"), errorSummary(book("east-1", "k2")));
        CPPUNIT_ASSERT_EQUAL(std::string("conflict unknown"), errorSummary(book("west-1", "k2")));
        CPPUNIT_ASSERT_EQUAL(1, runs("k1"));
        CPPUNIT_ASSERT_EQUAL(1, runs("k2"));
    }

    // Guards against keyed calls that fail while a single writer host is paused.
    void entryHostWritesRecordsWhileWriterHostIsPaused()
    {
        m_fleet->process("east-2").signal(SIGSTOP);
        for (int i = 0; i < 12; ++i)
            CPPUNIT_ASSERT_EQUAL(200u, book("east-1", "k" + std::to_string(i)).status);
        m_fleet->process("east-2").signal(SIGCONT);
        for (int i = 0; i < 12; ++i) {
            CPPUNIT_ASSERT_EQUAL(200u, book("east-2", "k" + std::to_string(i)).status);
            CPPUNIT_ASSERT_EQUAL(1, runs("k" + std::to_string(i)));
        }
    }

    // Guards against generating a keyed completion twice.
    void keyedCompletionIsReplayedAndNotRunOnSecondRunner()
    {
        const auto first = complete("east-1", "c1", 10);
        CPPUNIT_ASSERT_EQUAL(200u, first.status);
        const auto second = complete("west-1", "c1", 10);
        CPPUNIT_ASSERT_EQUAL(200u, second.status);
        CPPUNIT_ASSERT(json::parse(first.body)["choices"] == json::parse(second.body)["choices"]);
        auto broken = std::async(std::launch::async, [this] { return complete("east-1", "c2", 400); });
        // Either host may schedule the pool, on any runner.
        std::string runner;
        CPPUNIT_ASSERT(support::eventually([&] { return !(runner = busyRunner("east-1")).empty() || !(runner = busyRunner("east-2")).empty(); },
            Milliseconds(2'000)));
        std::this_thread::sleep_for(Milliseconds(300));
        m_fleet->process(runner).kill();
        const auto answer = broken.get();
        CPPUNIT_ASSERT(answer.status != 200);
        CPPUNIT_ASSERT(errorSummary(answer).find(" no") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("conflict unknown"), errorSummary(complete("west-1", "c2", 400)));
    }

    // Guards against hosts with different shard counts, which would look up a key's record in different shards.
    void hostWithDifferentShardCountRefusesKeyedCalls()
    {
        CPPUNIT_ASSERT_EQUAL(200u, book("east-1", "k").status);
        m_fleet->startHost("south-1", "south", { "--idempotency-shards", "16" });
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, Milliseconds(6'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("unavailable no"), errorSummary(book("south-1", "k")));
        CPPUNIT_ASSERT_EQUAL(1, runs("k"));
    }

    // Guards against writes that are not grouped: under load, grouping must need at most half the platform calls per request.
    void groupedWritesHalvePlatformCallsPerRequest()
    {
        std::map<std::string, double> callsPerRequest;
        // Two shards model a shard under load; with 1024 shards, few claims of this load share a shard.
        for (const auto& [window, shards] : std::vector<std::pair<std::string, std::string>> { { "0", "2" }, { "20", "2" }, { "20", "1024" } }) {
            m_fleet.reset();
            startFleet({ "--idempotency-shards", shards, "--idempotency-window-ms", window });
            const auto before = idempotencySum("platform_calls");
            const auto start = Clock::now();
            const auto answered = sendKeyedLoad(800);
            const auto seconds = std::chrono::duration<double>(Clock::now() - start).count();
            const auto calls = (idempotencySum("platform_calls") - before) / answered;
            callsPerRequest.emplace(window, calls);
            std::cerr << "window_ms=" << window << " shards=" << shards << " answered=" << answered << " requests_per_s=" << answered / seconds
                      << " platform_calls_per_request=" << calls << " conflicts=" << idempotencySum("conflicts") << "\n";
        }
        CPPUNIT_ASSERT(callsPerRequest["20"] <= callsPerRequest["0"] / 2);
    }

private:
    void startFleet(const std::vector<std::string>& extraFlags)
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        for (const std::string dataCentre : { "east", "west" }) {
            m_fleet->useProxy("service-" + dataCentre);
            m_fleet->startService("service-" + dataCentre, dataCentre);
            for (const std::string suffix : { "-1", "-2" })
                m_fleet->startHost(dataCentre + suffix, dataCentre, extraFlags);
        }
        m_fleet->startRunner("runner-east-1", "east");
        m_fleet->startRunner("runner-east-2", "east");
        m_fleet->startRunner("runner-west-1", "west");
        m_fleet->writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_fleet->defaultTables()));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, Milliseconds(6'000)));
        CPPUNIT_ASSERT(support::eventually([this] { return state("east-1")["members"].size() == 4; }, Milliseconds(6'000)));
    }

    static support::Headers headersFor(const std::string& key, const std::string& organisation, int delayMs = 0)
    {
        return { { "X-Organisation", organisation }, { "Idempotency-Key", key }, { "X-Operation", key }, { "X-Delay-Ms", std::to_string(delayMs) } };
    }

    ProbeResponse book(const std::string& host, const std::string& key, int delayMs = 0)
    {
        return support::call(m_fleet->host(host).caller, Verb::post, "/bookings", headersFor(key, "org-a", delayMs), "book " + key, Milliseconds(6'000));
    }

    ProbeResponse complete(const std::string& host, const std::string& key, int tokens)
    {
        const json body { { "model", "desk-model" }, { "prompt", "hello" }, { "max_tokens", tokens } };
        return support::call(m_fleet->host(host).caller, Verb::post, "/v1/completions", headersFor(key, "org-a"), body.dump());
    }

    // Returns the fields code and ran of an error response, separated by a space.
    static std::string errorSummary(const ProbeResponse& response)
    {
        const auto body = json::parse(response.body, nullptr, false);
        if (!body.is_object() || !body.contains("error"))
            return std::to_string(response.status) + " " + response.body;
        return body["error"].value("code", "") + " " + body["error"].value("ran", "");
    }

    void setFaultOfBothServices(const json& faults)
    {
        m_fleet->setFault("service-east", faults);
        m_fleet->setFault("service-west", faults);
    }

    int runs(const std::string& key) const
    {
        const auto all = m_fleet->operationRuns();
        const auto it = all.find(key);
        return it == all.end() ? 0 : it->second;
    }

    json state(const std::string& host) const
    {
        const auto parsed = json::parse(support::call(m_fleet->host(host).admin, Verb::get, "/state").body, nullptr, false);
        return parsed.is_object() ? parsed : json::object();
    }

    // Returns the runner of a request that runs in the host's pool "desk", or an empty string.
    std::string busyRunner(const std::string& host) const
    {
        const auto pools = state(host).value("pools", json::object());
        const auto running = pools.value("desk", json::object()).value("running", json::object());
        return running.empty() ? "" : running.begin()->get<std::string>();
    }

    double idempotencySum(const std::string& field) const
    {
        double sum = 0;
        for (const auto& [name, host] : m_fleet->hosts())
            sum += state(name)["idempotency"][field].get<double>();
        return sum;
    }

    // Sends keyed calls from 32 callers to both hosts of a data centre. Returns the number of responses with status 200.
    int sendKeyedLoad(int count)
    {
        std::atomic<int> next = 0;
        std::atomic<int> answered = 0;
        std::vector<std::thread> callers;
        for (int i = 0; i < 32; ++i) {
            callers.emplace_back([&, i] {
                for (int n = next++; n < count; n = next++)
                    answered += book(i % 2 ? "east-1" : "east-2", "load-" + std::to_string(n)).status == 200;
            });
        }
        for (auto& caller : callers)
            caller.join();
        return answered;
    }

    std::unique_ptr<support::Fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdempotentRequestsTest);

}
