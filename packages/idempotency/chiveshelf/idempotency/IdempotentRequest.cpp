#include "chiveshelf/idempotency/IdempotentRequest.h"

#include "chiveshelf/core/Hash.h"

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using Event = IdempotentRequestEvent;

namespace {

    // A claim that was granted later than this after it was asked for is not used: this host was frozen, and its caller has
    // most likely given up.
    constexpr auto claimLifetime = std::chrono::seconds(10);
    // The caller waits this long for its outcome to be recorded. It is answered all the same when the platform is down.
    constexpr auto recordLimit = std::chrono::milliseconds(500);
    constexpr auto inProgressRetryAfter = std::chrono::milliseconds(1'000);

    Error refusalFor(ClaimState state)
    {
        switch (state) {
        case ClaimState::KeyReused:
            return { ErrorCode::KeyReused, "the idempotency key was used for another request", Verdict::NotRun, std::nullopt };
        case ClaimState::InProgress:
            return { ErrorCode::Conflict, "an earlier attempt with this idempotency key may still be running", Verdict::MayHaveRun, inProgressRetryAfter };
        case ClaimState::Completed:
            return { ErrorCode::Conflict, "the request has run; its outcome was too long to be kept", Verdict::Ran, std::nullopt };
        case ClaimState::Withdrawn:
            return { ErrorCode::Unavailable, "the claim of the idempotency key was withdrawn", Verdict::NotRun, inProgressRetryAfter };
        case ClaimState::Granted:
        case ClaimState::Unknown:
            break;
        }
        return { ErrorCode::Conflict, "the outcome of an earlier attempt with this idempotency key is unknown; it is not run again", Verdict::MayHaveRun, std::nullopt };
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
            co_await settle(AttemptEnd::Abandoned, RecordedOutcome(), std::chrono::milliseconds(0));
        // The claim may stand, but the request itself was not and will not be sent.
        error.verdict = Verdict::NotRun;
        co_return tl::unexpected(std::move(error));
    }
    if (reply->state == ClaimState::Granted) {
        if (Clock::now() - start <= claimLifetime) {
            m_machine.process(Event::ClaimGranted);
            co_return std::optional<RecordedOutcome>();
        }
        m_machine.process(Event::ClaimExpired);
        co_await settle(AttemptEnd::Abandoned, RecordedOutcome(), recordLimit);
        co_return tl::unexpected(refusalFor(ClaimState::Withdrawn));
    }
    if (reply->state == ClaimState::Completed && reply->outcome.isKept) {
        m_machine.process(Event::OutcomeFound);
        co_return std::optional<RecordedOutcome>(std::move(reply->outcome));
    }
    m_machine.process(Event::ClaimRefused);
    co_return tl::unexpected(refusalFor(reply->state));
}

asio::awaitable<void> IdempotentRequest::finish(RecordedOutcome outcome)
{
    if (m_machine.process(Event::OutcomeReceived))
        co_await settle(AttemptEnd::Completed, std::move(outcome), recordLimit);
}

asio::awaitable<void> IdempotentRequest::fail(Verdict verdict)
{
    const bool isNotRun = verdict == Verdict::NotRun;
    if (m_machine.process(isNotRun ? Event::NotRun : Event::OutcomeLost))
        co_await settle(isNotRun ? AttemptEnd::Abandoned : AttemptEnd::Unknown, RecordedOutcome(), recordLimit);
}

asio::awaitable<void> IdempotentRequest::settle(AttemptEnd end, RecordedOutcome outcome, std::chrono::milliseconds limit)
{
    CompleteKey message;
    message.organisation = m_claim.organisation;
    message.key = m_claim.key;
    message.attemptId = m_claim.attemptId;
    message.fingerprint = m_claim.fingerprint;
    message.end = end;
    message.outcome = std::move(outcome);
    co_await m_service.settle(std::move(message), limit);
}

}
