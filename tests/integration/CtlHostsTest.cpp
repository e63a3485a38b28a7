#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fstream>

namespace {

using nlohmann::json;

// Exit codes of chivesctl, as docs/OPERATIONS.md lists them.
constexpr int exitUsage = 2;
constexpr int exitInvalidTables = 3;
constexpr int exitUnavailable = 5;

class CtlHostsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CtlHostsTest);
    CPPUNIT_TEST(hostsAndStateCommandsReportUnreachableHosts);
    CPPUNIT_TEST(drainStopsOnlyTheNamedHost);
    CPPUNIT_TEST(runnersCommandReportsUnreachableRunner);
    CPPUNIT_TEST(usageErrorsAndInvalidTablesHaveDifferentExitCodes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        m_fleet->startRunner("runner-1", "east");
        m_fleet->startRunner("runner-2", "east");
        for (const auto* name : { "east-1", "east-2" })
            m_fleet->startHost(name, "east");
        m_fleet->writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(m_fleet->defaultTables()));
        CPPUNIT_ASSERT(m_fleet->waitForRevision(1, std::chrono::seconds(4)));
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against reporting a dead host as live because it is still on the host list, which lags.
    void hostsAndStateCommandsReportUnreachableHosts()
    {
        m_fleet->process("east-2").kill();
        const auto hosts = run({ "hosts" }, 0);
        CPPUNIT_ASSERT_EQUAL(std::string("live"), hosts[0]["status"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("unreachable"), hosts[1]["status"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(1, run({ "state", "east-1" }, 0)["east-1"]["tables_revision"].get<int>());
        run({ "state" }, exitUnavailable);
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "mode", "unavailable" } });
        run({ "hosts" }, exitUnavailable);
        const auto byAddress = run({ "hosts", "--hosts", toString(m_fleet->host("east-1").admin) }, 0);
        CPPUNIT_ASSERT_EQUAL(std::string("east-1"), byAddress[0]["host"].get<std::string>());
    }

    // Guards against a drain that stops another host.
    void drainStopsOnlyTheNamedHost()
    {
        run({ "drain", "east-9" }, exitUsage);
        run({ "drain", "east-1" }, 0);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->process("east-1").waitForExit(std::chrono::seconds(5)));
        CPPUNIT_ASSERT(m_fleet->process("east-2").isRunning());
    }

    // Guards against reporting a dead runner as healthy.
    void runnersCommandReportsUnreachableRunner()
    {
        m_fleet->process("runner-2").kill();
        const auto runners = run({ "runners" }, 0);
        CPPUNIT_ASSERT(runners[0]["health"] != "unreachable");
        CPPUNIT_ASSERT_EQUAL(std::string("unreachable"), runners[1]["health"].get<std::string>());
    }

    // Guards against exit codes with which a script cannot distinguish a usage error from invalid tables.
    void usageErrorsAndInvalidTablesHaveDifferentExitCodes()
    {
        const auto path = m_fleet->logPath("invalid") + ".json";
        std::ofstream(path) << R"({"routes": [{"name": "a"}], "pools": []})";
        run({ "validate", path }, exitInvalidTables);
        run({ "apply", path }, exitInvalidTables);
        run({ "edit", "set", "routes", "missing", "weight=1" }, exitInvalidTables);
        run({ "edit", "set", "routes", "desk", "weight" }, exitUsage);
        run({ "apply", path + ".missing" }, exitUsage);
        run({ "unknown" }, exitUsage);
    }

private:
    json run(std::vector<std::string> arguments, int expectedCode) const
    {
        arguments.emplace_back("--json");
        std::string output;
        CPPUNIT_ASSERT_EQUAL(expectedCode, m_fleet->runCtl(arguments, output));
        return json::parse(output, nullptr, false);
    }

    std::unique_ptr<support::Fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlHostsTest);

}
