#include "chiveshelf/core/Hash.h"
#include "chiveshelf/gateway/TablesCodec.h"
#include "chiveshelf/gateway/TablesFetch.h"
#include "chiveshelf/gateway/TablesOffer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using Kind = TablesPiece::Kind;
using std::chrono::milliseconds;

const TimePoint start = TimePoint() + std::chrono::seconds(100);

// Returns text that can hardly be compressed.
std::string noise(std::uint64_t i)
{
    return toHex(hash128(std::to_string(i)));
}

// Tables that can hardly be compressed; version v has v * 100 routes.
std::shared_ptr<const RouteIndex> makeTables(std::uint64_t version, const std::string& pool = "pool")
{
    RoutingTables out;
    out.version = version;
    for (std::uint64_t i = 0; i < version * 100; ++i) {
        PathRoute route;
        route.name = noise(3 * i);
        route.host = noise(3 * i + 1);
        route.pathPrefix = "/" + noise(3 * i + 2) + "/";
        route.pools = { { pool, 1 } };
        out.routes.push_back(std::move(route));
    }
    return std::make_shared<const RouteIndex>(std::move(out));
}

TablesHistory historyOf(std::initializer_list<std::uint64_t> versions)
{
    TablesHistory out;
    for (const auto version : versions)
        out.add(makeTables(version));
    return out;
}

// Random numbers that don't vary.
double half()
{
    return 0.5;
}

PullTablesPiece makeRequest(const std::string& ip, std::uint64_t base, std::uint64_t version = 0, std::uint64_t offset = 0)
{
    PullTablesPiece out;
    out.ip = ip;
    out.baseVersion = base;
    out.wantedVersion = base + 1;
    out.version = version;
    out.offset = offset;
    return out;
}

class TablesCodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TablesCodecTest);
    CPPUNIT_TEST(updateOfAnySizeIsDecoded);
    CPPUNIT_TEST(repeatedRowsAreCompressed);
    CPPUNIT_TEST(truncatedBytesAreRefused);
    CPPUNIT_TEST(changedBytesDoNotGiveOtherTables);
    CPPUNIT_TEST(updateBeyondLimitIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against ends of a compressed stream that are lost at certain sizes.
    void updateOfAnySizeIsDecoded()
    {
        const auto large = makeTables(60)->tables();
        for (std::size_t n = 0; n <= large.routes.size(); n = n < 300 ? n + 1 : n + 571) {
            RoutingTables tables;
            tables.version = 7;
            tables.routes.assign(large.routes.begin(), large.routes.begin() + static_cast<std::ptrdiff_t>(n));
            const auto update = makeTablesUpdate({}, tables);
            const auto decoded = decodeTablesUpdate(encodeTablesUpdate(update));
            CPPUNIT_ASSERT(decoded);
            CPPUNIT_ASSERT(update == *decoded);
        }
    }

    // Guards against links that carry the same words a thousand times.
    void repeatedRowsAreCompressed()
    {
        RoutingTables tables;
        tables.version = 7;
        for (int i = 0; i < 1'400; ++i) {
            PathRoute route;
            route.name = "idle-route-of-the-desk-" + std::to_string(i);
            route.host = "desk.example";
            route.pathPrefix = "/idle/" + std::to_string(i) + "/";
            route.pools = { { "desk", 1 } };
            tables.routes.push_back(std::move(route));
        }
        CPPUNIT_ASSERT(encodeTablesUpdate(makeTablesUpdate({}, tables)).size() < TablesOffer::pieceBytes);
    }

    void truncatedBytesAreRefused()
    {
        const auto bytes = encodeTablesUpdate(makeTablesUpdate({}, makeTables(1)->tables()));
        // The last five bytes only mark the end.
        for (std::size_t n = 0; n + 5 < bytes.size(); ++n)
            CPPUNIT_ASSERT(!decodeTablesUpdate(bytes.substr(0, n)));
    }

    // Guards against damage that goes unnoticed.
    void changedBytesDoNotGiveOtherTables()
    {
        const auto tables = makeTables(1)->tables();
        const auto bytes = encodeTablesUpdate(makeTablesUpdate({}, tables));
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            auto broken = bytes;
            broken[i] = static_cast<char>(broken[i] ^ 4);
            const auto update = decodeTablesUpdate(broken);
            if (!update)
                continue;
            const auto applied = applyTablesUpdate(*update, {});
            CPPUNIT_ASSERT(!applied || *applied == tables);
        }
    }

    // Guards against a short message that exhausts the memory.
    void updateBeyondLimitIsRefused()
    {
        RoutingTables tables;
        tables.version = 7;
        tables.routes.emplace_back().name = std::string(maxTablesUpdateBytes, 'x');
        const auto bytes = encodeTablesUpdate(makeTablesUpdate({}, tables));
        CPPUNIT_ASSERT(bytes.size() < 100'000);
        CPPUNIT_ASSERT(!decodeTablesUpdate(bytes));
    }
};

class TablesOfferTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TablesOfferTest);
    CPPUNIT_TEST(hostsWithSameVersionsMakeSameBytes);
    CPPUNIT_TEST(hostsBeyondSlotsAreToldToAskAgain);
    CPPUNIT_TEST(hostsThatWouldWaitForLongAreToldToAskAgain);
    CPPUNIT_TEST(slotOfSilentHostExpires);
    CPPUNIT_TEST(hostThatHasFinishedIsNamedToOthers);
    CPPUNIT_TEST(piecesUseHalfOfLink);
    CPPUNIT_TEST(updateThatWasBegunIsContinuedAfterNewerTables);
    CPPUNIT_TEST(unknownBaseAndOlderTablesAreRefused);
    CPPUNIT_TEST(historyBeyondLimitIsForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against fetches that can't be continued at another host.
    void hostsWithSameVersionsMakeSameBytes()
    {
        TablesOffer first(10, half);
        TablesOffer second(200, half);
        const auto piece = first.answer(makeRequest("a", 4), historyOf({ 4, 14 }), start).piece;
        const auto other = second.answer(makeRequest("a", 4, 14, piece.bytes.size()), historyOf({ 2, 4, 9, 14 }), start).piece;
        CPPUNIT_ASSERT(Kind::Piece == piece.kind);
        CPPUNIT_ASSERT(Kind::Piece == other.kind);
        CPPUNIT_ASSERT_EQUAL(TablesOffer::pieceBytes, piece.bytes.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(piece.bytes.size()), other.offset);
        CPPUNIT_ASSERT_EQUAL(piece.checksum, other.checksum);
        CPPUNIT_ASSERT_EQUAL(piece.totalBytes, other.totalBytes);
    }

    // Guards against a link that is full with tables for all hosts of a data centre at once.
    void hostsBeyondSlotsAreToldToAskAgain()
    {
        TablesOffer offer(10, half);
        const auto history = historyOf({ 4, 30 });
        for (std::size_t i = 0; i < TransferSlots::minSlots; ++i)
            CPPUNIT_ASSERT(Kind::Piece == offer.answer(makeRequest("host" + std::to_string(i), 4), history, start).piece.kind);
        const auto refused = offer.answer(makeRequest("late", 4), history, start).piece;
        CPPUNIT_ASSERT(Kind::Busy == refused.kind);
        CPPUNIT_ASSERT(refused.bytes.empty());
        CPPUNIT_ASSERT(milliseconds(refused.retryMs) >= TablesOffer::minRetry);
        CPPUNIT_ASSERT(milliseconds(refused.retryMs) <= 2 * TablesOffer::maxRetry);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), offer.counts().busy);
        CPPUNIT_ASSERT(Kind::Piece == offer.answer(makeRequest("host0", 4, 30, TablesOffer::pieceBytes), history, start).piece.kind);
    }

    // Guards against hosts that give up while their pieces are queued, and ask again, in a large data centre.
    void hostsThatWouldWaitForLongAreToldToAskAgain()
    {
        TablesOffer offer(10, half);
        const auto history = historyOf({ 4, 5 });
        std::size_t served = 0;
        for (int i = 0; i < 200; ++i) {
            const auto answer = offer.answer(makeRequest("host" + std::to_string(i), 4), history, start);
            CPPUNIT_ASSERT(answer.delay <= TablesOffer::maxBacklog);
            served += answer.piece.kind == Kind::Piece ? 1 : 0;
        }
        CPPUNIT_ASSERT(served > 10);
        CPPUNIT_ASSERT(served < 100);
        CPPUNIT_ASSERT(Kind::Piece == offer.answer(makeRequest("late", 4), history, start + TablesOffer::maxBacklog).piece.kind);
    }

    // Guards against hosts that are never served because others have stopped in the middle.
    void slotOfSilentHostExpires()
    {
        TransferSlots slots(10);
        for (std::size_t i = 0; i < slots.capacity(); ++i)
            CPPUNIT_ASSERT(slots.admit("host" + std::to_string(i), start));
        CPPUNIT_ASSERT(!slots.admit("late", start + TransferSlots::lifetime - milliseconds(1)));
        CPPUNIT_ASSERT(slots.admit("late", start + TransferSlots::lifetime));
    }

    // Guards against hosts that all wait for the one that has read the store.
    void hostThatHasFinishedIsNamedToOthers()
    {
        TablesOffer offer(10, half);
        const auto history = historyOf({ 4, 5, 30 });
        // One piece is enough for the update from 4 to 5 as long as 5 is the newest.
        CPPUNIT_ASSERT(Kind::Piece == offer.answer(makeRequest("done", 4), historyOf({ 4, 5 }), start).piece.kind);
        auto now = start;
        const auto first = offer.answer(makeRequest("soon", 5), history, now).piece;
        for (auto offset = std::uint64_t(first.bytes.size()); offset < first.totalBytes; offset += TablesOffer::pieceBytes)
            offer.answer(makeRequest("soon", 5, 30, offset), history, now);
        offer.answer(makeRequest("x", 5), history, now);
        offer.answer(makeRequest("y", 5), history, now);
        const auto refused = offer.answer(makeRequest("late", 5), history, now).piece;
        CPPUNIT_ASSERT(Kind::Busy == refused.kind);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), refused.holders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("soon"), refused.holders.front());
    }

    // Guards against answers of callers that wait behind tables.
    void piecesUseHalfOfLink()
    {
        TablesOffer offer(10, half);
        const auto history = historyOf({ 4, 30 });
        std::size_t sent = 0;
        auto now = start;
        while (now < start + std::chrono::seconds(2)) {
            const auto answer = offer.answer(makeRequest("a", 4), history, now);
            CPPUNIT_ASSERT(answer.delay <= milliseconds(60));
            now += answer.delay;
            sent += answer.piece.bytes.size();
        }
        // Half of 10 Mbit/s for 2 s, and a piece at each end.
        CPPUNIT_ASSERT(sent <= 1'250'000 + 2 * TablesOffer::pieceBytes);
        CPPUNIT_ASSERT(sent >= 1'100'000);
    }

    // Guards against fetches that begin anew with each change and never end.
    void updateThatWasBegunIsContinuedAfterNewerTables()
    {
        TablesOffer offer(10, half);
        const auto first = offer.answer(makeRequest("a", 4), historyOf({ 4, 14 }), start).piece;
        const auto second = offer.answer(makeRequest("a", 4, 14, first.bytes.size()), historyOf({ 4, 14, 15 }), start).piece;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(14), second.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(first.bytes.size()), second.offset);
        // A version that is no longer known begins anew.
        const auto third = offer.answer(makeRequest("a", 4, 13, 100), historyOf({ 4, 14, 15 }), start).piece;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(15), third.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), third.offset);
    }

    void unknownBaseAndOlderTablesAreRefused()
    {
        TablesOffer offer(10, half);
        CPPUNIT_ASSERT(Kind::UnknownBase == offer.answer(makeRequest("a", 3), historyOf({ 4, 14 }), start).piece.kind);
        CPPUNIT_ASSERT(Kind::Behind == offer.answer(makeRequest("a", 14), historyOf({ 4, 14 }), start).piece.kind);
        CPPUNIT_ASSERT(Kind::Behind == offer.answer(makeRequest("a", 0), {}, start).piece.kind);
        CPPUNIT_ASSERT(Kind::Piece == offer.answer(makeRequest("a", 0), historyOf({ 4, 14 }), start).piece.kind);
    }

    // Guards against memory that grows with each change.
    void historyBeyondLimitIsForgotten()
    {
        TablesHistory history;
        for (std::uint64_t i = 1; i <= TablesHistory::maxVersions + 1; ++i)
            history.add(makeTables(i));
        CPPUNIT_ASSERT(!history.find(1));
        CPPUNIT_ASSERT(history.find(2));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(TablesHistory::maxVersions + 1), history.newest());
    }
};

// Plays a fetch by hand. The current version of the host is 4 unless a test says otherwise.
class TablesFetchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TablesFetchTest);
    CPPUNIT_TEST(newsOfOlderTablesAreIgnored);
    CPPUNIT_TEST(fetchBeginsAfterDelay);
    CPPUNIT_TEST(updateIsFetchedPieceByPiece);
    CPPUNIT_TEST(fetchContinuesAtItsOffsetAtAnotherHost);
    CPPUNIT_TEST(busyHostIsAskedAgainAndItsHoldersBefore);
    CPPUNIT_TEST(wholeTablesAreFetchedOnlyIfNoHostKnowsTheBase);
    CPPUNIT_TEST(pieceOfOtherUpdateIsRefused);
    CPPUNIT_TEST(updateOverLimitIsRefused);
    CPPUNIT_TEST(bytesWithOtherChecksumAreRefused);
    CPPUNIT_TEST(storeIsReadIfNoHostAnswers);
    CPPUNIT_TEST(storeIsNotReadWhilePiecesArrive);
    CPPUNIT_TEST(storeThatIsBehindIsReadSeldom);
    CPPUNIT_TEST(tablesFromElsewhereEndTheFetch);
    CPPUNIT_TEST(rejectedUpdateIsFollowedByWholeTablesAndTheStore);
    CPPUNIT_TEST_SUITE_END();

public:
    void newsOfOlderTablesAreIgnored()
    {
        m_fetch.onNews("a", 4, 4, start, start);
        CPPUNIT_ASSERT(std::holds_alternative<TablesFetch::Idle>(m_fetch.next(4, start)));
    }

    // Guards against hosts that fetch what their own watch is about to bring.
    void fetchBeginsAfterDelay()
    {
        m_fetch.onNews("a", 9, 4, start + milliseconds(250), start);
        const auto step = m_fetch.next(4, start);
        CPPUNIT_ASSERT(std::get<TablesFetch::Wait>(step).until == start + milliseconds(250));
        CPPUNIT_ASSERT(std::holds_alternative<TablesFetch::Idle>(m_fetch.next(9, start + milliseconds(250))));
    }

    void updateIsFetchedPieceByPiece()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), ask(start).request.baseVersion);
        CPPUNIT_ASSERT(!m_fetch.onPiece("a", piece(4, 9, 0, 10), start));
        const auto next = ask(start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), next.request.version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), next.request.offset);
        const auto update = m_fetch.onPiece("a", piece(4, 9, 10, 20), start);
        CPPUNIT_ASSERT(update);
        CPPUNIT_ASSERT_EQUAL(content(), update->bytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), update->baseVersion);
    }

    // Guards against transfers that begin anew when a host fails.
    void fetchContinuesAtItsOffsetAtAnotherHost()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        m_fetch.onPiece("a", piece(4, 9, 0, 10), start);
        m_fetch.onNews("b", 9, 4, start, start);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), askFrom("a", start).ip);
        m_fetch.onFailure("a", start);
        const auto next = ask(start);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), next.ip);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), next.request.offset);
        CPPUNIT_ASSERT(m_fetch.onPiece("b", piece(4, 9, 10, 20), start));
    }

    void busyHostIsAskedAgainAndItsHoldersBefore()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        TablesPiece busy;
        busy.kind = Kind::Busy;
        busy.version = 9;
        busy.retryMs = 100;
        m_fetch.onPiece("a", busy, start);
        CPPUNIT_ASSERT(std::get<TablesFetch::Wait>(m_fetch.next(4, start)).until == start + milliseconds(100));
        busy.holders = { "c" };
        m_fetch.onPiece("a", busy, start);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), ask(start).ip);
    }

    // Guards against whole tables on the links because one host has restarted.
    void wholeTablesAreFetchedOnlyIfNoHostKnowsTheBase()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        m_fetch.onNews("b", 8, 4, start, start);
        TablesPiece unknown;
        unknown.kind = Kind::UnknownBase;
        CPPUNIT_ASSERT_EQUAL(std::string("a"), ask(start).ip);
        m_fetch.onPiece("a", unknown, start);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), ask(start).ip);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), ask(start).request.baseVersion);
        m_fetch.onPiece("b", unknown, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ask(start).request.baseVersion);
    }

    void pieceOfOtherUpdateIsRefused()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        m_fetch.onPiece("a", piece(4, 9, 0, 10), start);
        CPPUNIT_ASSERT(!m_fetch.onPiece("a", piece(4, 8, 10, 20), start));
        CPPUNIT_ASSERT(std::holds_alternative<TablesFetch::Wait>(m_fetch.next(4, start)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ask(start + TablesFetch::failureDelay).request.offset);
    }

    // Guards against an answer that exhausts the memory.
    void updateOverLimitIsRefused()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        auto large = piece(4, 9, 0, 10);
        large.totalBytes = TablesFetch::maxBytes + 1;
        CPPUNIT_ASSERT(!m_fetch.onPiece("a", large, start));
        CPPUNIT_ASSERT(std::holds_alternative<TablesFetch::Wait>(m_fetch.next(4, start)));
        auto tooMany = piece(4, 9, 0, 20);
        tooMany.totalBytes = 19;
        CPPUNIT_ASSERT(!m_fetch.onPiece("a", tooMany, start));
    }

    void bytesWithOtherChecksumAreRefused()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        auto broken = piece(4, 9, 0, 20);
        broken.bytes[3] = '?';
        CPPUNIT_ASSERT(!m_fetch.onPiece("a", broken, start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ask(start + TablesFetch::failureDelay).request.offset);
    }

    // Guards against a host without reachable peers that stays on old tables.
    void storeIsReadIfNoHostAnswers()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        auto now = start;
        while (!std::holds_alternative<TablesFetch::ReadStore>(m_fetch.next(4, now))) {
            CPPUNIT_ASSERT(now <= start + TablesFetch::maxPause);
            m_fetch.onFailure("a", now);
            now += milliseconds(10);
        }
        CPPUNIT_ASSERT(now >= start + TablesFetch::maxPause);
    }

    // Guards against hosts that read the store beside a fetch that is slow but goes on.
    void storeIsNotReadWhilePiecesArrive()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        auto now = start;
        for (std::size_t i = 0; i < 3; ++i) {
            now += TablesFetch::maxPause / 2;
            ask(now);
            m_fetch.onPiece("a", piece(4, 9, i, i + 1), now);
        }
        now = start + TablesFetch::maxDuration;
        CPPUNIT_ASSERT(std::holds_alternative<TablesFetch::ReadStore>(m_fetch.next(4, now)));
    }

    // Guards against a storm of reads of a store that was restored from an older copy.
    void storeThatIsBehindIsReadSeldom()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        int reads = 0;
        for (auto now = start; now < start + std::chrono::seconds(20); now += milliseconds(10)) {
            const auto step = m_fetch.next(4, now);
            if (std::holds_alternative<TablesFetch::Ask>(step))
                m_fetch.onFailure("a", now);
            if (!std::holds_alternative<TablesFetch::ReadStore>(step))
                continue;
            m_fetch.onStoreRead(now);
            ++reads;
        }
        CPPUNIT_ASSERT_EQUAL(5, reads);
    }

    // Guards against a fetch that goes on, or that brings older tables, after the host's own watch was faster.
    void tablesFromElsewhereEndTheFetch()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        m_fetch.onPiece("a", piece(4, 9, 0, 10), start);
        CPPUNIT_ASSERT(std::holds_alternative<TablesFetch::Idle>(m_fetch.next(9, start)));
        m_fetch.onNews("a", 10, 9, start, start);
        const auto next = std::get<TablesFetch::Ask>(m_fetch.next(9, start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), next.request.offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), next.request.baseVersion);
    }

    // Guards against a host that applies the same unfit update again and again.
    void rejectedUpdateIsFollowedByWholeTablesAndTheStore()
    {
        m_fetch.onNews("a", 9, 4, start, start);
        CPPUNIT_ASSERT(m_fetch.onPiece("a", piece(4, 9, 0, 20), start));
        m_fetch.onRejected();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ask(start).request.baseVersion);
        CPPUNIT_ASSERT(m_fetch.onPiece("a", piece(0, 9, 0, 20), start));
        m_fetch.onRejected();
        CPPUNIT_ASSERT(std::holds_alternative<TablesFetch::ReadStore>(m_fetch.next(4, start)));
    }

private:
    static std::string content() { return "01234567890123456789"; }

    // Returns the bytes from `begin` to `end` of the update between two versions.
    static TablesPiece piece(std::uint64_t base, std::uint64_t version, std::size_t begin, std::size_t end)
    {
        TablesPiece out;
        out.baseVersion = base;
        out.version = version;
        out.totalBytes = content().size();
        out.checksum = hash64(content());
        out.offset = begin;
        out.bytes = content().substr(begin, end - begin);
        return out;
    }

    // Expects the next step to be a request.
    TablesFetch::Ask ask(TimePoint now)
    {
        const auto step = m_fetch.next(4, now);
        CPPUNIT_ASSERT(std::holds_alternative<TablesFetch::Ask>(step));
        return std::get<TablesFetch::Ask>(step);
    }

    // The same, repeated until it is to this host.
    TablesFetch::Ask askFrom(const std::string& ip, TimePoint now)
    {
        auto out = ask(now);
        for (int i = 0; i < 20 && out.ip != ip; ++i)
            out = ask(now);
        return out;
    }

    TablesFetch m_fetch { half };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesCodecTest);
CPPUNIT_TEST_SUITE_REGISTRATION(TablesOfferTest);
CPPUNIT_TEST_SUITE_REGISTRATION(TablesFetchTest);

}
