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

    // Guards against a host that doesn't send anything because its speed is unknown.
    void unknownLinkAndProcessorHaveDefaults()
    {
        CPPUNIT_ASSERT_EQUAL(GatewaySettings().linkMbps, read("--link-mbps=0").linkMbps);
        CPPUNIT_ASSERT_EQUAL(GatewaySettings().cpuShare, read("--cpu-share=0").cpuShare);
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
    std::vector<std::string> parse(const std::string& flag)
    {
        std::vector<std::string> arguments { "chiveshelfd", "--host-name=h", "--data-centre=d", "--listen=127.0.0.1:1", "--admin-listen=127.0.0.1:2",
            "--peer-listen=127.0.0.1:3", "--store=127.0.0.1:4", flag };
        std::vector<char*> pointers;
        for (auto& argument : arguments)
            pointers.push_back(argument.data());
        return m_options.parse(static_cast<int>(pointers.size()), pointers.data());
    }

    GatewaySettings read(const std::string& flag)
    {
        auto problems = parse(flag);
        CPPUNIT_ASSERT(problems.empty());
        return readGatewaySettings(m_options, problems);
    }

    OptionSet m_options = makeGatewayOptions();
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);

}
