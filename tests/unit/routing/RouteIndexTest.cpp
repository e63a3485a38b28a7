#include "chiveshelf/routing/RouteIndex.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;

PathRoute makeRoute(std::string name, std::string host, std::string prefix)
{
    PathRoute route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    route.pools = { { "pool-a", 90 }, { "pool-b", 10 } };
    return route;
}

class RouteIndexTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouteIndexTest);
    CPPUNIT_TEST(pathWithNestedPrefixesMatchesLongest);
    CPPUNIT_TEST(prefixOfAnotherHostDoesNotMatch);
    CPPUNIT_TEST(hostWithPortAndUpperCaseMatches);
    CPPUNIT_TEST(pathWithoutFinalSlashOfPrefixDoesNotMatch);
    CPPUNIT_TEST(keyMissingFromNewerTablesIsNotFound);
    CPPUNIT_TEST(requestsAreDistributedByPoolWeights);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_tables.routes = { makeRoute("root", "shop.example", "/"), makeRoute("long", "shop.example", "/a/b/"), makeRoute("short", "shop.example", "/a/"),
            makeRoute("other", "desk.example", "/x/") };
        Organisation organisation;
        organisation.name = "gallery";
        organisation.keys = { "k1", "k2" };
        m_tables.organisations = { organisation };
    }

    // Guards against requests that match a shorter prefix than the longest one.
    void pathWithNestedPrefixesMatchesLongest()
    {
        const RouteIndex index(m_tables);
        CPPUNIT_ASSERT_EQUAL(std::string("long"), index.findRoute("shop.example", "/a/b/c/d")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("short"), index.findRoute("shop.example", "/a/bc")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("root"), index.findRoute("shop.example", "/z")->name);
    }

    // Guards against requests that match the routes of another host.
    void prefixOfAnotherHostDoesNotMatch()
    {
        const RouteIndex index(m_tables);
        CPPUNIT_ASSERT(!index.findRoute("desk.example", "/a/b/c"));
        CPPUNIT_ASSERT(!index.findRoute("nowhere.example", "/"));
    }

    // Guards against a Host header that does not match because of its port or letter case.
    void hostWithPortAndUpperCaseMatches()
    {
        const RouteIndex index(m_tables);
        CPPUNIT_ASSERT_EQUAL(std::string("other"), index.findRoute("Desk.Example:8080", "/x/1")->name);
    }

    // Guards against a prefix that matches part of a path segment.
    void pathWithoutFinalSlashOfPrefixDoesNotMatch()
    {
        const RouteIndex index(m_tables);
        CPPUNIT_ASSERT(!index.findRoute("desk.example", "/xy"));
        CPPUNIT_ASSERT(!index.findRoute("desk.example", "/x"));
    }

    // Guards against a removed API key that is still accepted, and against an empty key.
    void keyMissingFromNewerTablesIsNotFound()
    {
        const RouteIndex before(m_tables);
        CPPUNIT_ASSERT_EQUAL(std::string("gallery"), before.findOrganisation("k2")->name);
        m_tables.organisations[0].keys = { "k1" };
        const RouteIndex after(m_tables);
        CPPUNIT_ASSERT(!after.findOrganisation("k2"));
        CPPUNIT_ASSERT(!after.findOrganisation(""));
    }

    // Guards against pools that receive another share of the requests than their weight.
    void requestsAreDistributedByPoolWeights()
    {
        int secondPoolRequests = 0;
        for (std::uint64_t i = 0; i < 1'000; ++i)
            secondPoolRequests += RouteIndex::choosePool(m_tables.routes[0], i) == "pool-b" ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(100, secondPoolRequests);
    }

private:
    RoutingTables m_tables;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteIndexTest);

}
