#include "chiveshelf/idempotency/Shard.h"
#include "chiveshelf/idempotency/IdempotentRequestStateMachine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using Event = IdempotentRequestEvent;

class ShardTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardTest);
    CPPUNIT_TEST(claimOfClaimedKeyIsGrantedToOwningAttemptOnly);
    CPPUNIT_TEST(claimOfCompletedKeyReturnsRecordedOutcome);
    CPPUNIT_TEST(claimWithOtherFingerprintReturnsKeyReused);
    CPPUNIT_TEST(claimOfSameKeyByOtherOrganisationIsGranted);
    CPPUNIT_TEST(claimAfterAbandonedAttemptIsGrantedToOtherAttemptsOnly);
    CPPUNIT_TEST(claimAfterUnknownResultIsNotGranted);
    CPPUNIT_TEST(completionByOtherAttemptIsIgnored);
    CPPUNIT_TEST(recordOlderThanRetentionIsPruned);
    CPPUNIT_TEST(claimInFullShardIsRefusedWhileCompletionsFit);
    CPPUNIT_TEST(parsedShardMatchesSerializedShardAndOtherFormatsAreRejected);
    CPPUNIT_TEST(stateMachineReachesRunningOnlyAfterGrantedClaim);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run by another attempt, and against refusing a claim that is repeated because its reply was lost.
    void claimOfClaimedKeyIsGrantedToOwningAttemptOnly()
    {
        Shard shard;
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Granted);
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Granted);
        CPPUNIT_ASSERT(claim(shard, "b") == ClaimState::InProgress);
        CPPUNIT_ASSERT(claim(shard, "b", "key", "f", "org", m_now + std::chrono::seconds(301)) == ClaimState::Unknown);
    }

    // Guards against running a retry although its outcome is recorded.
    void claimOfCompletedKeyReturnsRecordedOutcome()
    {
        Shard shard;
        claim(shard, "a");
        finishAttempt(shard, "a", AttemptResult::Completed, "done");
        const auto reply = shard.claim({ "org", "key", "b", "f" }, m_now);
        CPPUNIT_ASSERT(reply->state == ClaimState::Completed && reply->outcome.body == "done");
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Completed);
    }

    // Guards against answering a request with the outcome of another request that used the same key.
    void claimWithOtherFingerprintReturnsKeyReused()
    {
        Shard shard;
        claim(shard, "a");
        CPPUNIT_ASSERT(claim(shard, "b", "key", "g") == ClaimState::KeyReused);
        finishAttempt(shard, "a", AttemptResult::Completed, "done");
        CPPUNIT_ASSERT(claim(shard, "b", "key", "g") == ClaimState::KeyReused);
    }

    // Guards against answering one organisation with the outcome of another.
    void claimOfSameKeyByOtherOrganisationIsGranted()
    {
        Shard shard;
        claim(shard, "a");
        finishAttempt(shard, "a", AttemptResult::Completed, "done");
        CPPUNIT_ASSERT(claim(shard, "b", "key", "f", "org-2") == ClaimState::Granted);
    }

    // Guards against a key that stays claimed after an attempt that did not run, and against granting a late claim of that attempt.
    void claimAfterAbandonedAttemptIsGrantedToOtherAttemptsOnly()
    {
        Shard shard;
        finishAttempt(shard, "a", AttemptResult::Abandoned);
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Withdrawn);
        CPPUNIT_ASSERT(claim(shard, "b") == ClaimState::Granted);
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::InProgress);
    }

    // Guards against a second run after an attempt whose outcome is unknown.
    void claimAfterUnknownResultIsNotGranted()
    {
        Shard shard;
        claim(shard, "a");
        finishAttempt(shard, "a", AttemptResult::Unknown);
        CPPUNIT_ASSERT(claim(shard, "b") == ClaimState::Unknown);
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Unknown);
    }

    // Guards against a late or reordered completion that releases or overwrites the claim of another attempt.
    void completionByOtherAttemptIsIgnored()
    {
        Shard shard;
        claim(shard, "a");
        finishAttempt(shard, "b", AttemptResult::Abandoned);
        CPPUNIT_ASSERT(claim(shard, "c") == ClaimState::InProgress);
        finishAttempt(shard, "a", AttemptResult::Completed, "done");
        finishAttempt(shard, "a", AttemptResult::Abandoned);
        CPPUNIT_ASSERT(claim(shard, "c") == ClaimState::Completed);
    }

    // Guards against records that are never removed or removed too early.
    void recordOlderThanRetentionIsPruned()
    {
        Shard shard;
        claim(shard, "a");
        shard.prune(m_now + std::chrono::hours(24));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shard.recordCount());
        shard.prune(m_now + std::chrono::hours(24) + std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), shard.recordCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), shard.bytes());
    }

    // Guards against a value above the platform's limit of 1 MB, and against granted claims that cannot be completed.
    void claimInFullShardIsRefusedWhileCompletionsFit()
    {
        Shard shard;
        int granted = 0;
        while (shard.claim({ "org", std::to_string(granted), "a", "f" }, m_now))
            ++granted;
        const auto refused = shard.claim({ "org", "one-more", "a", "f" }, m_now);
        CPPUNIT_ASSERT(refused.error().code == ErrorCode::Overloaded && refused.error().verdict == Verdict::NotRun);
        CPPUNIT_ASSERT(refused.error().retryAfter.has_value());
        for (int i = 0; i < granted; ++i)
            shard.complete({ "org", std::to_string(i), "a", "f", AttemptResult::Completed, { 200, "text/plain", std::string(10'000, 'x'), true } }, m_now);
        CPPUNIT_ASSERT(shard.serialize().size() < 1'048'576);
        CPPUNIT_ASSERT(shard.claim({ "org", std::to_string(granted - 1), "b", "f" }, m_now)->state == ClaimState::Completed);
        CPPUNIT_ASSERT(!shard.claim({ "org", std::to_string(granted - 1), "b", "f" }, m_now)->outcome.isBodyStored);
    }

    // Guards against records that change when stored, and against parsing a value of another format as an empty shard.
    void parsedShardMatchesSerializedShardAndOtherFormatsAreRejected()
    {
        Shard shard;
        claim(shard, "a");
        finishAttempt(shard, "a", AttemptResult::Completed, "done");
        auto copy = Shard::parse(shard.serialize(), {});
        CPPUNIT_ASSERT(copy && !copy->hasChanged());
        CPPUNIT_ASSERT_EQUAL(shard.bytes(), copy->bytes());
        CPPUNIT_ASSERT(claim(*copy, "b") == ClaimState::Completed);
        CPPUNIT_ASSERT(!Shard::parse("not a shard", {}));
        CPPUNIT_ASSERT(!Shard::parse(shard.serialize().substr(0, 20), {}));
    }

    // Guards against sending a request to a runner without a granted claim, and against ending an attempt twice.
    void stateMachineReachesRunningOnlyAfterGrantedClaim()
    {
        IdempotentRequestStateMachine machine;
        for (const auto event : { Event::ClaimGranted, Event::OutcomeReceived, Event::NotRun, Event::OutcomeLost })
            CPPUNIT_ASSERT(!machine.process(event));
        CPPUNIT_ASSERT(machine.process(Event::ClaimSent));
        CPPUNIT_ASSERT(!machine.process(Event::OutcomeReceived));
        CPPUNIT_ASSERT(machine.process(Event::ClaimGranted));
        CPPUNIT_ASSERT(machine.state() == IdempotentRequestState::Running);
        CPPUNIT_ASSERT(machine.process(Event::NotRun));
        CPPUNIT_ASSERT(machine.state() == IdempotentRequestState::Abandoned);
        for (const auto event : { Event::ClaimSent, Event::ClaimGranted, Event::OutcomeReceived, Event::OutcomeLost })
            CPPUNIT_ASSERT(!machine.process(event));
    }

private:
    ClaimState claim(Shard& shard, const std::string& attempt, const std::string& key = "key", const std::string& fingerprint = "f",
        const std::string& organisation = "org", std::optional<Shard::Time> now = std::nullopt) const
    {
        return shard.claim({ organisation, key, attempt, fingerprint }, now.value_or(m_now))->state;
    }

    void finishAttempt(Shard& shard, const std::string& attempt, AttemptResult result, const std::string& body = {}) const
    {
        shard.complete({ "org", "key", attempt, "f", result, { 200, "text/plain", body, true } }, m_now);
    }

    const Shard::Time m_now { std::chrono::seconds(1'700'000'000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardTest);

}
