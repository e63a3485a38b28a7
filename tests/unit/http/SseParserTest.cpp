#include "chiveshelf/http/SseParser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using chiveshelf::http::SseParser;

class SseParserTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SseParserTest);
    CPPUNIT_TEST(eventsCutAtAnyByteAreFound);
    CPPUNIT_TEST(eventWithoutEndInSmallPiecesTakesLittleTime);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a boundary that is missed because it lies in two pieces.
    void eventsCutAtAnyByteAreFound()
    {
        const std::string text = "data: a\n\n: comment\n\ndata: b\ndata: c\n\n";
        for (std::size_t step = 1; step <= text.size(); ++step) {
            SseParser parser;
            std::string out;
            for (std::size_t i = 0; i < text.size(); i += step) {
                parser.append(std::string_view(text).substr(i, step));
                while (const auto data = parser.next())
                    out += "[" + *data + "]";
            }
            CPPUNIT_ASSERT_EQUAL(std::string("[a][b\nc]"), out);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), parser.pendingBytes());
        }
    }

    // Guards against searching all bytes of an event for its end again with each piece, during which a host does nothing else.
    void eventWithoutEndInSmallPiecesTakesLittleTime()
    {
        const std::string piece(16, 'a');
        const auto start = std::chrono::steady_clock::now();
        SseParser parser;
        while (parser.pendingBytes() < 1'024 * 1'024) {
            parser.append(piece);
            CPPUNIT_ASSERT(!parser.next());
        }
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(300));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SseParserTest);

}
