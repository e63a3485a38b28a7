#include "chiveshelf/core/Hash.h"
#include "chiveshelf/gateway/ServingState.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <random>

namespace {

using namespace chiveshelf;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// The time that a host needs after a start, a cut or a stall until the time limit of versions applies to it.
constexpr milliseconds settleTime { 3'000 };
constexpr milliseconds stepTime { 50 };

// A host that follows the key-value store by full reads and watches.
struct Host {
    std::unique_ptr<ServingState> state;
    nanoseconds disturbedUntil { 0 };
    nanoseconds cutUntil { 0 };
    nanoseconds stalledUntil { 0 };
    nanoseconds lastAnswer { 0 };
    std::uint64_t knownVersion = 0;
    bool mustRead = true;
};

// The age of a version on its way from one host to another.
struct AgeInTransit {
    std::size_t to = 0;
    nanoseconds arrival { 0 };
    std::uint64_t version = 0;
    milliseconds age { 0 };
};

// A fleet in virtual time in which versions are announced while hosts start, stall and are cut from the store, and the store fails.
class VersionKnowledgeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(VersionKnowledgeTest);
    CPPUNIT_TEST(weightsAreNotUsedBeyondTheLimitOfTheVersionThatReplacedThem);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against any order of announcements, outages, starts and notices in which a host takes the time limit of a later version
    // for that of one that it missed, and against hosts in contact that give up weights too early.
    void weightsAreNotUsedBeyondTheLimitOfTheVersionThatReplacedThem()
    {
        for (unsigned seed = 1; seed <= 100; ++seed)
            play(seed);
        CPPUNIT_ASSERT_MESSAGE("hardly anything was checked", m_checks > 100'000);
    }

private:
    void play(unsigned seed)
    {
        m_random.seed(seed);
        m_announcedAt = { nanoseconds(0) };
        m_inTransit.clear();
        m_outageEnd = nanoseconds(0);
        m_now = seconds(100);
        for (auto& host : m_hosts)
            start(host);
        const auto end = m_now + seconds(60);
        for (; m_now < end; m_now += stepTime) {
            disturb();
            for (auto& host : m_hosts)
                follow(host);
            exchangeAges();
            for (const auto& host : m_hosts)
                check(host, seed);
        }
    }

    bool happens(double perSecond)
    {
        return std::bernoulli_distribution(perSecond * std::chrono::duration<double>(stepTime).count())(m_random);
    }

    nanoseconds timeWithin(milliseconds min, milliseconds max)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(m_random));
    }

    std::uint64_t newest() const { return m_announcedAt.size(); }

    void start(Host& host)
    {
        host = Host {};
        host.state = std::make_unique<ServingState>(m_settings);
        host.disturbedUntil = m_now;
    }

    void disturb()
    {
        const bool isOut = m_now < m_outageEnd;
        if (!isOut && happens(0.4))
            m_announcedAt.push_back(m_now);
        if (!isOut && happens(0.06))
            m_outageEnd = m_now + timeWithin(milliseconds(500), milliseconds(6'000));
        for (auto& host : m_hosts) {
            if (happens(0.04))
                start(host);
            if (happens(0.04))
                host.cutUntil = m_now + timeWithin(milliseconds(500), milliseconds(8'000));
            if (happens(0.03))
                host.stalledUntil = m_now + timeWithin(milliseconds(1'200), milliseconds(5'000));
        }
    }

    void follow(Host& host)
    {
        if (m_now < host.stalledUntil) {
            host.disturbedUntil = m_now;
            return;
        }
        auto& contact = host.state->contactHistory();
        contact.tick(m_now);
        if (m_now < host.cutUntil || m_now < m_outageEnd) {
            contact.onFailure();
            host.mustRead = true;
            host.disturbedUntil = m_now;
            return;
        }
        const bool hasNews = host.knownVersion < newest();
        if (!host.mustRead && !hasNews && m_now - host.lastAnswer < milliseconds(400))
            return;
        contact.onAnswer(m_now);
        host.lastAnswer = m_now;
        const auto delivery = host.mustRead ? VersionDelivery::NewestOnly : VersionDelivery::EachChange;
        const auto first = host.mustRead ? newest() : host.knownVersion + 1;
        for (auto version = first; version <= newest(); ++version)
            host.state->acceptVersion({ "m", version }, m_now, delivery);
        host.knownVersion = newest();
        host.mustRead = false;
    }

    // Sends some of the times that hosts know exactly. Any may be left out: notices are lost, and have room for few versions.
    void exchangeAges()
    {
        for (const auto& host : m_hosts) {
            if (m_now < host.stalledUntil || !happens(6) || host.state->versions().empty())
                continue;
            for (const auto& [version, announced] : host.state->versions().at("m").versions()) {
                const auto age = std::chrono::duration_cast<milliseconds>(m_now - announced.since);
                for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                    if (!announced.isEstimate && age < seconds(20) && happens(12))
                        m_inTransit.push_back({ to, m_now + timeWithin(milliseconds(0), milliseconds(200)), version, age });
                }
            }
        }
        std::erase_if(m_inTransit, [this](const AgeInTransit& message) {
            if (message.arrival > m_now)
                return false;
            const auto& host = m_hosts.at(message.to);
            if (m_now >= host.stalledUntil)
                host.state->acceptVersionAge(hash64("m"), message.version, message.age, m_now);
            return true;
        });
    }

    void check(const Host& host, unsigned seed)
    {
        if (m_now < host.disturbedUntil + settleTime || m_now < host.stalledUntil)
            return;
        const auto required = host.state->requiredVersion("m", m_now);
        // The weights of the newest version that any runner may be left on.
        for (std::uint64_t weights = 1; weights < newest(); ++weights) {
            const auto replacedFor = m_now - m_announcedAt.at(weights);
            ++m_checks;
            if (replacedFor > m_settings.versionLimit)
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": expired weights are used", weights < required);
        }
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": the newest weights are refused", required <= newest());
        const bool isCalm = m_now > host.disturbedUntil + seconds(20);
        if (isCalm && newest() > 1 && m_now - m_announcedAt.back() < milliseconds(4'000) && m_announcedAt.back() > host.disturbedUntil)
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": weights are refused early", required < newest());
    }

    GatewaySettings m_settings;
    std::mt19937 m_random;
    std::array<Host, 4> m_hosts;
    // When each version was announced, from version 1 on.
    std::vector<nanoseconds> m_announcedAt;
    std::vector<AgeInTransit> m_inTransit;
    nanoseconds m_outageEnd { 0 };
    nanoseconds m_now { 0 };
    std::size_t m_checks = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionKnowledgeTest);

}
