#include "chiveshelf/idempotency/IdempotentRequest.h"

#include "chiveshelf/core/Hash.h"

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using Event = IdempotentRequestEvent;

namespace {

    // A claim that takes longer than this to be granted is not used: this host was probably paused, and its caller has most likely
    // given up.
    constexpr auto claimTimeout = std::chrono::seconds(10);
    // Limits how long a response is delayed until its outcome is recorded, so that callers are answered while the platform is down.
    constexpr auto recordWaitTimeout = std::chrono::milliseconds(500);
    constexpr auto inProgressRetryAfter = std::chrono::milliseconds(1'000);

    Error refusalFor(ClaimState state)
    {
        switch (state) {
        case ClaimState::KeyReused:
            return { ErrorCode::KeyReused, "the idempotency key was already used for another request", Verdict::NotRun, std::nullopt };
        case ClaimState::InProgress:
            return { ErrorCode::Conflict, "an earlier attempt with this idempotency key may still be running", Verdict::MayHaveRun, inProgressRetryAfter };
        case ClaimState::Completed:
            return { ErrorCode::Conflict, "the request has run, but its response was too long to be recorded", Verdict::Ran, std::nullopt };
        case ClaimState::Withdrawn:
            return { ErrorCode::Unavailable, "the claim of the idempotency key was withdrawn", Verdict::NotRun, inProgressRetryAfter };
        case ClaimState::Granted:
        case ClaimState::Unknown:
            break;
        }
        return { ErrorCode::Conflict, "the outcome of an earlier attempt with this idempotency key is unknown; the request is not run again", Verdict::MayHaveRun, std::nullopt };
    }

}

IdempotentRequest::IdempotentRequest(IdempotencyService& service, std::string organisation, std::string key, std::string fingerprint)
    : m_service(service)
    , m_claim { std::move(organisation), std::move(key), makeUniqueId(), std::move(fingerprint) }
{
}

asio::awaitable<Result<std::optional<RecordedOutcome>>> IdempotentRequest::begin()
{
    const auto start = Clock::now();
    m_machine.process(Event::ClaimSent);
    auto reply = co_await m_service.claim(m_claim);
    if (!reply) {
        m_machine.process(Event::ClaimRefused);
        auto error = reply.error();
        if (error.verdict != Verdict::NotRun)
            co_await recordResult(AttemptResult::Abandoned, RecordedOutcome(), std::chrono::milliseconds(0));
        // The claim may have been written, but the request was not sent to a runner and will not be.
        error.verdict = Verdict::NotRun;
        co_return tl::unexpected(std::move(error));
    }
    if (reply->state == ClaimState::Granted) {
        if (Clock::now() - start <= claimTimeout) {
            m_machine.process(Event::ClaimGranted);
            co_return std::optional<RecordedOutcome>();
        }
        m_machine.process(Event::ClaimExpired);
        co_await recordResult(AttemptResult::Abandoned, RecordedOutcome(), recordWaitTimeout);
        co_return tl::unexpected(refusalFor(ClaimState::Withdrawn));
    }
    if (reply->state == ClaimState::Completed && reply->outcome.isBodyStored) {
        m_machine.process(Event::OutcomeFound);
        co_return std::optional<RecordedOutcome>(std::move(reply->outcome));
    }
    m_machine.process(Event::ClaimRefused);
    co_return tl::unexpected(refusalFor(reply->state));
}

asio::awaitable<void> IdempotentRequest::finish(RecordedOutcome outcome)
{
    if (m_machine.process(Event::OutcomeReceived))
        co_await recordResult(AttemptResult::Completed, std::move(outcome), recordWaitTimeout);
}

asio::awaitable<void> IdempotentRequest::fail(Verdict verdict)
{
    const bool hasNotRun = verdict == Verdict::NotRun;
    if (m_machine.process(hasNotRun ? Event::NotRun : Event::OutcomeLost))
        co_await recordResult(hasNotRun ? AttemptResult::Abandoned : AttemptResult::Unknown, RecordedOutcome(), recordWaitTimeout);
}

asio::awaitable<void> IdempotentRequest::recordResult(AttemptResult result, RecordedOutcome outcome, std::chrono::milliseconds timeout)
{
    CompleteKey message;
    message.organisation = m_claim.organisation;
    message.key = m_claim.key;
    message.attemptId = m_claim.attemptId;
    message.fingerprint = m_claim.fingerprint;
    message.result = result;
    message.outcome = std::move(outcome);
    co_await m_service.recordResult(std::move(message), timeout);
}

}
