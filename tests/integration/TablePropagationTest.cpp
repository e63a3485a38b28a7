#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

namespace {

using chiveshelf::http::Verb;
using nlohmann::json;
using std::chrono::milliseconds;

// Maximum time from an accepted edit until it is in force on every host.
constexpr milliseconds propagationLimit(4'000);
constexpr int editCount = 20;

class TablePropagationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TablePropagationTest);
    CPPUNIT_TEST(editIsInForceOnEveryHostWithin4S);
    CPPUNIT_TEST(editReachesDataCentreDisconnectedFromPlatform);
    CPPUNIT_TEST(editReachesHostsWithPausedWatchers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        m_fleet->startRunner("runner", "east");
        for (const auto* dataCentre : { "east", "west", "south" }) {
            const std::vector<std::string> second { "--platform", toString(m_fleet->secondPlatform()) };
            for (const auto* suffix : { "-1", "-2", "-3", "-4" })
                m_fleet->startHost(std::string(dataCentre) + suffix, dataCentre, dataCentre == std::string("west") ? second : std::vector<std::string> {});
        }
        m_fleet->writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_fleet->defaultTables()));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, propagationLimit));
        const auto isSettled = [&] {
            return std::all_of(m_fleet->hosts().begin(), m_fleet->hosts().end(), [&](const auto& entry) { return knowsItsPeers(entry.second); })
                && watchers("east").size() == 2 && watchers("west").size() == 2 && watchers("south").size() == 2;
        };
        // A host that started before the host list was written learns its contacts in other data centres at the next read of the
        // list, which occurs every 15 s.
        const bool hasSettled = support::eventually(isSettled, std::chrono::seconds(20));
        CPPUNIT_ASSERT_MESSAGE(describeMembers(), hasSettled);
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against an edit that takes effect late on some host.
    void editIsInForceOnEveryHostWithin4S()
    {
        std::vector<std::int64_t> times;
        for (int i = 0; i < editCount; ++i)
            times.push_back(editAndMeasure(allHosts()));
        std::sort(times.begin(), times.end());
        std::cerr << "accepted edit to in force on 12 hosts: median " << times[editCount / 2] << " ms, highest " << times.back() << " ms\n";
        CPPUNIT_ASSERT(times.back() < propagationLimit.count());
    }

    // Guards against a data centre that keeps old tables because it is disconnected from the platform, but not from other hosts.
    void editReachesDataCentreDisconnectedFromPlatform()
    {
        for (const auto* mode : { "silent", "close" }) {
            m_fleet->setPlatformFaults(m_fleet->secondPlatform(), { { "mode", mode } });
            const auto time = editAndMeasure(allHosts());
            std::cerr << "edit with a data centre cut off from the platform (" << mode << "): " << time << " ms\n";
            CPPUNIT_ASSERT(time < propagationLimit.count());
        }
    }

    // Guards against table updates that depend on a single watcher, or on both watchers of a data centre.
    void editReachesHostsWithPausedWatchers()
    {
        auto pausedHosts = watchers("south");
        pausedHosts.push_back(watchers("east").front());
        for (const auto& name : pausedHosts)
            m_fleet->process(name).signal(SIGSTOP);
        auto running = allHosts();
        std::erase_if(running, [&](const std::string& name) { return std::find(pausedHosts.begin(), pausedHosts.end(), name) != pausedHosts.end(); });
        const auto time = editAndMeasure(running);
        std::cerr << "edit with both watchers of one data centre and one of another frozen: " << time << " ms\n";
        CPPUNIT_ASSERT(time < propagationLimit.count());
        for (const auto& name : pausedHosts)
            m_fleet->process(name).signal(SIGCONT);
        CPPUNIT_ASSERT(m_fleet->waitForRevision(m_revision, propagationLimit));
    }

private:
    std::vector<std::string> allHosts() const
    {
        std::vector<std::string> names;
        for (const auto& [name, host] : m_fleet->hosts())
            names.push_back(name);
        return names;
    }

    json state(const std::string& name) const
    {
        return json::parse(support::call(m_fleet->host(name).admin, Verb::get, "/state").body, nullptr, false);
    }

    // Returns true if the host knows all hosts of its data centre and a contact in each other one.
    bool knowsItsPeers(const support::HostAddresses& host) const
    {
        std::map<std::string, int> known;
        const auto document = state(host.name);
        for (const auto& member : document["members"])
            ++known[member["data_centre"].get<std::string>()];
        return known.size() == 3 && known[host.dataCentre] == 4;
    }

    // Returns a line per host with the members that it knows and whether it watches the platform.
    std::string describeMembers() const
    {
        std::string out;
        for (const auto& [name, host] : m_fleet->hosts()) {
            const auto document = state(name);
            out += "\n" + name + (document["tables"]["watching"].get<bool>() ? " watches, knows" : " knows");
            for (const auto& member : document["members"])
                out += " " + member["name"].get<std::string>();
        }
        return out;
    }

    std::vector<std::string> watchers(const std::string& dataCentre) const
    {
        std::vector<std::string> names;
        for (const auto& [name, host] : m_fleet->hosts()) {
            if (host.dataCentre == dataCentre && state(name)["tables"]["watching"].get<bool>())
                names.push_back(name);
        }
        return names;
    }

    // Edits the tables and returns the time in ms until all given hosts have the edit, or propagationLimit.
    std::int64_t editAndMeasure(const std::vector<std::string>& hosts)
    {
        std::string output;
        const auto weight = "weight=" + std::to_string(++m_revision);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->runCtl({ "edit", "set", "routes", "desk", weight }, output));
        const auto accepted = std::chrono::steady_clock::now();
        std::vector<std::string> missing = hosts;
        const auto isInForce = [&] {
            std::erase_if(missing, [&](const std::string& name) { return state(name)["tables_revision"].get<std::uint64_t>() >= m_revision; });
            return missing.empty();
        };
        if (!support::eventually(isInForce, propagationLimit))
            return propagationLimit.count();
        return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - accepted).count();
    }

    std::unique_ptr<support::Fleet> m_fleet;
    std::uint64_t m_revision = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablePropagationTest);

}
