#include "Fleet.h"

#include "chiveshelf/tables/TablesJson.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace {

using chiveshelf::http::Verb;
using nlohmann::json;

// Returns the duration of an outage, which CHIVESHELF_OUTAGE_SECONDS sets.
std::chrono::seconds outageLength()
{
    const char* text = std::getenv("CHIVESHELF_OUTAGE_SECONDS");
    return std::chrono::seconds(text ? std::atoi(text) : 12);
}

class TableOutageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TableOutageTest);
    CPPUNIT_TEST(outageAndRestartOfAllButOneHostKeepRevision);
    CPPUNIT_TEST(silentPlatformAndRestartOfAllButOneHostKeepRevision);
    CPPUNIT_TEST(olderRevisionInPlatformIsOverwrittenAndNeverInForce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_highestRevisions.clear();
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        m_fleet->startRunner("runner", "east");
        for (const auto* dataCentre : { "east", "west" }) {
            for (const auto* suffix : { "-1", "-2", "-3" })
                m_fleet->startHost(std::string(dataCentre) + suffix, dataCentre);
        }
        m_fleet->writeHostList();
        m_oldTables = m_fleet->defaultTables();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_oldTables));
        m_oldTables.revision = 1;
        editWeight(2);
        editWeight(3);
        CPPUNIT_ASSERT(m_fleet->waitForRevision(3, std::chrono::seconds(4)));
        // A host knows all members after it has read the host list.
        CPPUNIT_ASSERT(support::eventually([&] { return everyHost([](const json& state) { return state["members"].size() == 6; }); }, std::chrono::seconds(4)));
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against losing the tables if hosts restart while the platform is unavailable.
    void outageAndRestartOfAllButOneHostKeepRevision() { restartHostsDuringOutage("close"); }

    // Guards against hosts that wait for a platform which accepts connections and never responds.
    void silentPlatformAndRestartOfAllButOneHostKeepRevision() { restartHostsDuringOutage("silent"); }

    // Guards against a restored backup of the platform that reverts an accepted edit, on running or on restarted hosts.
    void olderRevisionInPlatformIsOverwrittenAndNeverInForce()
    {
        support::call(m_fleet->platform(), Verb::put, "/control/kv/chiveshelf%2Ftables", {}, formatTables(m_oldTables));
        m_fleet->process("east-2").kill();
        m_fleet->startHost("east-2", "east");
        const auto isWrittenBack = [&] {
            checkRevisions();
            const auto value = support::call(m_fleet->platform(), Verb::get, "/kv/chiveshelf%2Ftables").body;
            return json::parse(value).value("revision", 0) == 3;
        };
        CPPUNIT_ASSERT(support::eventually(isWrittenBack, std::chrono::seconds(5)));
        CPPUNIT_ASSERT(waitForAll(3, std::chrono::seconds(4)));
        editWeight(4);
        CPPUNIT_ASSERT(waitForAll(4, std::chrono::seconds(4)));
    }

private:
    void restartHostsDuringOutage(const std::string& mode)
    {
        const auto end = std::chrono::steady_clock::now() + outageLength();
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "mode", mode } });
        for (const auto& [name, host] : m_fleet->hosts()) {
            if (name == "west-2")
                continue;
            m_fleet->process(name).kill();
            m_fleet->startHost(name, host.dataCentre);
            checkRevisions();
        }
        CPPUNIT_ASSERT(waitForAll(3, std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now())));
        CPPUNIT_ASSERT(support::eventually(
            [&] {
                checkRevisions();
                return std::chrono::steady_clock::now() >= end;
            },
            outageLength() + std::chrono::seconds(5)));
        m_fleet->setPlatformFaults(m_fleet->platform(), json::object());
        editWeight(4);
        CPPUNIT_ASSERT(waitForAll(4, std::chrono::seconds(4)));
    }

    void editWeight(int weight)
    {
        std::string output;
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->runCtl({ "edit", "set", "routes", "desk", "weight=" + std::to_string(weight) }, output));
    }

    // Reads the revision of every host and fails if it decreased. A host without tables reports 0.
    bool checkRevisions()
    {
        return everyHost([](const json&) { return true; });
    }

    bool waitForAll(std::uint64_t revision, std::chrono::milliseconds limit)
    {
        return support::eventually([&] { return everyHost([&](const json& state) { return state["tables_revision"] >= revision; }); }, limit);
    }

    bool everyHost(const std::function<bool(const json&)>& condition)
    {
        bool holds = true;
        for (const auto& [name, host] : m_fleet->hosts()) {
            const auto state = json::parse(support::call(host.admin, Verb::get, "/state").body, nullptr, false);
            if (!state.is_object())
                return false;
            const auto revision = state["tables_revision"].get<std::uint64_t>();
            CPPUNIT_ASSERT_MESSAGE(name + " went from " + std::to_string(m_highestRevisions[name]) + " to " + std::to_string(revision),
                revision == 0 || revision >= m_highestRevisions[name]);
            m_highestRevisions[name] = std::max(m_highestRevisions[name], revision);
            holds = holds && condition(state);
        }
        return holds;
    }

    std::unique_ptr<support::Fleet> m_fleet;
    chiveshelf::Tables m_oldTables;
    std::map<std::string, std::uint64_t> m_highestRevisions;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableOutageTest);

}
