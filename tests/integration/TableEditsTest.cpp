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
    CPPUNIT_TEST(editsOfDifferentRowsAtOnceAreAllAccepted);
    CPPUNIT_TEST(editsOfOneFieldAtOnceAcceptOneAndReportTableRowAndField);
    CPPUNIT_TEST(applyWithOldBaseMergesOtherRowsAndRefusesTheSameRow);
    CPPUNIT_TEST(editWhoseReplyIsLostIsAcceptedOnce);
    CPPUNIT_TEST(editDuringOutageSaysThatNothingWasWritten);
    CPPUNIT_TEST(editWhoseOutcomeCannotBeReadSaysSo);
    CPPUNIT_TEST(waitNamesTheHostOnWhichTheRevisionIsNotInForce);
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

    // Guards against an edit that is lost because another one was written between its read and its write.
    void editsOfDifferentRowsAtOnceAreAllAccepted()
    {
        delayPlatform();
        std::vector<std::future<CtlRun>> runs;
        for (int i = 0; i < routeCount; ++i)
            runs.push_back(std::async(std::launch::async, [this, i] { return run({ "edit", "set", "routes", "r" + std::to_string(i), "weight=" + std::to_string(i + 2) }); }));
        for (auto& each : runs)
            CPPUNIT_ASSERT_EQUAL(0, each.get().code);
        const auto tables = present();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 + routeCount }, tables.revision);
        for (int i = 0; i < routeCount; ++i)
            CPPUNIT_ASSERT_EQUAL(i + 2, weightOf(tables, "r" + std::to_string(i)));
    }

    // Guards against an operator who overwrites another's value without a word.
    void editsOfOneFieldAtOnceAcceptOneAndReportTableRowAndField()
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
        CPPUNIT_ASSERT_EQUAL(isFirstAccepted ? 5 : 7, weightOf(present(), "r0"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, present().revision);
    }

    // Guards against a file from an older revision that reverts the rows which others have edited since.
    void applyWithOldBaseMergesOtherRowsAndRefusesTheSameRow()
    {
        const auto old = present();
        CPPUNIT_ASSERT_EQUAL(0, run({ "edit", "set", "routes", "r1", "weight=9" }).code);
        auto mine = old;
        setWeight(mine, "r2", 4);
        CPPUNIT_ASSERT_EQUAL(exitDiffers, run({ "diff", write(mine) }).code);
        const auto merged = run({ "apply", write(mine) });
        CPPUNIT_ASSERT_EQUAL(0, merged.code);
        CPPUNIT_ASSERT(merged.output["merged"].get<bool>());
        CPPUNIT_ASSERT_EQUAL(9, weightOf(present(), "r1"));
        CPPUNIT_ASSERT_EQUAL(4, weightOf(present(), "r2"));
        auto overlapping = old;
        setWeight(overlapping, "r1", 3);
        CPPUNIT_ASSERT_EQUAL(exitConflict, run({ "apply", write(overlapping) }).code);
        CPPUNIT_ASSERT_EQUAL(9, weightOf(present(), "r1"));
    }

    // Guards against a second write after a lost reply: the value would get two revisions, or overwrite an edit between them.
    void editWhoseReplyIsLostIsAcceptedOnce()
    {
        const auto before = writes();
        // The first lost write is that of the predecessor, the second one the edit itself.
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "lose_replies", 2 } });
        const auto edit = run({ "edit", "set", "routes", "r0", "weight=5" });
        CPPUNIT_ASSERT_EQUAL(0, edit.code);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, present().revision);
        CPPUNIT_ASSERT_EQUAL(edit.output["edit_id"].get<std::string>(), present().editId);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, writes() - before);
    }

    // Guards against an operator who can not tell whether to repeat an edit.
    void editDuringOutageSaysThatNothingWasWritten()
    {
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "mode", "unavailable" } });
        CPPUNIT_ASSERT_EQUAL(exitUnavailable, run({ "edit", "set", "routes", "r0", "weight=5" }).code);
        m_fleet->setPlatformFaults(m_fleet->platform(), json::object());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, present().revision);
    }

    // Guards against an edit that took effect and is reported as not written when an outage begins with its reply.
    void editWhoseOutcomeCannotBeReadSaysSo()
    {
        CPPUNIT_ASSERT_EQUAL(0, run({ "edit", "set", "routes", "r0", "weight=5" }).code);
        const auto before = writes();
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "delay_ms", 300 }, { "lose_replies", 9 } });
        auto edit = std::async(std::launch::async, [this] { return run({ "edit", "set", "routes", "r0", "weight=6" }); });
        CPPUNIT_ASSERT(support::eventually([&] { return present(false).revision == 3; }, std::chrono::seconds(5)));
        m_fleet->setPlatformFaults(m_fleet->platform(), { { "mode", "unavailable" } });
        CPPUNIT_ASSERT_EQUAL(exitOutcomeUnknown, edit.get().code);
        m_fleet->setPlatformFaults(m_fleet->platform(), json::object());
        CPPUNIT_ASSERT_EQUAL(6, weightOf(present(), "r0"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, writes() - before);
    }

    // Guards against a wait that reports success, or names no host, while one host still has the old tables.
    void waitNamesTheHostOnWhichTheRevisionIsNotInForce()
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
    // Each call takes so long that edits which start together overlap.
    void delayPlatform() { m_fleet->setPlatformFaults(m_fleet->platform(), { { "delay_ms", 200 } }); }

    CtlRun run(std::vector<std::string> arguments) const
    {
        arguments.emplace_back("--json");
        std::string output;
        const int code = m_fleet->runCtl(arguments, output);
        return { code, json::parse(output, nullptr, false) };
    }

    // Reads the tables over the second listener, which has no faults.
    chiveshelf::Tables present(bool isRequired = true) const
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

    std::string write(const chiveshelf::Tables& tables) const
    {
        const auto path = m_fleet->logPath("edit") + ".json";
        std::ofstream(path) << formatTables(tables);
        return path;
    }

    std::unique_ptr<support::Fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableEditsTest);

}
