#include "chiveshelf/gateway/FleetLimits.h"
#include "LimitAudit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <queue>
#include <random>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::LimitSchedule;

const TimePoint start = TimePoint() + seconds(1'000);
const std::string runnerId = "r0";

// Hosts with requests for one limited runner. All of them want to send each request there.
struct Scenario {
    int hosts = 6;
    std::vector<LimitSchedule::Step> limits { { milliseconds(0), 2 } };
    // Requests per second that arrive at all hosts, and the share of them that arrives at the first one.
    double load = 100;
    double firstHostShare = 0;
    // Time from which on requests arrive.
    milliseconds loadFrom { 0 };
    // Longest time in which a notice reaches another host, and the share that is lost.
    milliseconds maxDelay { 10 };
    double lossShare = 0.02;
    // If set, hosts handle requests and notices only at multiples of this time, as processes do that have used up their processor time.
    milliseconds stallPeriod { 0 };
    // Times at which each host stands still once, for up to `longestStall`, as when all decode the same tables. Each begins up to
    // `stallSpread` later. What arrived meanwhile is handled at the end, requests before notices.
    std::vector<milliseconds> stallsAt;
    milliseconds longestStall { 0 };
    milliseconds stallSpread { 0 };
    // Whether the first half of the hosts is cut off from the second.
    bool isDivided = false;
    milliseconds length { 16'000 };
    std::uint64_t seed = 1;
};

// Simulates the hosts of a scenario in virtual time.
class Simulation {
public:
    explicit Simulation(const Scenario& scenario)
        : m_scenario(scenario)
        , m_schedule(start, scenario.limits)
        , m_random(scenario.seed)
        , m_interval(std::clamp<milliseconds>(milliseconds(8) * (scenario.hosts - 1), milliseconds(150), milliseconds(1'000)))
    {
        std::set<std::uint64_t> hashes;
        for (int i = 0; i < scenario.hosts; ++i)
            hashes.insert(static_cast<std::uint64_t>(i) + 1);
        for (int i = 0; i < scenario.hosts; ++i) {
            auto host = std::make_unique<Host>();
            RunnerRecord record;
            record.id = runnerId;
            record.pool = "pool";
            host->directory.update({ { runnerId, record } }, [](const std::string&) { return std::int64_t(0); });
            host->limits = std::make_unique<FleetLimits>(host->directory, static_cast<std::uint64_t>(i) + 1, 1, [this] { return uniform(); });
            auto others = hashes;
            others.erase(static_cast<std::uint64_t>(i) + 1);
            host->limits->setHosts(std::move(others), m_interval);
            for (const auto time : scenario.stallsAt) {
                const auto from = start + time + share(scenario.stallSpread);
                host->stalls.push_back({ from, from + scenario.longestStall / 2 + share(scenario.longestStall / 2) });
            }
            m_hosts.push_back(std::move(host));
        }
    }

    void run()
    {
        for (int i = 0; i < m_scenario.hosts; ++i) {
            scheduleArrival(i, start + m_scenario.loadFrom);
            const auto firstNotice = milliseconds(static_cast<std::int64_t>(uniform() * static_cast<double>(m_interval.count())));
            at(start + firstNotice, [this, i] { sendNotices(i); });
            at(start, [this, i] { tick(i); });
            // Each host has an answer from before the load.
            at(start, [this, i] { m_hosts[static_cast<std::size_t>(i)]->limits->applyAnswer(runner(i), m_schedule.at(start), m_now, m_now); });
        }
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            if (m_now > start + m_scenario.length)
                break;
            event.run();
        }
    }

    std::string violation() const { return m_audit.worstViolation(runnerId, m_schedule); }

    // Returns the requests from `from` on as a share of those that the limit allows.
    double usedShare(milliseconds from) const
    {
        const auto end = start + m_scenario.length;
        return static_cast<double>(m_audit.arrivals(runnerId, start + from, end)) / m_schedule.allowance(start + from, end);
    }

private:
    struct Host {
        BackendDirectory directory;
        std::unique_ptr<FleetLimits> limits;
        // Begin and end of each.
        std::vector<std::pair<TimePoint, TimePoint>> stalls;
    };

    struct Event {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    TimePoint::duration share(milliseconds time) { return std::chrono::duration_cast<TimePoint::duration>(time * uniform()); }

    BackendState& runner(int host) { return *m_hosts[static_cast<std::size_t>(host)]->directory.find(runnerId); }

    void at(TimePoint time, std::function<void()> run) { m_events.push({ time, ++m_eventCount, std::move(run) }); }

    // Returns when a host handles an event that reaches it at `time`.
    TimePoint handledAt(int host, TimePoint time) const
    {
        for (const auto& [from, to] : m_hosts[static_cast<std::size_t>(host)]->stalls) {
            if (time >= from && time < to)
                time = to;
        }
        const auto period = m_scenario.stallPeriod;
        if (period.count() == 0)
            return time;
        const auto periods = (time - start) / period + 1;
        return start + periods * period;
    }

    double rateOf(int host) const
    {
        const auto even = m_scenario.load * (1 - m_scenario.firstHostShare) / m_scenario.hosts;
        return even + (host == 0 ? m_scenario.load * m_scenario.firstHostShare : 0);
    }

    void scheduleArrival(int host, TimePoint from)
    {
        if (rateOf(host) <= 0)
            return;
        const std::chrono::duration<double> gap(std::exponential_distribution<double>(rateOf(host))(m_random));
        const auto time = from + std::chrono::duration_cast<TimePoint::duration>(gap);
        at(handledAt(host, time), [this, host, time] {
            scheduleArrival(host, time);
            arrive(host);
        });
    }

    void arrive(int host)
    {
        auto& limits = *m_hosts[static_cast<std::size_t>(host)]->limits;
        if (!runner(host).mayReceive(m_now))
            return;
        const auto sentAt = m_now;
        if (limits.recordSend(runner(host), m_now))
            broadcast(host, limits.noticeFor(runner(host), m_now));
        m_audit.recordArrival(runnerId, host, m_now);
        const auto stated = m_schedule.at(m_now);
        at(handledAt(host, m_now + milliseconds(50)), [this, host, stated, sentAt] {
            auto& answered = *m_hosts[static_cast<std::size_t>(host)]->limits;
            if (stated)
                m_audit.recordStatement(runnerId, host, m_now);
            if (answered.applyAnswer(runner(host), stated, sentAt, m_now))
                broadcast(host, answered.noticeFor(runner(host), m_now));
        });
    }

    void tick(int host)
    {
        m_hosts[static_cast<std::size_t>(host)]->limits->recordAwake(m_now);
        const auto next = m_now + RequestLimit::awakeInterval;
        const auto handled = handledAt(host, next);
        // After all else that waited for the end of the stall.
        at(handled == next ? handled : handled + std::chrono::microseconds(2), [this, host] { tick(host); });
    }

    void sendNotices(int host)
    {
        for (const auto& notice : m_hosts[static_cast<std::size_t>(host)]->limits->takeNotices(m_now))
            broadcast(host, notice);
        at(m_now + m_interval, [this, host] { sendNotices(host); });
    }

    void broadcast(int from, const LimitNotice& notice)
    {
        const auto shared = std::make_shared<LimitNotice>(notice);
        const auto half = m_scenario.hosts / 2;
        std::array<std::vector<int>, 8> receivers;
        for (int to = 0; to < m_scenario.hosts; ++to) {
            const bool isCut = m_scenario.isDivided && (from < half) != (to < half);
            if (to != from && !isCut && uniform() >= m_scenario.lossShare)
                receivers[static_cast<std::size_t>(uniform() * static_cast<double>(receivers.size()))].push_back(to);
        }
        for (auto& group : receivers) {
            const std::chrono::duration<double, std::milli> delay(1 + uniform() * static_cast<double>(m_scenario.maxDelay.count()));
            const auto arrival = m_now + std::chrono::duration_cast<TimePoint::duration>(delay);
            std::map<TimePoint, std::vector<int>> byTime;
            for (const auto to : group) {
                const auto time = handledAt(to, arrival);
                // After the requests that arrived in the same stall.
                byTime[m_scenario.stallsAt.empty() || time == arrival ? time : time + std::chrono::microseconds(1)].push_back(to);
            }
            for (auto& [time, members] : byTime) {
                at(time, [this, shared, members = std::move(members)] {
                    for (const auto to : members)
                        m_hosts[static_cast<std::size_t>(to)]->limits->applyNotice(*shared, m_now);
                });
            }
        }
    }

    const Scenario& m_scenario;
    LimitSchedule m_schedule;
    std::mt19937_64 m_random;
    milliseconds m_interval;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
    TimePoint m_now = start;
    support::LimitAudit m_audit;
};

class FleetLimitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FleetLimitsTest);
    CPPUNIT_TEST(evenLoadUsesTheLimitAndKeepsIt);
    CPPUNIT_TEST(loadOfOneHostUsesTheLimitAndKeepsIt);
    CPPUNIT_TEST(sparseLoadIsNotRefused);
    CPPUNIT_TEST(loadAfterIdleTimeKeepsTheLimit);
    CPPUNIT_TEST(stalledHostsKeepTheLimit);
    CPPUNIT_TEST(fleetThatStallsOverLargeTablesKeepsTheLimit);
    CPPUNIT_TEST(lateAndReorderedNoticesBesideStallsKeepTheLimit);
    CPPUNIT_TEST(dividedFleetKeepsAndUsesTheLimit);
    CPPUNIT_TEST(largeFleetUsesTheLimitAndKeepsIt);
    CPPUNIT_TEST(limitThatRisesAndFallsIsFollowed);
    CPPUNIT_TEST(olderAnswerDoesNotLiftLimit);
    CPPUNIT_TEST(endOfLimitReachesHostThatMissedIt);
    CPPUNIT_TEST(restartedHostCountsOnlyItsNewRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void evenLoadUsesTheLimitAndKeepsIt()
    {
        for (const auto limit : { 0.5, 1.0, 3.6, 20.0 }) {
            Scenario scenario;
            scenario.limits = { { milliseconds(0), limit } };
            expectKeptAndUsed(scenario, 0.8);
        }
    }

    // Guards against a limit that is divided among hosts of which most have no use for their part.
    void loadOfOneHostUsesTheLimitAndKeepsIt()
    {
        for (const auto limit : { 0.5, 1.0, 3.6, 20.0 }) {
            Scenario scenario;
            scenario.limits = { { milliseconds(0), limit } };
            scenario.firstHostShare = 1;
            expectKeptAndUsed(scenario, 0.8);
        }
    }

    // Guards against refusing requests of hosts that seldom have one, while the runner has room.
    void sparseLoadIsNotRefused()
    {
        Scenario scenario;
        scenario.limits = { { milliseconds(0), 8 } };
        scenario.load = 2;
        scenario.length = seconds(60);
        expectKeptAndUsed(scenario, 0.8 * 2 / 8);
    }

    void loadAfterIdleTimeKeepsTheLimit()
    {
        for (const auto limit : { 1.0, 3.6, 20.0 }) {
            Scenario scenario;
            scenario.limits = { { milliseconds(0), limit } };
            scenario.loadFrom = seconds(8);
            expectKeptAndUsed(scenario, 0);
        }
    }

    // Guards against hosts that all act on what they knew before they lost the processor.
    void stalledHostsKeepTheLimit()
    {
        for (const auto limit : { 1.0, 3.6, 20.0 }) {
            Scenario scenario;
            scenario.limits = { { milliseconds(0), limit } };
            scenario.stallPeriod = milliseconds(100);
            expectKeptAndUsed(scenario, 0.6);
        }
    }

    // Guards against hosts that each take a permit after a stall, before they have read what the others took meanwhile.
    void fleetThatStallsOverLargeTablesKeepsTheLimit()
    {
        for (const auto limit : { 1.0, 2.0, 3.6, 8.0 }) {
            Scenario scenario;
            scenario.hosts = 60;
            scenario.limits = { { milliseconds(0), limit } };
            scenario.load = 300;
            scenario.stallsAt = { milliseconds(30'000), milliseconds(31'000), milliseconds(36'000) };
            scenario.longestStall = milliseconds(500);
            scenario.stallSpread = milliseconds(500);
            scenario.length = seconds(40);
            expectKeptAndUsed(scenario, 0.8, 10);
        }
    }

    // Guards against counts that arrive late, out of order or not at all, as over full links beside a change of large tables.
    void lateAndReorderedNoticesBesideStallsKeepTheLimit()
    {
        for (const auto limit : { 2.0, 3.6, 8.0 }) {
            Scenario scenario;
            scenario.hosts = 62;
            scenario.limits = { { milliseconds(0), limit } };
            scenario.load = 300;
            scenario.maxDelay = milliseconds(300);
            scenario.lossShare = 0.1;
            scenario.stallsAt = { milliseconds(10'000), milliseconds(11'000), milliseconds(16'000) };
            scenario.longestStall = milliseconds(500);
            scenario.stallSpread = milliseconds(500);
            scenario.length = seconds(20);
            expectKeptAndUsed(scenario, 0.6, 4);
        }
    }

    // Guards against parts of a divided fleet that each use the whole limit.
    void dividedFleetKeepsAndUsesTheLimit()
    {
        for (const auto limit : { 1.0, 3.6, 20.0 }) {
            Scenario scenario;
            scenario.limits = { { milliseconds(0), limit } };
            scenario.isDivided = true;
            expectKeptAndUsed(scenario, 0.7);
        }
    }

    void largeFleetUsesTheLimitAndKeepsIt()
    {
        for (const auto share : { 0.0, 1.0 }) {
            Scenario scenario;
            scenario.hosts = 295;
            scenario.limits = { { milliseconds(0), 8 } };
            scenario.load = 300;
            scenario.firstHostShare = share;
            scenario.maxDelay = milliseconds(25);
            scenario.length = seconds(9);
            expectKeptAndUsed(scenario, 0.7, 1, seconds(4));
        }
    }

    void limitThatRisesAndFallsIsFollowed()
    {
        Scenario scenario;
        scenario.limits = { { milliseconds(0), 2 }, { milliseconds(4'000), 12 }, { milliseconds(9'000), 1 } };
        expectKeptAndUsed(scenario, 0.7);
    }

    // Guards against an answer that was written before the runner stated a limit and arrives after another one.
    void olderAnswerDoesNotLiftLimit()
    {
        RequestLimit limit;
        CPPUNIT_ASSERT(limit.applyAnswer(2.0, start, start + milliseconds(100)));
        CPPUNIT_ASSERT(!limit.applyAnswer(std::nullopt, start + milliseconds(90), start + milliseconds(110)));
        CPPUNIT_ASSERT(!limit.applyAnswer(5.0, start + milliseconds(90), start + milliseconds(110)));
        CPPUNIT_ASSERT(limit.applyAnswer(1.0, start + milliseconds(90), start + milliseconds(120)));
        CPPUNIT_ASSERT(limit.applyAnswer(5.0, start + milliseconds(130), start + milliseconds(160)));
        CPPUNIT_ASSERT(limit.applyAnswer(std::nullopt, start + milliseconds(170), start + milliseconds(200)));
        CPPUNIT_ASSERT(limit.hasPermit(start + milliseconds(200)));
    }

    void endOfLimitReachesHostThatMissedIt()
    {
        Hosts hosts;
        hosts.first.applyAnswer(hosts.firstRunner(), 2.0, start, start);
        hosts.second.applyNotice(hosts.first.noticeFor(hosts.firstRunner(), start), start);
        CPPUNIT_ASSERT(hosts.secondRunner().requestLimit().perSecond());
        hosts.first.applyAnswer(hosts.firstRunner(), std::nullopt, start + seconds(1), start + seconds(2));
        // All notices of the end were lost, and the other host still announces the limit.
        const auto later = start + seconds(2) + FleetLimits::endAnnouncementTime + seconds(1);
        CPPUNIT_ASSERT(hosts.first.takeNotices(later).empty());
        for (const auto& notice : hosts.second.takeNotices(later))
            hosts.first.applyNotice(notice, later);
        CPPUNIT_ASSERT(!hosts.firstRunner().requestLimit().perSecond());
        for (const auto& notice : hosts.first.takeNotices(later))
            hosts.second.applyNotice(notice, later);
        CPPUNIT_ASSERT(!hosts.secondRunner().requestLimit().perSecond());
    }

    void restartedHostCountsOnlyItsNewRequests()
    {
        RequestLimit limit;
        limit.applyAnswer(1.0, start, start);
        limit.recordPeerSends(7, 1, 100, start, 0);
        limit.recordPeerSends(7, 1, 101, start, 0);
        const auto afterOne = limit.nextPermitAt();
        CPPUNIT_ASSERT(afterOne == start + seconds(2));
        limit.recordPeerSends(7, 1, 101, start, 0);
        CPPUNIT_ASSERT(limit.nextPermitAt() == afterOne);
        limit.recordPeerSends(7, 2, 1, start, 0);
        CPPUNIT_ASSERT(limit.nextPermitAt() == start + seconds(3));
    }

private:
    // Two hosts with the same runner.
    struct Hosts {
        Hosts()
        {
            RunnerRecord record;
            record.id = runnerId;
            for (auto* directory : { &firstDirectory, &secondDirectory })
                directory->update({ { runnerId, record } }, [](const std::string&) { return std::int64_t(0); });
            first.setHosts({ 2 }, milliseconds(150));
            second.setHosts({ 1 }, milliseconds(150));
        }

        BackendState& firstRunner() { return *firstDirectory.find(runnerId); }
        BackendState& secondRunner() { return *secondDirectory.find(runnerId); }

        BackendDirectory firstDirectory;
        BackendDirectory secondDirectory;
        FleetLimits first { firstDirectory, 1, 1, [] { return 0.5; } };
        FleetLimits second { secondDirectory, 2, 1, [] { return 0.5; } };
    };

    // Expects for each seed that the limit is kept, and on average that at least `share` of it is used.
    static void expectKeptAndUsed(Scenario scenario, double share, std::uint64_t seeds = 50, milliseconds usedFrom = seconds(2))
    {
        double used = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            scenario.seed = seed;
            Simulation simulation(scenario);
            simulation.run();
            const auto label = "limit " + std::to_string(scenario.limits.front().perSecond.value_or(0)) + ", seed " + std::to_string(seed) + ": ";
            CPPUNIT_ASSERT_EQUAL(std::string(), simulation.violation().empty() ? std::string() : label + simulation.violation());
            used += simulation.usedShare(usedFrom) / static_cast<double>(seeds);
        }
        const auto text = "limit " + std::to_string(scenario.limits.front().perSecond.value_or(0)) + ": used " + std::to_string(used);
        CPPUNIT_ASSERT_MESSAGE(text, used >= share);
        if (std::getenv("CHIVESHELF_TEST_FIGURES"))
            std::cout << text << "\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLimitsTest);

}
