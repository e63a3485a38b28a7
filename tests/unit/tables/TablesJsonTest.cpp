#include "chiveshelf/tables/TablesJson.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using chiveshelf::formatTables;
using chiveshelf::parseTables;

const std::string validTables = R"({"revision": 3, "edit_id": "e",
    "routes": [{"name": "desk", "organisation": "*", "model": "m", "pool": "p"}],
    "pools": [{"name": "p", "kind": "model", "model": "m", "version": "v1",
        "runners": [{"name": "r1", "address": "127.0.0.1:80", "data_centre": "a"}]}]})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

class TablesJsonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TablesJsonTest);
    CPPUNIT_TEST(parseOfFormattedTablesReturnsSameTables);
    CPPUNIT_TEST(parseWithUnknownFieldReportsRowAndField);
    CPPUNIT_TEST(parseWithRouteToMissingPoolReportsRouteAndUnusedPool);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against fields that are lost when tables are parsed and written back.
    void parseOfFormattedTablesReturnsSameTables()
    {
        const auto tables = parseTables(validTables);
        CPPUNIT_ASSERT(tables.has_value());
        CPPUNIT_ASSERT(*tables == *parseTables(formatTables(*tables)));
    }

    // Guards against a misspelt field that is silently ignored.
    void parseWithUnknownFieldReportsRowAndField()
    {
        const auto tables = parseTables(replaced(validTables, R"("pool": "p")", R"("pool": "p", "wieght": 2)"));
        CPPUNIT_ASSERT(!tables);
        CPPUNIT_ASSERT_EQUAL(std::string("routes[desk].wieght: unknown field"), toString(tables.error().front()));
    }

    // Guards against routes to missing pools and pools without a route, of which only one is reported.
    void parseWithRouteToMissingPoolReportsRouteAndUnusedPool()
    {
        const auto tables = parseTables(replaced(validTables, R"("pool": "p")", R"("pool": "q")"));
        CPPUNIT_ASSERT(!tables);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, tables.error().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesJsonTest);

}
