#pragma once

#include "chiveshelf/entry/CallerRequest.h"
#include "chiveshelf/http/Server.h"
#include "chiveshelf/runner/RunnerPort.h"

#include <functional>

namespace chiveshelf {

// A complete response, as it is recorded for a request with an idempotency key.
struct CompletionResult {
    std::string text;
    std::string finishReason;
    Usage usage;
};

// Writes the response of one completion to its caller, as server-sent events or as one JSON body. Call writeToken() for each
// token in order, then finish() or fail().
class ResponseWriter {
public:
    ResponseWriter(http::Exchange&, CallerHeaders, CompletionCall);
    ResponseWriter(const ResponseWriter&) = delete;
    ResponseWriter& operator=(const ResponseWriter&) = delete;

    using Recorder = std::function<boost::asio::awaitable<void>(Result<CompletionResult>)>;

    // Sets a function that finish() and fail() call with the complete response or the error before they end the response.
    void setRecorder(Recorder recorder) { m_recorder = std::move(recorder); }

    // Sends the text of one token, or buffers it if the response is one JSON body. Fails with Cancelled when the caller has
    // disconnected.
    boost::asio::awaitable<Result<void>> writeToken(const std::string& text);

    http::Exchange& exchange() { return m_exchange; }

    // Sends the remainder of the response and ends it.
    boost::asio::awaitable<Result<void>> finish(const std::string& finishReason, const Usage&);

    // Ends the response with an error. If nothing was sent, the caller receives an error response; otherwise an error event is
    // sent and the connection is aborted, so that the caller does not treat a partial response as complete.
    boost::asio::awaitable<void> fail(const Error&);

private:
    boost::asio::awaitable<Result<void>> beginStream();
    std::string formatEvent(const std::string& text, const std::string& finishReason, const Usage*) const;

    http::Exchange& m_exchange;
    CallerHeaders m_headers;
    CompletionCall m_call;
    std::int64_t m_createdAt;
    std::string m_text;
    Recorder m_recorder;
    bool m_hasBegun = false;
};

}
