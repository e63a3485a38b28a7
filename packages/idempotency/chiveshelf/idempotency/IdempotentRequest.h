#pragma once

#include "chiveshelf/idempotency/IdempotencyService.h"
#include "chiveshelf/idempotency/IdempotentRequestStateMachine.h"

namespace chiveshelf {

// One attempt of a request with an idempotency key. Call begin(); if it returns neither an error nor an outcome, run the request
// and call finish() or fail() before the caller is answered.
class IdempotentRequest {
public:
    // `fingerprint` distinguishes different requests that use the same key.
    IdempotentRequest(IdempotencyService&, std::string organisation, std::string key, std::string fingerprint);
    IdempotentRequest(const IdempotentRequest&) = delete;
    IdempotentRequest& operator=(const IdempotentRequest&) = delete;

    // Claims the key. Returns nullopt if the request may run, or the recorded outcome of an earlier attempt. The verdict of an error
    // states whether an earlier attempt may have run.
    boost::asio::awaitable<Result<std::optional<RecordedOutcome>>> begin();

    // Records the outcome of the request.
    boost::asio::awaitable<void> finish(RecordedOutcome);

    // Records that the attempt has no outcome. After NotRun the key can be claimed again; otherwise the outcome stays unknown.
    boost::asio::awaitable<void> fail(Verdict);

    // Returns true from the grant of the claim until finish() or fail().
    bool isRunning() const { return m_machine.state() == IdempotentRequestState::Running; }

private:
    boost::asio::awaitable<void> recordResult(AttemptResult, RecordedOutcome, std::chrono::milliseconds timeout);

    IdempotencyService& m_service;
    ClaimKey m_claim;
    IdempotentRequestStateMachine m_machine;
};

}
