#include "Fleet.h"

#include "chiveshelf/tables/TablesJson.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <future>

namespace {

using nlohmann::json;

// Exit codes of chivesctl, as docs/OPERATIONS.md lists them.
constexpr int exitConflict = 4;
constexpr int exitUnavailable = 5;
constexpr int exitDiffers = 6;
constexpr int exitNotInForce = 7;
constexpr int exitOutcomeUnknown = 8;

constexpr int routeCount = 6;

struct CtlRun {
    int code = -1;
    json output;
};

class TableEditsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TableEditsTest);
    CPPUNIT_TEST(concurrentEditsOfDifferentRowsAreAllAccepted);
    CPPUNIT_TEST(concurrentEditsOfOneFieldReportTheConflictingField);
    CPPUNIT_TEST(applyOnOldRevisionMergesOtherRowsAndRefusesSameRow);
    CPPUNIT_TEST(editWithLostReplyIsAcceptedOnce);
    CPPUNIT_TEST(editDuringOutageReportsNothingWritten);
    CPPUNIT_TEST(editWithLostReplyBeforeOutageReportsUnknownOutcome);
    CPPUNIT_TEST(waitReportsHostWithOldRevision);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_fleet = std::make_unique<support::Fleet>();
        m_fleet->startPlatform();
        m_fleet->startRunner("runner", "east");
        auto tables = m_fleet->defaultTables();
        for (int i = 0; i < routeCount; ++i) {
            auto route = tables.routes[0];
            route.name = route.organisation = "r" + std::to_string(i);
            tables.routes.push_back(route);
        }
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->applyTables(tables));
    }

    void tearDown() override { m_fleet.reset(); }

    // Guards against a lost update when another edit is written between an edit's read and its write.
    void concurrentEditsOfDifferentRowsAreAllAccepted()
    {
        delayPlatform();
        std::vector<std::future<CtlRun>> runs;
        for (int i = 0; i < routeCount; ++i)
            runs.push_back(std::async(std::launch::async, [this, i] { return run({ "edit", "set", "routes", "r" + std::to_string(i), "weight=" + std::to_string(i + 2) }); }));
        for (auto& each : runs)
            CPPUNIT_ASSERT_EQUAL(0, each.get().code);
        const auto tables = currentTables();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 + routeCount }, tables.revision);
        for (int i = 0; i < routeCount; ++i)
            CPPUNIT_ASSERT_EQUAL(i + 2, weightOf(tables, "r" + std::to_string(i)));
    }

    // Guards against overwriting another operator's concurrent edit without an error.
    void concurrentEditsOfOneFieldReportTheConflictingField()
    {
        delayPlatform();
        auto first = std::async(std::launch::async, [this] { return run({ "edit", "set", "routes", "r0", "weight=5" }); });
        const auto second = run({ "edit", "set", "routes", "r0", "weight=7" });
        const auto other = first.get();
        const bool isFirstAccepted = other.code == 0;
        const auto& refused = isFirstAccepted ? second : other;
        CPPUNIT_ASSERT_EQUAL(0, isFirstAccepted ? other.code : second.code);
        CPPUNIT_ASSERT_EQUAL(exitConflict, refused.code);
        const auto& problem = refused.output["problems"][0];
        CPPUNIT_ASSERT_EQUAL(std::string("routes r0 weight"),
            problem["table"].get<std::string>() + " " + problem["row"].get<std::string>() + " " + problem["field"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(isFirstAccepted ? 5 : 7, weightOf(currentTables(), "r0"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, currentTables().revision);
    }

    // Guards against a file based on an older revision that reverts later edits of other rows.
    void applyOnOldRevisionMergesOtherRowsAndRefusesSameRow()
    {
        const auto old = currentTables();
        CPPUNIT_ASSERT_EQUAL(0, run({ "edit", "set", "routes", "r1", "weight=9" }).code);
        auto edited = old;
        setWeight(edited, "r2", 4);
        CPPUNIT_ASSERT_EQUAL(exitDiffers, run({ "diff", writeTablesFile(edited) }).code);
        const auto merged = run({ "apply", writeTablesFile(edited) });
        CPPUNIT_ASSERT_EQUAL(0, merged.code);
        CPPUNIT_ASSERT(merged.output["merged"].get<bool>());
        CPPUNIT_ASSERT_EQUAL(9, weightOf(currentTables(), "r1"));
        CPPUNIT_ASSERT_EQUAL(4, weightOf(currentTables(), "r2"));
        auto overlapping = old;
        setWeight(overlapping, "r1", 3);
        CPPUNIT_ASSERT_EQUAL(exitConflict, run({ "apply", writeTablesFile(overlapping) }).code);
        CPPUNIT_ASSERT_EQUAL(9, weightOf(currentTables(), "r1"));
    }

    // Guards against a second write after a lost reply: it would create two revisions, or overwrite an edit between the two writes.
    void editWithLostReplyIsAcceptedOnce()
    {
        const auto before = writes();
        // The first lost reply is that of the predecessor's write, the second one that of the edit's.
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "lose_replies", 2 } });
        const auto edit = run({ "edit", "set", "routes", "r0", "weight=5" });
        CPPUNIT_ASSERT_EQUAL(0, edit.code);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, currentTables().revision);
        CPPUNIT_ASSERT_EQUAL(edit.output["edit_id"].get<std::string>(), currentTables().editId);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, writes() - before);
    }

    // Guards against an error that does not show that the edit was not written and can be repeated.
    void editDuringOutageReportsNothingWritten()
    {
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "mode", "unavailable" } });
        CPPUNIT_ASSERT_EQUAL(exitUnavailable, run({ "edit", "set", "routes", "r0", "weight=5" }).code);
        m_fleet->setPlatformFaults(m_fleet->platform(), json::object());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, currentTables().revision);
    }

    // Guards against reporting an edit as not written that took effect: its reply was lost, and an outage prevents reading the result.
    void editWithLostReplyBeforeOutageReportsUnknownOutcome()
    {
        CPPUNIT_ASSERT_EQUAL(0, run({ "edit", "set", "routes", "r0", "weight=5" }).code);
        const auto before = writes();
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "delay_ms", 300 }, { "lose_replies", 9 } });
        auto edit = std::async(std::launch::async, [this] { return run({ "edit", "set", "routes", "r0", "weight=6" }); });
        CPPUNIT_ASSERT(support::eventually([&] { return currentTables(false).revision == 3; }, std::chrono::seconds(5)));
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "mode", "unavailable" } });
        CPPUNIT_ASSERT_EQUAL(exitOutcomeUnknown, edit.get().code);
        m_fleet->setPlatformFaults(m_fleet->platform(), json::object());
        CPPUNIT_ASSERT_EQUAL(6, weightOf(currentTables(), "r0"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, writes() - before);
    }

    // Guards against a wait that succeeds, or does not report the host, while one host still has the old tables.
    void waitReportsHostWithOldRevision()
    {
        for (const auto* name : { "east-1", "east-2", "east-3" })
            m_fleet->startHost(name, "east");
        m_fleet->writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, run({ "wait", "1" }).code);
        m_fleet->process("east-2").signal(SIGSTOP);
        CPPUNIT_ASSERT_EQUAL(0, run({ "edit", "set", "routes", "r0", "weight=5" }).code);
        const auto waited = run({ "wait", "2", "--timeout-ms", "3000" });
        CPPUNIT_ASSERT_EQUAL(exitNotInForce, waited.code);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, waited.output["not_in_force"].size());
        CPPUNIT_ASSERT_EQUAL(std::string("east-2"), waited.output["not_in_force"][0]["host"].get<std::string>());
        m_fleet->process("east-2").signal(SIGCONT);
        CPPUNIT_ASSERT_EQUAL(0, run({ "wait", "2" }).code);
    }

private:
    // Delays each platform call, so that edits which start at the same time overlap.
    void delayPlatform() { m_fleet->setPlatformFaults(m_fleet->platform(), { { "delay_ms", 200 } }); }

    CtlRun run(std::vector<std::string> arguments) const
    {
        arguments.emplace_back("--json");
        std::string output;
        const int code = m_fleet->runCtl(arguments, output);
        return { code, json::parse(output, nullptr, false) };
    }

    // Reads the tables through the platform's second listener, which has no faults.
    chiveshelf::Tables currentTables(bool isRequired = true) const
    {
        const auto response = support::call(m_fleet->secondPlatform(), chiveshelf::http::Verb::get, "/kv/chiveshelf%2Ftables");
        const auto tables = chiveshelf::parseTables(response.body);
        CPPUNIT_ASSERT(tables.has_value() || !isRequired);
        return tables.value_or(chiveshelf::Tables {});
    }

    std::uint64_t writes() const
    {
        const auto response = support::call(m_fleet->platform(), chiveshelf::http::Verb::get, "/control/stats");
        return json::parse(response.body).value("writes", std::uint64_t { 0 });
    }

    static int weightOf(const chiveshelf::Tables& tables, const std::string& name)
    {
        for (const auto& route : tables.routes) {
            if (route.name == name)
                return route.weight;
        }
        return 0;
    }

    static void setWeight(chiveshelf::Tables& tables, const std::string& name, int weight)
    {
        for (auto& route : tables.routes) {
            if (route.name == name)
                route.weight = weight;
        }
    }

    std::string writeTablesFile(const chiveshelf::Tables& tables) const
    {
        const auto path = m_fleet->logPath("edit") + ".json";
        std::ofstream(path) << formatTables(tables);
        return path;
    }

    std::unique_ptr<support::Fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableEditsTest);

}
