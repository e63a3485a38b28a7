#pragma once

#include "chiveshelf/core/HeldBytes.h"
#include "chiveshelf/core/TimeLimit.h"
#include "chiveshelf/gateway/BackendPool.h"
#include "chiveshelf/gateway/CallerConnection.h"
#include "chiveshelf/gateway/EventBoundary.h"
#include "chiveshelf/gateway/EventCursor.h"
#include "chiveshelf/gateway/GatewayMetrics.h"
#include "chiveshelf/gateway/HostExchange.h"
#include "chiveshelf/gateway/RunnerUse.h"
#include "chiveshelf/gateway/ServingState.h"
#include "chiveshelf/gateway/StreamBinding.h"
#include "chiveshelf/placement/AttemptHistory.h"
#include "chiveshelf/placement/RequestPriority.h"
#include "platform/RequestHeaders.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace chiveshelf {

class ForwardTask;

// Objects shared by all requests of a gateway.
struct ForwardContext {
    boost::asio::io_context& io;
    const GatewaySettings& settings;
    ServingState& state;
    BackendPool& backends;
    HostExchange& exchange;
    // For calls to runners that are no requests of callers.
    http::Client& client;
    GatewayMetrics& metrics;
    // Bounds the bytes of incomplete events and answers that all requests together hold back.
    std::shared_ptr<HeldBytesBudget> heldBytes;
    // The requests in progress. Shared with them, as coroutines may be destroyed after the gateway.
    std::shared_ptr<std::set<ForwardTask*>> tasks = std::make_shared<std::set<ForwardTask*>>();
};

// Forwards one request of a caller, from its arrival to its final response. The placement policies choose the runners, and
// AttemptHistory decides whether the request may be sent again; this class only does the I/O.
class ForwardTask {
public:
    ForwardTask(ForwardContext&, std::shared_ptr<CallerConnection>, CallerRequest);
    ~ForwardTask();
    ForwardTask(const ForwardTask&) = delete;
    ForwardTask& operator=(const ForwardTask&) = delete;

    // Serves the request. If `isStopping` is set, the request is refused at once because the process is shutting down.
    boost::asio::awaitable<void> run(bool isStopping);

    // Ends the request with an answer if its response has not begun, because the process is about to exit.
    void endBeforeExit();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    // Outcome of sending the request to one runner.
    enum class SendResult {
        // The caller received its final response or disconnected.
        Finished,
        // The runner returned no usable response; the attempt history has the verdict.
        Failed,
    };

    // Outcome of relaying a response body to the caller.
    enum class RelayResult {
        Complete,
        RunnerFailed,
        CallerDisconnected,
    };

    // How the body of the response to the caller is delimited.
    enum class Framing {
        None,
        Length,
        Chunks,
        Close,
    };

    std::optional<LocalResponse> resolveRoute();
    std::optional<LocalResponse> authorize();
    // What the request has in common with others: its fingerprint and the parts of its prompt but the last, which no other request has.
    std::vector<CrashSubject> crashSubjects() const;
    PlacementResult choose(TimePoint now);
    // Binds a stream that the caller resumes to the software that began it. Returns the refusal if it can't go on.
    boost::asio::awaitable<std::optional<LocalResponse>> resumeStream();
    // Waits a moment for a runner at which a stream that broke off can go on. Returns whether to try again.
    boost::asio::awaitable<bool> awaitRunner();
    bool isBound() const { return m_binding && m_binding->isBound(); }
    // Whether the runner of a placement is the incarnation that its entry tells, as far as a bound stream depends on it.
    boost::asio::awaitable<bool> isRightIncarnation(const Placement&);
    EngineRequest engineRequest() const;
    boost::asio::awaitable<SendResult> send(const Placement&);
    // Connects to the chosen runner and counts the request against the limit that the runner states. Returns false if the runner can't
    // be reached, or has announced its shutdown, a pause or a limit meanwhile.
    boost::asio::awaitable<bool> reachRunner(const Placement&);
    boost::asio::awaitable<bool> connect(const Placement&);
    boost::asio::awaitable<bool> writeRequest(const Placement&);
    boost::asio::awaitable<bool> readResponseHeader(std::unique_ptr<Parser>&, RunnerUse&);
    // Reads and discards the rest of a response to another request. Returns false if the connection can't be used any more.
    boost::asio::awaitable<bool> discardResponse(Parser&);
    boost::asio::awaitable<SendResult> handleResponse(Parser&, RunnerUse&);
    boost::asio::awaitable<RelayResult> relay(Parser&, RunnerUse&);
    boost::asio::awaitable<void> respond(unsigned status, std::string_view code, std::string message, std::optional<std::chrono::milliseconds> retryAfter);
    boost::asio::awaitable<void> refuse(const PlacementRefusal&);
    boost::asio::awaitable<void> fail();
    // Resets the caller's connection, since an answer that it has begun to get can't be completed.
    void abortAnswer(std::string_view reason);
    boost::asio::awaitable<void> finishInterrupted();

    // Returns the header of the request. The body is sent from where the caller's request is kept.
    std::string formatRequestHeader(const Placement&) const;
    // Adds the planned fetches and saves of cached parts, as far as they are still allowed.
    void addTransfers(platform::RunnerRequestHeaders&, const Placement&) const;
    std::string formatResponseHeader(const Parser&, Framing) const;
    std::string applyFraming(std::string bytes, Framing) const;
    Framing framingFor(const Parser&) const;
    bool isRunnerResponse(const platform::RunnerHeaders&, unsigned status) const;
    // Whether the response states that the request was not run and can't belong to another request.
    bool provesNotRun(const platform::RunnerHeaders&, unsigned status) const;
    // Whether the response was written by the chosen runner, and not by another server at its address.
    bool isFromRunner(const platform::RunnerHeaders&, unsigned status, const BackendState&) const;
    // Applies the leaving flag and the Retry-After of a response to the state of its runner.
    void updateRunnerState(const platform::RunnerHeaders&, unsigned status, BackendState&);
    // Records the error text, and whether the error means that the runner's connection was lost.
    void recordReadError(const boost::system::error_code&);
    SendResult recordFailure(RunnerUse&, Verdict, bool isBroken, std::string_view reason);
    // Adds the request to those that may have crashed its runner, unless its response had begun well before.
    void reportLostRunner(const RunnerUse&, TimePoint now);
    // Logs that the connection to a runner was lost under this request, with the request's fingerprint and the parts of its prompt.
    void logLostRunner(const std::string& runner) const;
    SendResult recordRefusal(RunnerUse&, const platform::RunnerHeaders&, unsigned status);
    void handleFirstByte(RunnerUse&);
    // Learns the capacity of the runner of a plain service from a complete response.
    void learnCapacity(unsigned status, const RunnerUse&);
    // Records the arrival of a piece of a response body.
    void recordBodyPiece(const Parser&, RunnerUse&);
    // Counts the response, once, as evidence that the request doesn't crash runners.
    void recordAnswer(RunnerUse&, TimePoint now);
    // Counts and logs how a response body without a length, or one that ended inside an event, ended: "closed", or the read error.
    void recordBodyEnd(const Parser&, const EventBoundary&, std::string_view end);
    // Whether the end of the runner's connection, if it delimits the body, was an orderly one after the whole request was accepted.
    bool isEndTrusted(const Parser&) const;
    // Whether a stream whose body the parser considers complete can be passed on as complete.
    static bool isStreamWhole(const Parser&, const EventBoundary&);
    void releaseConnection(const Parser&, const platform::RunnerHeaders&, const RunnerUse&);
    void startTimers();
    void closeRunnerConnection();
    void armDeadlineTimer(TimePoint end);
    // Whether bytes of the runner have arrived that were not read yet.
    bool hasRunnerInput() const;
    // Whether the header of a response has been read and nothing of it relayed yet. Its body may have been read with it.
    bool isBodyExpected() const;
    // Cancels the timers that bound how long a runner may take to start its response.
    void stopRunnerTimers();
    // Returns the time left in which the runner may start the request on its current weights.
    std::chrono::milliseconds weightsTimeLeft(const Placement&) const;
    // Starts the timer that withdraws a request which waits at its runner: before the runner could start it on expired weights, and
    // once it is proven to crash runners.
    void armQueueTimer(const Placement&);
    // Limits the time until the first byte of the response of a request that was written, if the request may be sent again.
    void startFirstByteLimit(const Placement&);
    void limitFirstByte(std::chrono::milliseconds);
    // Starts the timer that moves a resumable stream to another runner if no complete event arrives within eventTimeout() and
    // another runner can continue it.
    void armEventTimer(TimePoint end);
    std::chrono::milliseconds eventTimeout() const;
    // Takes one retry from the budget that all hosts share. Returns false if the budget is exhausted.
    bool takeFromRetryBudget();
    // Logs and counts a send that continues a stream.
    void logResumption(const RunnerRecord&) const;
    void logOutcome(std::string_view outcome, std::string_view reason) const;
    std::chrono::milliseconds timeLeft(TimePoint now) const;
    bool isInterrupted() const { return m_isCallerDisconnected || m_isDeadlineExceeded || m_isExiting; }
    // Whether the caller resumes a stream that an earlier attempt began.
    bool isTakeUp() const { return mayResume() && !m_headers.lastEventId.empty(); }
    bool mayResume() const { return m_route->kind == RequestKind::Stream && m_route->isResumable; }

    ForwardContext& m_context;
    std::shared_ptr<std::set<ForwardTask*>> m_tasks;
    std::shared_ptr<CallerConnection> m_caller;
    CallerRequest m_request;
    // The routing tables that were in force when the request arrived.
    std::shared_ptr<const RouteIndex> m_index;
    const PathRoute* m_route = nullptr;
    const Organisation* m_organisation = nullptr;
    platform::CallerHeaders m_headers;
    std::string m_pool;
    unsigned m_priority = 0;
    std::string m_fingerprint;
    std::vector<CrashSubject> m_crashSubjects;
    std::optional<AttemptHistory> m_history;
    // Set for streams that may be resumed.
    std::optional<StreamBinding> m_binding;
    std::vector<std::string> m_excludedRunners;
    std::shared_ptr<BackendConnection> m_connection;
    boost::asio::steady_timer m_deadlineTimer;
    std::optional<TimeLimit> m_firstByteLimit;
    boost::asio::steady_timer m_queueTimer;
    boost::asio::steady_timer m_eventTimer;
    TimePoint m_deadline {};
    EventCursor m_cursor;
    // Set to false by the destructor, so that timer callbacks already queued don't access the task.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_isCallerDisconnected = false;
    bool m_isDeadlineExceeded = false;
    // Whether the process is about to exit.
    bool m_isExiting = false;
    // Whether this host closed the runner's connection because the runner didn't start its response in time.
    bool m_isRunnerOverdue = false;
    // Whether the runner has begun to answer the request that was sent last.
    bool m_hasResponseHeader = false;
    // Whether the stream was closed after eventTimeout(); its retry is already charged to the budget then.
    bool m_isStreamStalled = false;
    // Whether the runner's connection failed while a response was awaited, as opposed to being closed by this host.
    bool m_hasLostConnection = false;
    // Whether the runner's connection failed while the request was written.
    bool m_hasWriteFailed = false;
    // Whether a connection to a runner was made for the request, so that any further send counts as a retry.
    bool m_hasReachedRunner = false;
    // Why no response could be read, for the log.
    std::string m_readError;
    // Arrival of the last piece of a response body.
    TimePoint m_lastPieceAt {};
    // Arrival of the last complete event.
    TimePoint m_lastEventAt {};
    // Longest gap between two pieces of the body of one response.
    std::chrono::milliseconds m_longestPieceGap { 0 };
    // Whether part of a response was sent to the caller.
    bool m_hasResponseStarted = false;
    // Whether the whole response arrived before any part of it was sent to the caller.
    bool m_isResponseHeld = false;
    // Whether the last part of the response is being sent to the caller.
    bool m_isResponseWhole = false;
    bool m_isDeadlineExtended = false;
};

}
