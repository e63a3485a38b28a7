#include "chiveshelf/gateway/EventCursor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using chiveshelf::EventCursor;

// Pieces of a stream of events, as a host receives them.
class EventCursorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventCursorTest);
    CPPUNIT_TEST(eventsCutAtAnyByteAreReleasedWhole);
    CPPUNIT_TEST(incompleteEventIsHeldBack);
    CPPUNIT_TEST(eventWithoutEndInSmallPiecesTakesLittleTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a boundary that is missed because it lies in two pieces.
    void eventsCutAtAnyByteAreReleasedWhole()
    {
        for (const std::string text : { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n" }) {
            for (std::size_t step = 1; step <= text.size(); ++step) {
                EventCursor cursor;
                std::string out;
                for (std::size_t i = 0; i < text.size(); i += step) {
                    const auto released = cursor.take(std::string_view(text).substr(i, step));
                    CPPUNIT_ASSERT(released.empty() || released.ends_with("\n"));
                    out += released;
                }
                CPPUNIT_ASSERT_EQUAL(text, out);
                CPPUNIT_ASSERT_EQUAL(std::string("2"), cursor.lastId());
            }
        }
    }

    // Guards against passing on the start of an event that another runner sends again.
    void incompleteEventIsHeldBack()
    {
        EventCursor cursor;
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\n\n"), cursor.take("id: 1\n\nid: 2\n"));
        CPPUNIT_ASSERT_EQUAL(std::string(), cursor.take("data: b\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), cursor.lastId());
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), cursor.take("\n"));
    }

    // Guards against searching all bytes of an event for its end again with each piece, during which a host does nothing else.
    void eventWithoutEndInSmallPiecesTakesLittleTime()
    {
        const std::string piece(16, 'a');
        const auto start = std::chrono::steady_clock::now();
        EventCursor cursor;
        while (!cursor.isPartialTooLong())
            cursor.take(piece);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(300));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventCursorTest);

}
