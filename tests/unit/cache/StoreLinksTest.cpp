#include "chiveshelf/cache/StoreLinks.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using chiveshelf::Address;
using chiveshelf::StoreLinks;
using std::chrono::milliseconds;

class StoreLinksTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreLinksTest);
    CPPUNIT_TEST(consecutiveFailuresLengthenLinkPauseUntilSuccess);
    CPPUNIT_TEST(fullStorePausesExportsOnly);
    CPPUNIT_TEST(importInFlightBlocksExports);
    CPPUNIT_TEST(slowExportPausesExportsOnSharedLink);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an unreachable store that delays each request by a look-up timeout.
    void consecutiveFailuresLengthenLinkPauseUntilSuccess()
    {
        m_links.recordFailure(m_store, m_now);
        CPPUNIT_ASSERT(!m_links.isUsable(m_store, m_now + milliseconds(249)));
        CPPUNIT_ASSERT(m_links.isUsable(m_store, m_now + milliseconds(250)));
        m_links.recordFailure(m_store, m_now);
        CPPUNIT_ASSERT(!m_links.isUsable(m_store, m_now + milliseconds(499)));
        m_links.recordSuccess(m_store);
        m_links.recordFailure(m_store, m_now);
        CPPUNIT_ASSERT(m_links.isUsable(m_store, m_now + milliseconds(250)));
        for (int i = 0; i < 100; ++i)
            m_links.recordFailure(m_store, m_now);
        CPPUNIT_ASSERT(m_links.isUsable(m_store, m_now + milliseconds(8'000)));
    }

    // Guards against a pause for a full store that also stops look-ups and imports of its blocks.
    void fullStorePausesExportsOnly()
    {
        m_links.recordFull(m_store, m_now);
        CPPUNIT_ASSERT(m_links.isUsable(m_store, m_now));
        CPPUNIT_ASSERT(!m_links.isIdle(m_store, m_now));
        CPPUNIT_ASSERT(m_links.isIdle(m_store, m_now + milliseconds(2'000)));
    }

    // Guards against exports that use the link's bandwidth while a caller waits for an import.
    void importInFlightBlocksExports()
    {
        auto import = m_links.beginImport(m_store);
        CPPUNIT_ASSERT(!m_links.isIdle(m_store, m_now));
        import.reset();
        const auto slot = m_links.beginExport(m_store);
        CPPUNIT_ASSERT_MESSAGE("second export on one link", !m_links.isIdle(m_store, m_now));
    }

    // Guards against exports of many hosts that together saturate a link.
    void slowExportPausesExportsOnSharedLink()
    {
        m_links.recordExport(m_store, 1'000, milliseconds(10), m_now);
        CPPUNIT_ASSERT(m_links.isIdle(m_store, m_now));
        m_links.recordExport(m_store, 1'000, milliseconds(50), m_now);
        CPPUNIT_ASSERT(!m_links.isIdle(m_store, m_now + milliseconds(199)));
        CPPUNIT_ASSERT(m_links.isIdle(m_store, m_now + milliseconds(200)));
        // After enough exports on a slower link the best speed has decayed, and the link no longer counts as shared.
        for (int i = 0; i < 20; ++i)
            m_links.recordExport(m_store, 1'000, milliseconds(50), m_now);
        CPPUNIT_ASSERT(m_links.isIdle(m_store, m_now + milliseconds(200)));
        m_links.recordExport(m_store, 1'000, milliseconds(50), m_now + milliseconds(300));
        CPPUNIT_ASSERT(m_links.isIdle(m_store, m_now + milliseconds(300)));
    }

private:
    Address m_store { "127.0.0.1", 8000 };
    StoreLinks m_links;
    StoreLinks::Clock::time_point m_now = StoreLinks::Clock::now();
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreLinksTest);

}
