#include "chiveshelf/core/Address.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using chiveshelf::Address;
using chiveshelf::parseAddress;

class AddressTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AddressTest);
    CPPUNIT_TEST(parseWithNumericIpReturnsAddress);
    CPPUNIT_TEST(parseWithHostNameFails);
    CPPUNIT_TEST(parseWithPortOutOfRangeFails);
    CPPUNIT_TEST_SUITE_END();

public:
    void parseWithNumericIpReturnsAddress()
    {
        CPPUNIT_ASSERT((Address { "127.0.0.1", 80 }) == *parseAddress("127.0.0.1:80"));
        CPPUNIT_ASSERT((Address { "::1", 80 }) == *parseAddress("[::1]:80"));
    }

    // Guards against name resolution at run time: only numeric IP addresses are allowed.
    void parseWithHostNameFails()
    {
        CPPUNIT_ASSERT(!parseAddress("localhost:80"));
    }

    // Guards against a port number that overflows and wraps around.
    void parseWithPortOutOfRangeFails()
    {
        CPPUNIT_ASSERT(!parseAddress("127.0.0.1:65536"));
        CPPUNIT_ASSERT(!parseAddress("127.0.0.1:-1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressTest);

}
