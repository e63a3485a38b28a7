#include "chiveshelf/tables/TablesDelta.h"
#include "chiveshelf/tables/TablesDiff.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using chiveshelf::Route;
using chiveshelf::Tables;

constexpr int baseRowCount = 5;
constexpr int maxRowCount = 7;

// What an edit does to a row. Rows from `baseRowCount` on are absent before the edit.
enum class RowEdit {
    Keep,
    SetWeightTwo,
    SetWeightThree,
    Remove,
};

using Edit = std::vector<RowEdit>;

Route makeRoute(const std::string& name, int weight)
{
    Route route;
    route.name = name;
    route.organisation = name;
    route.model = "m";
    route.pool = "p";
    route.weight = weight;
    return route;
}

std::string rowName(int i)
{
    return "r" + std::to_string(i);
}

Tables makeTables(const Edit& edit, std::uint64_t revision)
{
    Tables tables;
    tables.revision = revision;
    chiveshelf::Pool pool;
    pool.name = "p";
    pool.model = "m";
    pool.version = "v1";
    pool.runners = { { "runner", { "127.0.0.1", 80 }, "a" } };
    tables.pools = { pool };
    tables.routes = { makeRoute("always", 1) };
    for (int i = 0; i < maxRowCount; ++i) {
        const auto change = edit.empty() ? RowEdit::Keep : edit[static_cast<std::size_t>(i)];
        if (change == RowEdit::Remove || (change == RowEdit::Keep && i >= baseRowCount))
            continue;
        tables.routes.push_back(makeRoute(rowName(i), change == RowEdit::Keep ? 1 : change == RowEdit::SetWeightTwo ? 2
                                                                                                                    : 3));
    }
    return tables;
}

bool changesRow(const Edit& edit, int i)
{
    const auto change = edit[static_cast<std::size_t>(i)];
    return change != RowEdit::Keep && !(change == RowEdit::Remove && i >= baseRowCount);
}

rc::Gen<Edit> randomEdit()
{
    return rc::gen::container<Edit>(maxRowCount, rc::gen::element(RowEdit::Keep, RowEdit::SetWeightTwo, RowEdit::SetWeightThree, RowEdit::Remove));
}

class TablesMergeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TablesMergeTest);
    CPPUNIT_TEST(mergeOfTwoRandomEditsAppliesBothOrReportsConflictingRows);
    CPPUNIT_TEST(mergeOfEditsToSameRowReportsTableRowAndField);
    CPPUNIT_TEST(mergeOfRemovedPoolWithNewRouteReportsMissingPool);
    CPPUNIT_TEST(diffOfChangedFieldReportsValuesBeforeAndAfter);
    CPPUNIT_TEST(deltaBetweenTwoRandomEditsGivesTargetOrConflict);
    CPPUNIT_TEST(deltaForAnotherBaseRevisionIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a merge that drops or overwrites a row of either edit.
    void mergeOfTwoRandomEditsAppliesBothOrReportsConflictingRows()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const auto mine = *randomEdit();
            const auto theirs = *randomEdit();
            std::vector<std::string> conflictingRows;
            Edit both = theirs;
            for (int i = 0; i < maxRowCount; ++i) {
                const auto index = static_cast<std::size_t>(i);
                if (changesRow(mine, i) && changesRow(theirs, i) && mine[index] != theirs[index])
                    conflictingRows.push_back(rowName(i));
                if (changesRow(mine, i))
                    both[index] = mine[index];
            }
            const auto merged = mergeTables(makeTables({}, 1), makeTables(mine, 1), makeTables(theirs, 2));
            RC_ASSERT(merged.has_value() == conflictingRows.empty());
            if (merged) {
                RC_ASSERT(diffTables(*merged, makeTables(both, 2)).empty());
                RC_ASSERT(merged->revision == 2u);
                return;
            }
            std::vector<std::string> reported;
            for (const auto& problem : merged.error())
                reported.push_back(problem.row);
            RC_ASSERT(reported == conflictingRows);
        }));
    }

    // Guards against a conflict report that does not locate the conflict in the tables.
    void mergeOfEditsToSameRowReportsTableRowAndField()
    {
        const Edit none(maxRowCount, RowEdit::Keep);
        auto mine = none;
        mine[1] = RowEdit::SetWeightTwo;
        auto theirs = none;
        theirs[1] = RowEdit::SetWeightThree;
        const auto merged = mergeTables(makeTables(none, 1), makeTables(mine, 1), makeTables(theirs, 2));
        CPPUNIT_ASSERT(!merged);
        CPPUNIT_ASSERT_EQUAL(std::string("routes[r1].weight: the accepted edit set 3, yours sets 2"), toString(merged.error().front()));
    }

    // Guards against two edits that are valid on their own but invalid when merged.
    void mergeOfRemovedPoolWithNewRouteReportsMissingPool()
    {
        auto base = makeTables({}, 1);
        auto pool = base.pools[0];
        pool.name = "q";
        base.pools.push_back(pool);
        auto otherRoute = makeRoute("other", 1);
        otherRoute.pool = "q";
        base.routes.push_back(otherRoute);
        auto mine = base;
        mine.routes.push_back(otherRoute);
        mine.routes.back().name = mine.routes.back().organisation = "new";
        auto theirs = base;
        theirs.revision = 2;
        theirs.pools.pop_back();
        theirs.routes.pop_back();
        const auto merged = mergeTables(base, mine, theirs);
        CPPUNIT_ASSERT(!merged);
        CPPUNIT_ASSERT_EQUAL(std::string("routes[new].pool: no pool named 'q'"), toString(merged.error().front()));
    }

    // Guards against a diff that omits the old or the new value.
    void diffOfChangedFieldReportsValuesBeforeAndAfter()
    {
        auto to = makeTables({}, 1);
        to.pools[0].version = "v2";
        const auto changes = diffTables(makeTables({}, 1), to);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("~ pools[p]\n    version: \"v1\" -> \"v2\"\n"), toString(changes[0]));
    }

    // Guards against hosts that hold different tables with the same revision.
    void deltaBetweenTwoRandomEditsGivesTargetOrConflict()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const auto base = makeTables(*randomEdit(), 1);
            const auto target = makeTables(*randomEdit(), 2);
            const auto result = applyDelta(base, makeDelta(base, target));
            if (result)
                RC_ASSERT(*result == target);
            else
                RC_ASSERT(result.error().code == chiveshelf::ErrorCode::Conflict);
            const auto whole = applyDelta({}, makeDelta({}, target));
            RC_ASSERT(whole.has_value());
            RC_ASSERT(*whole == target);
        }));
    }

    // Guards against a delta that is applied to another revision than the one it was made for.
    void deltaForAnotherBaseRevisionIsRejected()
    {
        const auto delta = makeDelta(makeTables({}, 1), makeTables({}, 2));
        CPPUNIT_ASSERT(applyDelta(makeTables({}, 1), delta).has_value());
        CPPUNIT_ASSERT(!applyDelta(makeTables({}, 3), delta).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesMergeTest);

}
