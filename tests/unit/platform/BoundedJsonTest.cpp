#include "platform/BoundedJson.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace {

using chiveshelf::platform::maxJsonValues;
using chiveshelf::platform::parseBounded;

class BoundedJsonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BoundedJsonTest);
    CPPUNIT_TEST(textOfTooManyValuesIsDiscarded);
    CPPUNIT_TEST(structuralCharactersInStringsAreNotCounted);
    CPPUNIT_TEST(malformedTextIsDiscarded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a text whose values take seventy times as much memory as its bytes.
    void textOfTooManyValuesIsDiscarded()
    {
        std::string flat = "[1";
        for (std::size_t i = 0; i + 3 < maxJsonValues; ++i)
            flat += ",1";
        CPPUNIT_ASSERT(parseBounded(flat + "]").is_array());
        CPPUNIT_ASSERT(parseBounded(flat + ",1,1]").is_discarded());
        const std::string open(maxJsonValues, '[');
        CPPUNIT_ASSERT(parseBounded(open + std::string(maxJsonValues, ']')).is_discarded());
    }

    // Guards against refusing an item with a long text, such as the tables.
    void structuralCharactersInStringsAreNotCounted()
    {
        const std::string text(maxJsonValues + 1, ',');
        CPPUNIT_ASSERT_EQUAL(text, parseBounded("[\"" + text + "\"]")[0].get<std::string>());
        CPPUNIT_ASSERT_EQUAL("\"" + text, parseBounded("[\"\\\"" + text + "\"]")[0].get<std::string>());
    }

    void malformedTextIsDiscarded()
    {
        for (const auto* text : { "", "[", "{\"a\":", "x" })
            CPPUNIT_ASSERT(parseBounded(text).is_discarded());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedJsonTest);

}
