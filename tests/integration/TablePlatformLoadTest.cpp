#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <iostream>

namespace {

using chiveshelf::http::Verb;
using nlohmann::json;

constexpr std::chrono::seconds measurementWindow(6);
// Restarted watches can add one or two calls per data centre to a window.
constexpr double tolerance = 1.3;

class TablePlatformLoadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TablePlatformLoadTest);
    CPPUNIT_TEST(platformCallsForTablesAreIndependentOfHostCount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against platform calls by every host, which would exceed the platform's rate limit as the fleet grows.
    void platformCallsForTablesAreIndependentOfHostCount()
    {
        const auto two = callsPerSecond(2);
        const auto four = callsPerSecond(4);
        const auto eight = callsPerSecond(8);
        CPPUNIT_ASSERT(two > 0);
        CPPUNIT_ASSERT(four <= two * tolerance);
        CPPUNIT_ASSERT(eight <= two * tolerance);
    }

private:
    // Returns the platform calls for tables per second of two data centres with `hosts` hosts each, during a window with one edit.
    static double callsPerSecond(int hosts)
    {
        support::Fleet fleet;
        fleet.startPlatform();
        fleet.startRunner("runner", "east");
        for (int i = 0; i < hosts; ++i) {
            for (const auto* dataCentre : { "east", "west" })
                fleet.startHost(dataCentre + std::string("-") + std::to_string(i), dataCentre);
        }
        fleet.writeHostList();
        CPPUNIT_ASSERT_EQUAL(0, fleet.applyTables(fleet.defaultTables()));
        // No assertion here: excess watchers show in the measured rate.
        support::eventually([&] { return watcherCount(fleet) == 4; }, std::chrono::seconds(4));
        CPPUNIT_ASSERT(fleet.waitForRevision(1, std::chrono::seconds(4)));
        const auto before = stats(fleet);
        const auto begin = std::chrono::steady_clock::now();
        std::string output;
        CPPUNIT_ASSERT_EQUAL(0, fleet.runCtl({ "edit", "set", "routes", "desk", "weight=2" }, output));
        CPPUNIT_ASSERT(support::eventually([&] { return std::chrono::steady_clock::now() - begin >= measurementWindow; }, 2 * measurementWindow));
        const auto after = stats(fleet);
        const auto rate = [&](const char* kind) { return static_cast<double>(after.value(kind, 0) - before.value(kind, 0)) / static_cast<double>(measurementWindow.count()); };
        const double tables = rate("reads") + rate("watches") + rate("writes");
        std::cerr << hosts << " hosts per data centre: " << tables << " calls/s for tables, " << rate("host_lists") << " for the host list\n";
        return tables;
    }

    static json stats(const support::Fleet& fleet)
    {
        return json::parse(support::call(fleet.platform(), Verb::get, "/control/stats").body);
    }

    static int watcherCount(const support::Fleet& fleet)
    {
        int n = 0;
        for (const auto& [name, host] : fleet.hosts())
            n += json::parse(support::call(host.admin, Verb::get, "/state").body)["tables"]["watching"].get<bool>() ? 1 : 0;
        return n;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablePlatformLoadTest);

}
