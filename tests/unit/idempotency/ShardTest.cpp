#include "chiveshelf/idempotency/Shard.h"
#include "chiveshelf/idempotency/IdempotentRequestStateMachine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace chiveshelf;
using Event = IdempotentRequestEvent;

class ShardTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ShardTest);
    CPPUNIT_TEST(claimOfClaimedKeyIsGrantedToItsOwnAttemptOnly);
    CPPUNIT_TEST(claimOfCompletedKeyReturnsItsOutcome);
    CPPUNIT_TEST(claimWithAnotherBodyIsKeyReused);
    CPPUNIT_TEST(claimOfAnotherOrganisationIsSeparate);
    CPPUNIT_TEST(claimAfterAbandonedAttemptIsGrantedButNotToThatAttempt);
    CPPUNIT_TEST(claimWithUnknownEndIsNeverGranted);
    CPPUNIT_TEST(completionOfAnotherAttemptChangesNothing);
    CPPUNIT_TEST(recordOlderThanRetentionIsPruned);
    CPPUNIT_TEST(claimInFullShardIsRefusedAndCompletionStillFits);
    CPPUNIT_TEST(storedValueIsReadBackAndOtherFormatsAreRefused);
    CPPUNIT_TEST(onlyGrantedClaimLeadsToRunning);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run by another attempt, and against a refusal of the claim whose reply was lost.
    void claimOfClaimedKeyIsGrantedToItsOwnAttemptOnly()
    {
        Shard shard;
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Granted);
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Granted);
        CPPUNIT_ASSERT(claim(shard, "b") == ClaimState::InProgress);
        CPPUNIT_ASSERT(claim(shard, "b", "key", "f", "org", m_now + std::chrono::seconds(301)) == ClaimState::Unknown);
    }

    // Guards against a retry that runs again although the outcome is known.
    void claimOfCompletedKeyReturnsItsOutcome()
    {
        Shard shard;
        claim(shard, "a");
        end(shard, "a", AttemptEnd::Completed, "done");
        const auto reply = shard.claim({ "org", "key", "b", "f" }, m_now);
        CPPUNIT_ASSERT(reply->state == ClaimState::Completed && reply->outcome.body == "done");
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Completed);
    }

    // Guards against an answer to one request being given to another.
    void claimWithAnotherBodyIsKeyReused()
    {
        Shard shard;
        claim(shard, "a");
        CPPUNIT_ASSERT(claim(shard, "b", "key", "g") == ClaimState::KeyReused);
        end(shard, "a", AttemptEnd::Completed, "done");
        CPPUNIT_ASSERT(claim(shard, "b", "key", "g") == ClaimState::KeyReused);
    }

    // Guards against one organisation's outcome reaching another.
    void claimOfAnotherOrganisationIsSeparate()
    {
        Shard shard;
        claim(shard, "a");
        end(shard, "a", AttemptEnd::Completed, "done");
        CPPUNIT_ASSERT(claim(shard, "b", "key", "f", "org-2") == ClaimState::Granted);
    }

    // Guards against a key that stays blocked after "not run", and against a late claim of the attempt that was given up.
    void claimAfterAbandonedAttemptIsGrantedButNotToThatAttempt()
    {
        Shard shard;
        end(shard, "a", AttemptEnd::Abandoned);
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Withdrawn);
        CPPUNIT_ASSERT(claim(shard, "b") == ClaimState::Granted);
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::InProgress);
    }

    // Guards against a second run after an unknown outcome.
    void claimWithUnknownEndIsNeverGranted()
    {
        Shard shard;
        claim(shard, "a");
        end(shard, "a", AttemptEnd::Unknown);
        CPPUNIT_ASSERT(claim(shard, "b") == ClaimState::Unknown);
        CPPUNIT_ASSERT(claim(shard, "a") == ClaimState::Unknown);
    }

    // Guards against a late or crossed completion that frees or overwrites the key of another attempt.
    void completionOfAnotherAttemptChangesNothing()
    {
        Shard shard;
        claim(shard, "a");
        end(shard, "b", AttemptEnd::Abandoned);
        CPPUNIT_ASSERT(claim(shard, "c") == ClaimState::InProgress);
        end(shard, "a", AttemptEnd::Completed, "done");
        end(shard, "a", AttemptEnd::Abandoned);
        CPPUNIT_ASSERT(claim(shard, "c") == ClaimState::Completed);
    }

    // Guards against records that are kept for ever or dropped early.
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

    // Guards against a value above the platform's 1 MB, and against claims that can not be completed any more.
    void claimInFullShardIsRefusedAndCompletionStillFits()
    {
        Shard shard;
        int granted = 0;
        while (shard.claim({ "org", std::to_string(granted), "a", "f" }, m_now))
            ++granted;
        const auto refused = shard.claim({ "org", "one-more", "a", "f" }, m_now);
        CPPUNIT_ASSERT(refused.error().code == ErrorCode::Overloaded && refused.error().verdict == Verdict::NotRun);
        CPPUNIT_ASSERT(refused.error().retryAfter.has_value());
        for (int i = 0; i < granted; ++i)
            shard.complete({ "org", std::to_string(i), "a", "f", AttemptEnd::Completed, { 200, "text/plain", std::string(10'000, 'x'), true } }, m_now);
        CPPUNIT_ASSERT(shard.serialize().size() < 1'048'576);
        CPPUNIT_ASSERT(shard.claim({ "org", std::to_string(granted - 1), "b", "f" }, m_now)->state == ClaimState::Completed);
        CPPUNIT_ASSERT(!shard.claim({ "org", std::to_string(granted - 1), "b", "f" }, m_now)->outcome.isKept);
    }

    // Guards against records that change in storage, and against a foreign value being taken for an empty shard.
    void storedValueIsReadBackAndOtherFormatsAreRefused()
    {
        Shard shard;
        claim(shard, "a");
        end(shard, "a", AttemptEnd::Completed, "done");
        auto copy = Shard::parse(shard.serialize(), {});
        CPPUNIT_ASSERT(copy && !copy->hasChanged());
        CPPUNIT_ASSERT_EQUAL(shard.bytes(), copy->bytes());
        CPPUNIT_ASSERT(claim(*copy, "b") == ClaimState::Completed);
        CPPUNIT_ASSERT(!Shard::parse("not a shard", {}));
        CPPUNIT_ASSERT(!Shard::parse(shard.serialize().substr(0, 20), {}));
    }

    // Guards against a path to the runner without a granted claim, and against a second end of an attempt.
    void onlyGrantedClaimLeadsToRunning()
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

    void end(Shard& shard, const std::string& attempt, AttemptEnd how, const std::string& body = {}) const
    {
        shard.complete({ "org", "key", attempt, "f", how, { 200, "text/plain", body, true } }, m_now);
    }

    const Shard::Time m_now { std::chrono::seconds(1'700'000'000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardTest);

}
