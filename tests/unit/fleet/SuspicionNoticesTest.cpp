#include "chiveshelf/gateway/SuspicionNotices.h"
#include "VirtualTime.h"
#include "chiveshelf/core/Hash.h"
#include "chiveshelf/peer/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <random>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start = TimePoint() + seconds(1'000);

// The fleet of the first customer: hosts and runners in three data centres, of which some runners stop responding at once.
struct Scenario {
    bool isSharing = true;
    int hosts = 80;
    int runners = 60;
    int stopped = 15;
    milliseconds stoppedFor { 4'000 };
    // Requests per second of each host.
    double load = 10;
    double lossShare = 0;
    // A data centre whose hosts can't connect to the runners of the others, or -1. Notices still pass.
    int cutDataCentre = -1;
    milliseconds length { 8'000 };
    std::uint64_t seed = 1;
};

struct Outcome {
    std::size_t requests = 0;
    std::size_t failedConnections = 0;
    std::size_t refused = 0;
    std::size_t notices = 0;
    // Hosts outside the cut data centre, times runners, that were suspected 1 s after the runners stopped and at the end.
    std::size_t suspectedAfter1S = 0;
    std::size_t suspectedAtEnd = 0;
    // Requests that stopped runners got in the second after they came back.
    std::size_t returned = 0;
};

constexpr int dataCentres = 3;
constexpr int maxAttempts = 4;
constexpr milliseconds connectTimeout { 302 };
constexpr milliseconds answerTime { 100 };
constexpr milliseconds stopAt { 2'000 };
constexpr milliseconds noticeInterval { 632 };

// Simulates hosts that send requests to random runners in virtual time. Each has its own health records and exchanges notices.
class Simulation {
public:
    explicit Simulation(const Scenario& scenario)
        : m_scenario(scenario)
        , m_time(start)
        , m_random(scenario.seed)
    {
        for (int i = 0; i < scenario.hosts; ++i) {
            auto host = std::make_unique<Host>();
            host->notices = std::make_unique<SuspicionNotices>(
                scenario.isSharing, hash64(std::to_string(i)), static_cast<std::uint64_t>(i % dataCentres), [this, i](const SuspicionNotice& notice) { broadcast(i, notice); },
                [this, i](std::uint32_t runner) { return isTrying(i, runner); });
            for (int j = 0; j < scenario.runners; ++j) {
                RunnerRecord record;
                record.id = "r" + std::to_string(j);
                host->runners.push_back(std::make_shared<BackendState>(record, 0));
                host->numbers[host->runners.back()->number()] = j;
            }
            m_hosts.push_back(std::move(host));
        }
    }

    Outcome run()
    {
        for (int i = 0; i < m_scenario.hosts; ++i) {
            scheduleRequest(i);
            scheduleNotices(i, milliseconds(static_cast<int>(noticeInterval.count() * random())));
        }
        m_time.at(start + stopAt + seconds(1), [this] { m_outcome.suspectedAfter1S = suspected(); });
        m_time.runUntil(start + m_scenario.length);
        m_outcome.suspectedAtEnd = suspected();
        return m_outcome;
    }

private:
    struct Host {
        std::unique_ptr<SuspicionNotices> notices;
        BackendDirectory::RunnerList runners;
        std::map<std::uint32_t, int> numbers;
    };

    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Host& host(int i) { return *m_hosts[static_cast<std::size_t>(i)]; }

    bool isStopped(int runner) const
    {
        return runner < m_scenario.stopped && m_time.now() >= start + stopAt && m_time.now() < start + stopAt + m_scenario.stoppedFor;
    }

    bool canReach(int host, int runner) const
    {
        const bool isCut = host % dataCentres == m_scenario.cutDataCentre && runner % dataCentres != host % dataCentres;
        return !isStopped(runner) && !isCut;
    }

    bool isTrying(int i, std::uint32_t runner) const
    {
        const auto rank = [&](int other) { return hash64(std::to_string(other), hash64(std::to_string(runner))); };
        for (int other = i % dataCentres; other < m_scenario.hosts; other += dataCentres) {
            if (rank(other) > rank(i))
                return false;
        }
        return true;
    }

    void broadcast(int from, const SuspicionNotice& notice)
    {
        CPPUNIT_ASSERT(peer::encode(notice).size() <= peer::DatagramChannel::maxMessageBytes);
        ++m_outcome.notices;
        for (int i = 0; i < m_scenario.hosts; ++i) {
            if (i != from && random() >= m_scenario.lossShare)
                m_time.after(milliseconds(1 + static_cast<int>(20 * random())), [this, i, notice] { host(i).notices->applyNotice(notice, m_time.now()); });
        }
    }

    void scheduleNotices(int i, milliseconds delay)
    {
        m_time.after(delay, [this, i] {
            host(i).notices->sendRepetitions(m_time.now());
            scheduleNotices(i, noticeInterval);
        });
    }

    void scheduleRequest(int i)
    {
        m_time.after(milliseconds(static_cast<int>(2'000 / m_scenario.load * random())), [this, i] {
            ++m_outcome.requests;
            attempt(i, {});
            scheduleRequest(i);
        });
    }

    void attempt(int i, std::vector<std::string> excluded)
    {
        PlacementContext context;
        context.now = m_time.now();
        context.excluded = std::move(excluded);
        auto& own = host(i);
        const auto selected = own.notices->hasReports() ? own.notices->selectRunners(own.runners, context) : own.runners;
        BackendDirectory::RunnerList usable;
        std::copy_if(selected.begin(), selected.end(), std::back_inserter(usable),
            [&](const auto& runner) { return runner->isUsable(context.now) && !context.isExcluded(runner->record().id); });
        if (usable.empty() || context.excluded.size() == maxAttempts) {
            ++m_outcome.refused;
            return;
        }
        const auto runner = usable[static_cast<std::size_t>(random() * static_cast<double>(usable.size()))];
        const auto number = own.numbers[runner->number()];
        const auto end = start + stopAt + m_scenario.stoppedFor;
        m_outcome.returned += number < m_scenario.stopped && context.now >= end && context.now < end + seconds(1) ? 1 : 0;
        if (canReach(i, number)) {
            m_time.after(answerTime, [this, i, runner] { host(i).notices->onRunnerData(runner->number(), m_time.now()); });
            return;
        }
        context.excluded.push_back(runner->record().id);
        m_time.after(connectTimeout, [this, i, runner, excluded = context.excluded] {
            ++m_outcome.failedConnections;
            runner->health().onConnectionFailed(m_time.now());
            host(i).notices->onConnectionFailed(runner->number(), m_time.now() - connectTimeout, m_time.now());
            attempt(i, excluded);
        });
    }

    std::size_t suspected() const
    {
        std::size_t n = 0;
        for (int i = 0; i < m_scenario.hosts; ++i)
            n += i % dataCentres == m_scenario.cutDataCentre ? 0 : m_hosts[static_cast<std::size_t>(i)]->notices->suspectedCount(m_time.now());
        return n;
    }

    Scenario m_scenario;
    support::VirtualTime m_time;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Host>> m_hosts;
    Outcome m_outcome;
};

Outcome simulate(const Scenario& scenario, const std::string& name)
{
    const auto out = Simulation(scenario).run();
    std::cout << name << ", sharing " << (scenario.isSharing ? "on" : "off") << ": " << out.requests << " requests, " << out.failedConnections << " failed connections, " << out.refused
              << " refused, " << out.notices << " notices, suspected " << out.suspectedAfter1S << " and " << out.suspectedAtEnd << ", after return " << out.returned << "\n";
    return out;
}

class SuspicionNoticesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SuspicionNoticesTest);
    CPPUNIT_TEST(stoppedRunnersCauseFewFailedConnections);
    CPPUNIT_TEST(lostNoticesLeaveSuspicionEffective);
    CPPUNIT_TEST(cutDataCentreCausesNoSuspicionElsewhere);
    CPPUNIT_TEST(recoveredRunnersAreUsedAgain);
    CPPUNIT_TEST(reportOfOneOtherDataCentreIsNoSuspicion);
    CPPUNIT_TEST(reportOlderThanDataOfRunnerIsIgnored);
    CPPUNIT_TEST(suspectedRunnersAreUsedWhileNoOtherIsUsable);
    CPPUNIT_TEST(nothingIsSentOrSuspectedWhileDisabled);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against each host finding out on its own that runners have stopped.
    void stoppedRunnersCauseFewFailedConnections()
    {
        Scenario scenario;
        const auto after = simulate(scenario, "15 of 60 runners stop");
        scenario.isSharing = false;
        const auto before = simulate(scenario, "15 of 60 runners stop");
        CPPUNIT_ASSERT(after.failedConnections * 3 < before.failedConnections);
        CPPUNIT_ASSERT(after.refused <= before.refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 80 * 15 }, after.suspectedAfter1S);
    }

    void lostNoticesLeaveSuspicionEffective()
    {
        Scenario scenario;
        scenario.lossShare = 0.3;
        // Where all notices of the first data are lost, the suspicion ends with its reports, 4 s after the last one.
        scenario.length = stopAt + scenario.stoppedFor + RunnerSuspicions::reportLifetime + noticeInterval;
        const auto after = simulate(scenario, "30% of notices lost");
        scenario.isSharing = false;
        const auto before = simulate(scenario, "30% of notices lost");
        CPPUNIT_ASSERT(after.failedConnections * 2 < before.failedConnections);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, after.suspectedAtEnd);
    }

    // Guards against hosts that are cut off from runners making others avoid these.
    void cutDataCentreCausesNoSuspicionElsewhere()
    {
        Scenario scenario;
        scenario.stopped = 0;
        scenario.cutDataCentre = 0;
        const auto out = simulate(scenario, "hosts of a data centre cut off");
        scenario.isSharing = false;
        const auto before = simulate(scenario, "hosts of a data centre cut off");
        CPPUNIT_ASSERT(out.failedConnections > 0 && out.failedConnections < before.failedConnections);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, out.suspectedAfter1S + out.suspectedAtEnd);
    }

    // Guards against runners that stay without requests after they came back.
    void recoveredRunnersAreUsedAgain()
    {
        Scenario scenario;
        scenario.stoppedFor = seconds(3);
        scenario.length = seconds(10);
        const auto out = simulate(scenario, "runners come back");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, out.suspectedAtEnd);
        CPPUNIT_ASSERT(out.returned > 0);
    }

    void reportOfOneOtherDataCentreIsNoSuspicion()
    {
        RunnerSuspicions suspicions(1);
        CPPUNIT_ASSERT(suspicions.addReport(7, 100, 2, start));
        CPPUNIT_ASSERT(suspicions.addReport(7, 101, 2, start));
        CPPUNIT_ASSERT(!suspicions.isSuspected(7, start));
        CPPUNIT_ASSERT(suspicions.addReport(7, 102, 3, start));
        CPPUNIT_ASSERT(suspicions.isSuspected(7, start));
        CPPUNIT_ASSERT(!suspicions.isSuspected(7, start + RunnerSuspicions::reportLifetime));
        CPPUNIT_ASSERT(suspicions.addReport(8, 103, 1, start));
        CPPUNIT_ASSERT(suspicions.isSuspected(8, start));
    }

    // Guards against a late notice that renews a suspicion which has ended.
    void reportOlderThanDataOfRunnerIsIgnored()
    {
        RunnerSuspicions suspicions(1);
        CPPUNIT_ASSERT(suspicions.addReport(7, 100, 1, start));
        CPPUNIT_ASSERT(suspicions.recordReached(7, start + milliseconds(10)));
        CPPUNIT_ASSERT(!suspicions.isSuspected(7, start + milliseconds(10)));
        CPPUNIT_ASSERT(!suspicions.addReport(7, 101, 1, start + milliseconds(5)));
        CPPUNIT_ASSERT(suspicions.addReport(7, 101, 1, start + milliseconds(20)));
        CPPUNIT_ASSERT(!suspicions.recordReached(7, start + milliseconds(15)));
        CPPUNIT_ASSERT(suspicions.isSuspected(7, start + milliseconds(20)));
    }

    void suspectedRunnersAreUsedWhileNoOtherIsUsable()
    {
        BackendDirectory::RunnerList runners;
        for (const auto* id : { "a", "b" }) {
            RunnerRecord record;
            record.id = id;
            runners.push_back(std::make_shared<BackendState>(record, 0));
        }
        SuspicionNotices notices(
            true, 1, 1, [](const auto&) {}, [](std::uint32_t) { return false; });
        notices.onConnectionFailed(runners[0]->number(), start, start);
        PlacementContext context;
        context.now = start;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, notices.selectRunners(runners, context).size());
        context.excluded = { "b" };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, notices.selectRunners(runners, context).size());
        context.excluded = {};
        runners[1]->health().onConnectionFailed(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, notices.selectRunners(runners, context).size());
    }

    void nothingIsSentOrSuspectedWhileDisabled()
    {
        std::size_t sent = 0;
        SuspicionNotices notices(
            false, 1, 1, [&](const auto&) { ++sent; }, [](std::uint32_t) { return false; });
        notices.onConnectionFailed(7, start, start);
        notices.applyNotice({ 2, 1, { { 7, 0, false } } }, start);
        notices.sendRepetitions(start + seconds(1));
        CPPUNIT_ASSERT(!notices.hasReports());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, sent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspicionNoticesTest);

}
