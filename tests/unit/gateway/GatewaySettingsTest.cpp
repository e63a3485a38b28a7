#include "chiveshelf/gateway/GatewaySettings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using namespace chiveshelf;

// The flags of `chiveshelfd gateway`.
class GatewaySettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewaySettingsTest);
    CPPUNIT_TEST(withoutFlagDisablesOnlyNamedMechanisms);
    CPPUNIT_TEST(everyMechanismNameIsParsed);
    CPPUNIT_TEST(unknownMechanismIsRejectedWithListOfNames);
    CPPUNIT_TEST(linkAndProcessorAreRead);
    CPPUNIT_TEST(unknownLinkAndProcessorHaveDefaults);
    CPPUNIT_TEST(warmUpAllowanceIsReadOnlyWhereItIsGiven);
    CPPUNIT_TEST(memoryIsReadAndHasDefault);
    CPPUNIT_TEST(limitsOfCallersAreRead);
    CPPUNIT_TEST(capacityIsLearnedOnlyIfStated);
    CPPUNIT_TEST(sharingOfFailuresIsOffUnlessSetToTrue);
    CPPUNIT_TEST_SUITE_END();

public:
    void withoutFlagDisablesOnlyNamedMechanisms()
    {
        const auto settings = read("--without=homes,stream-separation");
        CPPUNIT_ASSERT(!settings.mechanisms.has(Mechanism::PreferredRunners));
        CPPUNIT_ASSERT(!settings.mechanisms.has(Mechanism::StreamSeparation));
        CPPUNIT_ASSERT(settings.mechanisms.has(Mechanism::StoreSaves));
        CPPUNIT_ASSERT(settings.mechanisms.has(Mechanism::PromptNotices));
    }

    void everyMechanismNameIsParsed()
    {
        for (const auto name : mechanismNames) {
            const auto mechanism = parseMechanism(name);
            CPPUNIT_ASSERT(mechanism);
            CPPUNIT_ASSERT(name == mechanismNames.at(static_cast<std::size_t>(*mechanism)));
        }
    }

    // Guards against measurements without a mechanism that is in fact still enabled because its name was misspelt.
    void unknownMechanismIsRejectedWithListOfNames()
    {
        const auto problems = parse("--without=homes,hoems");
        CPPUNIT_ASSERT(std::any_of(problems.begin(), problems.end(), [](const std::string& problem) {
            return problem.find("without") != std::string::npos && problem.find(listMechanismNames()) != std::string::npos;
        }));
    }

    void linkAndProcessorAreRead()
    {
        CPPUNIT_ASSERT_EQUAL(10.5, read("--link-mbps=10.5").linkMbps);
        CPPUNIT_ASSERT_EQUAL(0.12, read("--cpu-share=0.12").cpuShare);
        CPPUNIT_ASSERT(!parse("--link-mbps=-1").empty());
        CPPUNIT_ASSERT(!parse("--cpu-share=fast").empty());
    }

    // Guards against deployments without such a bound that are limited, and against half a bound.
    void warmUpAllowanceIsReadOnlyWhereItIsGiven()
    {
        CPPUNIT_ASSERT(!read("--cold-over=").warmUpAllowance);
        CPPUNIT_ASSERT_EQUAL(20.0, read("--cold-over=1.5", "--cold-slack=5").warmUpAllowance->of(10));
        auto problems = parse("--cold-over=", "--cold-slack=5");
        CPPUNIT_ASSERT(problems.empty());
        readGatewaySettings(m_options, problems);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), problems.size());
        CPPUNIT_ASSERT(!parse("--cold-over=much").empty());
    }

    // Guards against a host that doesn't send anything because its speed is unknown.
    void unknownLinkAndProcessorHaveDefaults()
    {
        CPPUNIT_ASSERT_EQUAL(GatewaySettings().linkMbps, read("--link-mbps=0").linkMbps);
        CPPUNIT_ASSERT_EQUAL(GatewaySettings().cpuShare, read("--cpu-share=0").cpuShare);
    }

    // Guards against a host without any memory for callers because the deployment doesn't state it.
    void memoryIsReadAndHasDefault()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(88), read("--memory-mb=88").memoryMb);
        CPPUNIT_ASSERT_EQUAL(GatewaySettings().memoryMb, read("--memory-mb=0").memoryMb);
        CPPUNIT_ASSERT_EQUAL(GatewaySettings().memoryMb, read("--memory-mb=").memoryMb);
        CPPUNIT_ASSERT(!parse("--memory-mb=much").empty());
        CPPUNIT_ASSERT(!parse("--memory-mb=-1").empty());
    }

    void limitsOfCallersAreRead()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(3 * 1024 * 1024), read("--body-memory-mb=3").bodyMemoryBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8 * 1024), read("--slow-body-kb-s=8").slowBodyBytesPerSecond);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), read("--most-callers=100").maxCallers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(16 * 1024), read("--receive-buffer-kb=16").receiveBufferBytes);
        CPPUNIT_ASSERT(!parse("--receive-buffer-kb=0").empty());
    }

    // Deployment files pass an empty value where they don't state one.
    void capacityIsLearnedOnlyIfStated()
    {
        CPPUNIT_ASSERT(!read("--log-level=info").learnsCapacity);
        CPPUNIT_ASSERT(!read("--learn-capacity=").learnsCapacity);
        CPPUNIT_ASSERT(read("--learn-capacity=true").learnsCapacity);
        CPPUNIT_ASSERT(!parse("--learn-capacity=yes").empty());
    }

    // Guards against a deployment without the value, in whose template it expands to nothing.
    void sharingOfFailuresIsOffUnlessSetToTrue()
    {
        CPPUNIT_ASSERT(!read("--link-mbps=1").isFailureSharing);
        CPPUNIT_ASSERT(!read("--share-failures=").isFailureSharing);
        CPPUNIT_ASSERT(!read("--share-failures=false").isFailureSharing);
        CPPUNIT_ASSERT(read("--share-failures=true").isFailureSharing);
        CPPUNIT_ASSERT(!parse("--share-failures=yes").empty());
    }

private:
    template <typename... Flags>
    std::vector<std::string> parse(const Flags&... flags)
    {
        std::vector<std::string> arguments { "chiveshelfd", "--host-name=h", "--data-centre=d", "--listen=127.0.0.1:1", "--admin-listen=127.0.0.1:2",
            "--peer-listen=127.0.0.1:3", "--store=127.0.0.1:4", flags... };
        std::vector<char*> pointers;
        for (auto& argument : arguments)
            pointers.push_back(argument.data());
        return m_options.parse(static_cast<int>(pointers.size()), pointers.data());
    }

    template <typename... Flags>
    GatewaySettings read(const Flags&... flags)
    {
        auto problems = parse(flags...);
        CPPUNIT_ASSERT(problems.empty());
        return readGatewaySettings(m_options, problems);
    }

    OptionSet m_options = makeGatewayOptions();
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);

}
