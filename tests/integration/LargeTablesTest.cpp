#include "LargeTables.h"
#include "GatewayFleet.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Time.h"
#include "chiveshelf/gateway/WatcherElection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <iostream>
#include <numeric>
#include <optional>

namespace {

using chiveshelf::TimePoint;
using fakeplatform::Script;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::LargeTables;
namespace asio = boost::asio;

constexpr int hostCount = 8;
// Hosts of the smallest kind have a link of 10 Mbit/s and 0.12 of a processor.
constexpr double linkRate = 1'250'000;
constexpr double largeLinkRate = 10 * linkRate;
constexpr double processorShare = 0.12;
// Per host, in requests per second.
constexpr double requestRate = 12;
// More than the rate needs, so that each connection is idle for most of its limit before it is used again.
constexpr std::size_t connectionsPerHost = 16;
constexpr milliseconds workTime { 30 };

// Time after its acknowledgement within which a change has to be in force on all hosts.
constexpr seconds changeBound { 3 };
// How long after a change its effects count, from the acknowledgement.
constexpr seconds changeWindow { 4 };
constexpr seconds calmTime { 5 };
// A request that was cut counts if it was sent this long before, or if a runner has received it.
constexpr milliseconds crossingTime { 200 };
// Share of the route's time after which a failure is a time-out of the route.
constexpr double timeoutShare = 0.7;
constexpr milliseconds probeInterval { 250 };

// One request as its caller saw it.
struct Outcome {
    int host = 0;
    std::string id;
    std::string path;
    TimePoint sentAt;
    TimePoint endedAt;
    // 0 if the connection ended without a complete response.
    unsigned status = 0;
    std::string runner;
    bool hasReachedRunner = false;
    // Beside which change it was sent, counted from 0.
    std::optional<std::size_t> change;
};

struct Change {
    TimePoint sentAt;
    std::uint64_t version = 0;
    std::size_t storeReads = 0;
    // What the small hosts received from store, callers and other hosts.
    std::size_t receivedBytes = 0;
    // Time until a request on the version's own route was accepted, for each host that has it in force.
    std::map<int, milliseconds> inForceAfter;
    // Requests sent after the bound that were refused as the version before does.
    std::size_t refusedLate = 0;
};

// What callers and the store saw on one day.
struct Day {
    std::vector<Outcome> outcomes;
    std::vector<Change> changes;
};

// Callers of one host that keep their connections, and use each again until four fifths of the host's idle time have passed.
class KeptConnections {
public:
    using Socket = asio::ip::tcp::socket;

    explicit KeptConnections(milliseconds idleTime)
        : m_longestIdle(idleTime * 4 / 5)
    {
    }

    // Returns the connection that has been idle for longest, or nothing if there should be a new one.
    std::shared_ptr<Socket> take(TimePoint now)
    {
        while (!m_idle.empty() && now - m_idle.front().since > m_longestIdle)
            m_idle.pop_front();
        if (m_idle.size() < connectionsPerHost && (m_idle.empty() || now - m_idle.front().since < m_longestIdle / 2))
            return nullptr;
        auto out = std::move(m_idle.front().socket);
        m_idle.pop_front();
        return out;
    }

    void putBack(std::shared_ptr<Socket> socket, TimePoint now) { m_idle.push_back({ std::move(socket), now }); }

private:
    struct Entry {
        std::shared_ptr<Socket> socket;
        TimePoint since;
    };

    milliseconds m_longestIdle;
    std::deque<Entry> m_idle;
};

// Which hosts of the fleet are small.
enum class SmallHosts {
    All,
    // The hosts that don't watch the store while all are up. The watching ones are large enough to tell the others of a change at once.
    AllButWatching,
};

std::vector<int> numbersOf(SmallHosts hosts)
{
    std::vector<int> out(hostCount);
    std::iota(out.begin(), out.end(), 1);
    if (hosts == SmallHosts::All)
        return out;
    std::sort(out.begin(), out.end(), [](int a, int b) { return chiveshelf::hash64(support::GatewayFleet::hostName(a)) < chiveshelf::hash64(support::GatewayFleet::hostName(b)); });
    out.resize(hostCount - chiveshelf::WatcherElection::watcherCount);
    return out;
}

// A day on which the operator changes large tables while small hosts serve.
class DayOfChanges {
public:
    DayOfChanges(std::uint64_t seed, SmallHosts small)
        : m_small(numbersOf(small))
        , m_random(seed)
        , m_fleet(m_tables.text(), seed)
    {
    }

    // Plays a day with the first `changes` of: 1,400 routes more, a route without requests more, a route that moves to another pool.
    Day play(std::size_t changes)
    {
        addRunner("desk-1", "desk");
        addRunner("desk-2", "desk");
        addRunner("counter-1", "counter");
        for (int i = 1; i <= hostCount; ++i)
            m_fleet.limitLink(i, std::count(m_small.begin(), m_small.end(), i) > 0 ? linkRate : largeLinkRate);
        m_fleet.startHosts(hostCount);
        m_fleet.limitProcessors(m_small, processorShare);
        m_fleet.runFor(seconds(2));
        for (int i = 1; i <= hostCount; ++i)
            asio::co_spawn(m_fleet.context(), call(i), asio::detached);
        m_fleet.runFor(calmTime);
        for (std::size_t i = 0; i < changes; ++i) {
            if (i < 2)
                m_tables.idleRoutes += i == 0 ? 1'400 : 1;
            else
                m_tables.lookPool = "counter";
            change();
        }
        m_fleet.runFor(calmTime);
        m_isOver = true;
        m_fleet.runFor(LargeTables::timeout + seconds(1));
        for (auto& outcome : m_day.outcomes)
            outcome.hasReachedRunner = m_atRunners.contains(outcome.id);
        return std::move(m_day);
    }

private:
    void addRunner(const std::string& id, const std::string& pool)
    {
        // The runner closes each connection, so that hosts have to establish a new one for each request.
        m_fleet.addRunner(id, pool, [this, id](const auto& request) {
            m_atRunners.insert(chiveshelf::http::header(request, "X-Request-Id"));
            return Script { "", Script::End::Keep, fakeplatform::sealedResponse(request, 200, "x", "X-Instance-Id: " + id + "\r\nConnection: close\r\n"), workTime };
        });
    }

    void change()
    {
        m_tables.version += 3;
        const auto index = m_day.changes.size();
        const auto reads = m_fleet.store().readCount();
        const auto bytes = receivedBytes();
        auto& added = m_day.changes.emplace_back();
        added.sentAt = std::chrono::steady_clock::now();
        added.version = m_tables.version;
        m_fleet.store().put("op/config", m_tables.text());
        m_change = index;
        for (int i = 1; i <= hostCount; ++i)
            asio::co_spawn(m_fleet.context(), probe(i, index), asio::detached);
        m_fleet.runFor(changeWindow);
        m_day.changes[index].storeReads = m_fleet.store().readCount() - reads;
        m_day.changes[index].receivedBytes = receivedBytes() - bytes;
        m_change.reset();
    }

    std::size_t receivedBytes() const
    {
        std::size_t n = 0;
        for (const auto host : m_small)
            n += m_fleet.linkBytes(host, support::SlowLink::Direction::ToHost);
        return n;
    }

    asio::awaitable<void> sleep(std::chrono::steady_clock::duration duration)
    {
        asio::steady_timer timer(m_fleet.context(), duration);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    // Sends requests at random times, however long earlier ones take.
    asio::awaitable<void> call(int host)
    {
        const auto connections = std::make_shared<KeptConnections>(m_tables.idleTime);
        for (std::size_t i = 0; !m_isOver; ++i) {
            const std::chrono::duration<double> gap(std::exponential_distribution<double>(requestRate)(m_random));
            co_await sleep(std::chrono::duration_cast<std::chrono::steady_clock::duration>(gap));
            asio::co_spawn(m_fleet.context(), send(host, i % 3 == 0 ? "/book/1" : "/look/1", connections), asio::detached);
        }
    }

    // Asks for the route of a version until the host has it in force.
    asio::awaitable<void> probe(int host, std::size_t index)
    {
        const auto connections = std::make_shared<KeptConnections>(m_tables.idleTime);
        const auto path = "/v" + std::to_string(m_day.changes[index].version) + "/1";
        while (!m_isOver) {
            const auto sentAt = std::chrono::steady_clock::now();
            const auto status = co_await send(host, path, connections);
            auto& change = m_day.changes[index];
            if (status == 200) {
                change.inForceAfter[host] = std::chrono::duration_cast<milliseconds>(sentAt - change.sentAt);
                co_return;
            }
            if (status == 404 && sentAt > change.sentAt + changeBound)
                ++change.refusedLate;
            co_await sleep(probeInterval);
        }
    }

    asio::awaitable<unsigned> send(int host, std::string path, std::shared_ptr<KeptConnections> connections)
    {
        Outcome outcome;
        outcome.host = host;
        outcome.id = std::to_string(host) + "-" + std::to_string(++m_requests);
        outcome.path = path;
        boost::system::error_code ec;
        auto socket = connections->take(std::chrono::steady_clock::now());
        if (!socket) {
            socket = std::make_shared<KeptConnections::Socket>(m_fleet.context());
            co_await socket->async_connect(chiveshelf::http::toEndpoint(m_fleet.callerAddress(host)), asio::redirect_error(asio::use_awaitable, ec));
        }
        const auto bytes = "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + outcome.id
            + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody";
        co_await asio::async_write(*socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
        outcome.sentAt = std::chrono::steady_clock::now();
        outcome.change = m_change;
        // A connection that ended before the request was written holds no whole request.
        if (ec)
            co_return 0;
        boost::beast::flat_buffer buffer;
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        co_await boost::beast::http::async_read(*socket, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        outcome.endedAt = std::chrono::steady_clock::now();
        outcome.status = ec ? 0 : parser.get().result_int();
        outcome.runner = std::string(parser.get()["X-Instance-Id"]);
        if (!ec && parser.get().keep_alive())
            connections->putBack(socket, outcome.endedAt);
        m_day.outcomes.push_back(outcome);
        co_return outcome.status;
    }

    std::vector<int> m_small;
    LargeTables m_tables { 1, 2'800 };
    Day m_day;
    std::mt19937_64 m_random;
    std::set<std::string> m_atRunners;
    std::optional<std::size_t> m_change;
    std::uint64_t m_requests = 0;
    bool m_isOver = false;
    support::GatewayFleet m_fleet;
};

bool isTimeout(const Outcome& outcome)
{
    return outcome.endedAt - outcome.sentAt >= LargeTables::timeout * timeoutShare;
}

bool isLost(const Outcome& outcome)
{
    return outcome.status == 0 && !isTimeout(outcome) && (outcome.hasReachedRunner || outcome.endedAt - outcome.sentAt > crossingTime);
}

bool isFailedByHost(const Outcome& outcome)
{
    return (outcome.status == 502 || outcome.status == 504) && !isTimeout(outcome);
}

template <typename Predicate>
std::size_t count(const Day& day, bool isBesideChange, Predicate predicate)
{
    return static_cast<std::size_t>(std::count_if(day.outcomes.begin(), day.outcomes.end(),
        [&](const Outcome& it) { return it.change.has_value() == isBesideChange && predicate(it); }));
}

bool isAny(const Outcome&)
{
    return true;
}

void print(const Day& day)
{
    for (const bool isBesideChange : { false, true }) {
        std::cerr << (isBesideChange ? "beside changes: " : "calm: ") << count(day, isBesideChange, isAny) << " requests, " << count(day, isBesideChange, isLost)
                  << " lost, " << count(day, isBesideChange, isFailedByHost) << " failed by the host;";
        std::map<unsigned, std::size_t> byStatus;
        for (const auto& outcome : day.outcomes) {
            if (outcome.change.has_value() == isBesideChange)
                ++byStatus[outcome.status];
        }
        for (const auto& [status, n] : byStatus)
            std::cerr << " " << status << ": " << n;
        std::cerr << "\n";
    }
    for (const auto& change : day.changes) {
        std::cerr << "version " << change.version << ": " << change.storeReads << " whole reads, " << change.receivedBytes << " bytes to small hosts, " << change.refusedLate << " refused late, in force after";
        for (const auto& [host, time] : change.inForceAfter)
            std::cerr << " " << time.count();
        std::cerr << " ms\n";
    }
}

// The first seed, or that of CHIVESHELF_SOAK_FIRST_SEED.
std::uint64_t daySeed()
{
    const char* text = std::getenv("CHIVESHELF_SOAK_FIRST_SEED");
    return text ? std::stoull(text) : 1;
}

// Small hosts that serve while large tables change. The first three cases look at the same day.
class LargeTablesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LargeTablesTest);
    CPPUNIT_TEST(requestsBesideChangeOfLargeTablesAllGetAnAnswer);
    CPPUNIT_TEST(requestsBesideChangeOfLargeTablesFailNoMoreOftenThanInCalm);
    CPPUNIT_TEST(changedTablesAreInForceOnAllHostsWithinTheBound);
    CPPUNIT_TEST(changeOfLargeTablesMakesOnlyWatchingHostsReadTheStore);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against hosts that drop requests, or take callers for gone, after a stall by a decode or a full link.
    void requestsBesideChangeOfLargeTablesAllGetAnAnswer() { CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, count(day(), true, isLost)); }

    // Guards against time-outs of a host that its own stall sets off, and that end sound connections to runners.
    void requestsBesideChangeOfLargeTablesFailNoMoreOftenThanInCalm()
    {
        const auto failed = count(day(), true, isFailedByHost);
        const auto failedInCalm = count(day(), false, isFailedByHost);
        CPPUNIT_ASSERT(failed * count(day(), false, isAny) <= 3 * failedInCalm * count(day(), true, isAny));
    }

    // Guards against tables that reach small hosts too late because all of them fetch the whole text at once.
    void changedTablesAreInForceOnAllHostsWithinTheBound()
    {
        for (const auto& change : day().changes) {
            CPPUNIT_ASSERT_EQUAL(std::size_t { hostCount }, change.inForceAfter.size());
            for (const auto& [host, time] : change.inForceAfter)
                CPPUNIT_ASSERT(time <= changeBound);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, change.refusedLate);
        }
    }

    // Guards against a change of one route that makes every host read all that the store holds.
    void changeOfLargeTablesMakesOnlyWatchingHostsReadTheStore()
    {
        const auto day = DayOfChanges(daySeed(), SmallHosts::AllButWatching).play(1);
        print(day);
        for (const auto& change : day.changes)
            CPPUNIT_ASSERT(change.storeReads <= chiveshelf::WatcherElection::watcherCount);
    }

private:
    static const Day& day()
    {
        static const Day out = [] {
            auto played = DayOfChanges(daySeed(), SmallHosts::All).play(3);
            print(played);
            return played;
        }();
        return out;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeTablesTest);

}
