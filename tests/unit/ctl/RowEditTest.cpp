#include "chiveshelf/ctl/RowEdit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using chiveshelf::applyRowEdits;

class RowEditTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RowEditTest);
    CPPUNIT_TEST(setOfStringNumberAndObjectMemberChangesOnlyTheseFields);
    CPPUNIT_TEST(unsetOfOptionalFieldRemovesIt);
    CPPUNIT_TEST(addOfPoolAndItsRouteInOneCommandIsAccepted);
    CPPUNIT_TEST(removeOfPoolWithRouteIsRejected);
    CPPUNIT_TEST(setOfUnknownFieldReportsRowAndField);
    CPPUNIT_TEST(unknownActionTableOrInvalidValueIsUsageError);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        chiveshelf::Pool pool;
        pool.name = "p";
        pool.model = "m";
        pool.version = "v1";
        pool.runners = { { "runner", { "127.0.0.1", 80 }, "a" } };
        m_tables = { 1, "", { { "r", "*", "m", "", "p", chiveshelf::Priority::Standard, chiveshelf::Priority::Urgent, 1 } }, { pool } };
    }

    // Guards against a version such as "2" that is parsed as a number, and against an edit that resets other fields.
    void setOfStringNumberAndObjectMemberChangesOnlyTheseFields()
    {
        const auto edited = applyRowEdits(m_tables, { "set", "pools", "p", "version=2", "slots_per_runner=4", "targets_ms.urgent=300" });
        CPPUNIT_ASSERT(edited.has_value());
        auto expected = m_tables;
        expected.pools[0].version = "2";
        expected.pools[0].slotsPerRunner = 4;
        expected.pools[0].targets[0] = std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(*edited == expected);
    }

    // Guards against an optional limit that cannot be removed once it is set.
    void unsetOfOptionalFieldRemovesIt()
    {
        const auto edited = applyRowEdits(m_tables, { "unset", "routes", "r", "max_priority" });
        CPPUNIT_ASSERT(edited.has_value());
        CPPUNIT_ASSERT(!edited->routes[0].maxPriority);
    }

    // Guards against pools that cannot be added on the command line, because a pool requires a route and a route a pool.
    void addOfPoolAndItsRouteInOneCommandIsAccepted()
    {
        const auto edited = applyRowEdits(m_tables,
            { "add", "pools", "name=q", "kind=service", R"(runners=[{"name":"s","address":"127.0.0.1:81","data_centre":"a"}])", "and", "add",
                "routes", "name=s", "organisation=*", "path=/s", "pool=q" });
        CPPUNIT_ASSERT(edited.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, edited->pools.size());
    }

    // Guards against an edit that leaves a route to a removed pool.
    void removeOfPoolWithRouteIsRejected()
    {
        const auto edited = applyRowEdits(m_tables, { "remove", "pools", "p" });
        CPPUNIT_ASSERT(!edited);
        CPPUNIT_ASSERT_EQUAL(std::string("routes[r].pool: no pool named 'p'"), toString(edited.error().problems.front()));
    }

    // Guards against a misspelt field that is accepted.
    void setOfUnknownFieldReportsRowAndField()
    {
        const auto edited = applyRowEdits(m_tables, { "set", "routes", "r", "wieght=2" });
        CPPUNIT_ASSERT(!edited);
        CPPUNIT_ASSERT_EQUAL(std::string("routes[r].wieght: unknown field"), toString(edited.error().problems.front()));
    }

    // Guards against wrong arguments that are reported as a problem of the tables.
    void unknownActionTableOrInvalidValueIsUsageError()
    {
        CPPUNIT_ASSERT(!applyRowEdits(m_tables, { "put", "routes", "r", "weight=2" }).error().usageError.empty());
        CPPUNIT_ASSERT(!applyRowEdits(m_tables, { "set", "rules", "r", "weight=2" }).error().usageError.empty());
        CPPUNIT_ASSERT(!applyRowEdits(m_tables, { "set", "routes", "r", "weight=x" }).error().usageError.empty());
    }

private:
    chiveshelf::Tables m_tables;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowEditTest);

}
