#include "StreamFleetFixture.h"

namespace {

// All hosts are lost at once while runners of two software versions serve.
class FleetLossTest : public fakeplatform::StreamFleetFixture {
    CPPUNIT_TEST_SUITE(FleetLossTest);
    CPPUNIT_TEST(takeUpAfterLossOfAllHostsGoesOnAtItsVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing streams that a runner of their version could finish.
    void takeUpAfterLossOfAllHostsGoesOnAtItsVersion()
    {
        startMixedFleet();
        const auto begun = beginStreams(0);
        runFor(std::chrono::milliseconds(500));
        restartFleet();
        for (const auto& [id, version] : begun)
            expectTakenUp(1, "b" + id, id, version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLossTest);

}
