#pragma once

#include "chiveshelf/entry/CallerRequest.h"
#include "chiveshelf/http/Server.h"
#include "chiveshelf/runner/RunnerPort.h"

#include <functional>

namespace chiveshelf {

// A whole answer, as it is recorded for a request with an idempotency key.
struct AnswerOutcome {
    std::string text;
    std::string finishReason;
    Usage usage;
};

// Writes the answer of one completion to its caller, as server-sent events or as one JSON body. Call token() for each piece
// in order, then finish() or fail().
class AnswerWriter {
public:
    AnswerWriter(http::Exchange&, CallerHeaders, CompletionCall);
    AnswerWriter(const AnswerWriter&) = delete;
    AnswerWriter& operator=(const AnswerWriter&) = delete;

    using Recorder = std::function<boost::asio::awaitable<void>(Result<AnswerOutcome>)>;

    // Calls `recorder` with the whole answer or the error before the caller gets the end of it.
    void recordWith(Recorder recorder) { m_recorder = std::move(recorder); }

    // Sends or keeps one piece. Fails with Cancelled when the caller has gone.
    boost::asio::awaitable<Result<void>> token(const std::string& text);

    http::Exchange& exchange() { return m_exchange; }

    // Ends the answer.
    boost::asio::awaitable<Result<void>> finish(const std::string& finishReason, const Usage&);

    // Ends with an error: a refusal if nothing was sent, else an error event after which the connection is cut, so that the
    // caller can not take the part for the whole.
    boost::asio::awaitable<void> fail(const Error&);

private:
    boost::asio::awaitable<Result<void>> begin();
    std::string event(const std::string& text, const std::string& finishReason, const Usage*) const;

    http::Exchange& m_exchange;
    CallerHeaders m_headers;
    CompletionCall m_call;
    std::int64_t m_createdAt;
    std::string m_text;
    Recorder m_recorder;
    bool m_hasBegun = false;
};

}
