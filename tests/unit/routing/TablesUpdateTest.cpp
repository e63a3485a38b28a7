#include "chiveshelf/routing/TablesUpdate.h"
#include "chiveshelf/routing/RouteIndex.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <functional>

namespace {

using namespace chiveshelf;

// Few names and prefixes, so that rows often match the same requests, move or repeat.
PathRoute makeRoute(unsigned i)
{
    PathRoute out;
    out.name = "route" + std::to_string(i / 4);
    out.host = i % 2 == 0 ? "desk.example" : "shop.example";
    out.pathPrefix = "/p" + std::to_string(i % 5) + "/";
    out.timeLimit = std::chrono::milliseconds(1'000 + i % 3);
    out.pools = { { "pool" + std::to_string(i % 3), 1 + i % 2 } };
    return out;
}

RegisteredPool makePool(unsigned i)
{
    RegisteredPool out;
    out.name = "pool" + std::to_string(i % 4);
    out.maxConnections = i;
    if (i % 2 == 0)
        out.engine = EngineLimits { i, 1'000, 2, 0.5 };
    if (i % 3 == 0)
        out.store = CacheStore { { "127.0.0.1", 80 }, "east", 10, 1.5, 2 };
    return out;
}

Organisation makeOrganisation(unsigned i)
{
    Organisation out;
    out.name = "organisation" + std::to_string(i % 4);
    out.keys = { "key" + std::to_string(i % 6) };
    out.isDedicated = i % 2 == 0;
    return out;
}

template <typename Row>
std::vector<Row> arbitraryRows(Row (*make)(unsigned))
{
    std::vector<Row> out;
    for (const auto i : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 20U)))
        out.push_back(make(i));
    return out;
}

RoutingTables arbitraryTables(std::uint64_t version)
{
    RoutingTables out;
    out.version = version;
    out.routes = arbitraryRows(makeRoute);
    out.pools = arbitraryRows(makePool);
    out.organisations = arbitraryRows(makeOrganisation);
    out.limits.headerBytes = *rc::gen::inRange(1U, 4U);
    return out;
}

template <typename Row>
std::optional<Row> valueOf(const Row* row)
{
    return row ? std::optional(*row) : std::nullopt;
}

RoutingTables tablesOf(std::uint64_t version, unsigned routes)
{
    RoutingTables out;
    out.version = version;
    for (unsigned i = 0; i < routes; ++i) {
        out.routes.push_back(makeRoute(i));
        out.routes.back().name = "row" + std::to_string(i);
    }
    return out;
}

class TablesUpdateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TablesUpdateTest);
    CPPUNIT_TEST(appliedUpdateGivesTablesOfSender);
    CPPUNIT_TEST(appliedUpdateRoutesLikeTablesOfSender);
    CPPUNIT_TEST(updateFromEmptyBaseHoldsWholeTables);
    CPPUNIT_TEST(updateHoldsOnlyChangedRows);
    CPPUNIT_TEST(updateOfOtherBaseVersionIsRejected);
    CPPUNIT_TEST(updateOfOtherBaseContentIsRejected);
    CPPUNIT_TEST(updateWithRowsOutOfRangeIsRejected);
    CPPUNIT_TEST(updateThatRepeatsRowsWithoutEndIsRejected);
    CPPUNIT_TEST(checksumDiffersForEachField);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against rows that are lost, repeated or moved, for any two versions.
    void appliedUpdateGivesTablesOfSender()
    {
        CPPUNIT_ASSERT(rc::check("an applied update gives the sender's tables", [] {
            const auto base = arbitraryTables(4);
            const auto tables = arbitraryTables(7);
            const auto applied = applyTablesUpdate(makeTablesUpdate(base, tables), base);
            RC_ASSERT(applied.has_value());
            RC_ASSERT(*applied == tables);
        }));
    }

    // Guards against requests that are routed differently on hosts that got an update instead of the text.
    void appliedUpdateRoutesLikeTablesOfSender()
    {
        CPPUNIT_ASSERT(rc::check("an applied update routes like the sender's tables", [] {
            const auto base = arbitraryTables(4);
            const RouteIndex sender(arbitraryTables(7));
            auto applied = applyTablesUpdate(makeTablesUpdate(base, sender.tables()), base);
            RC_ASSERT(applied.has_value());
            const RouteIndex receiver(std::move(*applied));
            for (unsigned i = 0; i < 20; ++i) {
                const auto row = makeRoute(i);
                const auto* expected = sender.findRoute(row.host, row.pathPrefix);
                const auto* found = receiver.findRoute(row.host, row.pathPrefix);
                RC_ASSERT(valueOf(expected) == valueOf(found));
                const auto key = makeOrganisation(i).keys.front();
                RC_ASSERT(valueOf(sender.findOrganisation(key)) == valueOf(receiver.findOrganisation(key)));
                const auto pool = makePool(i).name;
                RC_ASSERT(valueOf(sender.findPool(pool)) == valueOf(receiver.findPool(pool)));
            }
        }));
    }

    // Guards against hosts without tables that can't use an update.
    void updateFromEmptyBaseHoldsWholeTables()
    {
        const auto tables = tablesOf(7, 30);
        const auto update = makeTablesUpdate({}, tables);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), update.baseVersion);
        CPPUNIT_ASSERT(tables == applyTablesUpdate(update, {}).value());
    }

    // Guards against updates that grow with the tables instead of with the change.
    void updateHoldsOnlyChangedRows()
    {
        const auto base = tablesOf(4, 2'000);
        auto tables = tablesOf(7, 2'100);
        tables.routes[700].priority = 3;
        tables.routes.erase(tables.routes.begin() + 20);
        const auto update = makeTablesUpdate(base, tables);
        CPPUNIT_ASSERT_EQUAL(std::size_t(101), update.routes.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), update.routes.steps.size());
        CPPUNIT_ASSERT(tables == applyTablesUpdate(update, base).value());
    }

    // Guards against updates applied to tables that they were not made for.
    void updateOfOtherBaseVersionIsRejected()
    {
        const auto update = makeTablesUpdate(tablesOf(4, 10), tablesOf(7, 12));
        CPPUNIT_ASSERT(!applyTablesUpdate(update, tablesOf(5, 10)));
        CPPUNIT_ASSERT(!applyTablesUpdate(update, {}));
    }

    // Guards against wrong tables if two hosts know different tables of one version, as after a restore of the store.
    void updateOfOtherBaseContentIsRejected()
    {
        auto other = tablesOf(4, 10);
        other.routes[3].priority = 9;
        const auto update = makeTablesUpdate(tablesOf(4, 10), tablesOf(7, 12));
        CPPUNIT_ASSERT(!applyTablesUpdate(update, other));
    }

    // Guards against reads outside of the base's rows.
    void updateWithRowsOutOfRangeIsRejected()
    {
        const auto base = tablesOf(4, 10);
        for (const auto& step : { RowStep { 0, 11, 0 }, RowStep { 10, 1, 0 }, RowStep { 0xFFFF'FFFF, 2, 0 }, RowStep { 0, 10, 1 } }) {
            auto update = makeTablesUpdate(base, tablesOf(7, 10));
            update.routes.steps = { step };
            CPPUNIT_ASSERT(!applyTablesUpdate(update, base));
        }
    }

    // Guards against a short update that exhausts the memory.
    void updateThatRepeatsRowsWithoutEndIsRejected()
    {
        const auto base = tablesOf(4, 1'000);
        auto update = makeTablesUpdate(base, tablesOf(7, 1'000));
        update.routes.steps.assign(1'000'000, { 0, 1'000, 0 });
        CPPUNIT_ASSERT(!applyTablesUpdate(update, base));
    }

    // Guards against differences that the checksum doesn't show.
    void checksumDiffersForEachField()
    {
        const auto tables = tablesOf(4, 10);
        const std::vector<std::function<void(RoutingTables&)>> changes {
            [](auto& it) { it.version = 5; },
            [](auto& it) { it.routes.pop_back(); },
            [](auto& it) { std::swap(it.routes[0], it.routes[1]); },
            [](auto& it) { it.routes[0].name = "other"; },
            [](auto& it) { it.routes[0].kind = RequestKind::Stream; },
            [](auto& it) { it.routes[0].isResumable = true; },
            [](auto& it) { it.routes[0].goal = std::chrono::milliseconds(7); },
            [](auto& it) { it.routes[0].pools.clear(); },
            [](auto& it) { it.pools.push_back(makePool(0)); },
            [](auto& it) { it.organisations.push_back(makeOrganisation(0)); },
            [](auto& it) { it.limits.bodyBytes = 1; },
        };
        for (const auto& change : changes) {
            auto other = tables;
            change(other);
            CPPUNIT_ASSERT(tablesChecksum(tables) != tablesChecksum(other));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesUpdateTest);

}
