#pragma once

#include "chiveshelf/gateway/BackendPool.h"
#include "chiveshelf/gateway/CallerConnection.h"
#include "chiveshelf/gateway/EventCursor.h"
#include "chiveshelf/gateway/GatewayMetrics.h"
#include "chiveshelf/gateway/HostExchange.h"
#include "chiveshelf/gateway/RunnerUse.h"
#include "chiveshelf/gateway/ServingState.h"
#include "chiveshelf/placement/AttemptHistory.h"
#include "chiveshelf/placement/RequestPriority.h"
#include "platform/RequestHeaders.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace chiveshelf {

// What all requests of a gateway share.
struct ForwardContext {
    boost::asio::io_context& io;
    const GatewaySettings& settings;
    ServingState& state;
    BackendPool& backends;
    HostExchange& exchange;
    GatewayMetrics& metrics;
};

// One request of a caller, from its arrival to its final answer. Decides nothing about runners or repeats by itself: it asks
// the placement for a runner and the attempt history for what may follow, and moves bytes.
class ForwardTask {
public:
    ForwardTask(ForwardContext&, std::shared_ptr<CallerConnection>, CallerRequest);
    ~ForwardTask();
    ForwardTask(const ForwardTask&) = delete;
    ForwardTask& operator=(const ForwardTask&) = delete;

    // Serves the request. `isStopping` refuses it at once, since the process is about to end.
    boost::asio::awaitable<void> run(bool isStopping);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    // How one send to a runner ended.
    enum class SendEnd {
        // The caller has its final answer, or has gone.
        Finished,
        // The runner gave no usable answer; see the history.
        Failed,
    };

    // How the forwarding of an answer ended.
    enum class RelayEnd {
        Complete,
        RunnerBroke,
        CallerGone,
    };

    // How the body of the answer to the caller is delimited.
    enum class Framing {
        None,
        Length,
        Chunks,
        Close,
    };

    std::optional<OwnAnswer> resolve();
    std::optional<OwnAnswer> authorize();
    bool isQuarantined();
    PlacementResult choose(TimePoint now);
    EngineRequest engineRequest() const;
    boost::asio::awaitable<SendEnd> send(const Placement&);
    boost::asio::awaitable<bool> connect(const Placement&);
    boost::asio::awaitable<bool> writeRequest(const Placement&);
    boost::asio::awaitable<bool> readHead(std::unique_ptr<Parser>&, RunnerUse&);
    // Reads the rest of an answer that belongs to another request. Returns false if the connection is of no use after it.
    boost::asio::awaitable<bool> skipAnswer(Parser&);
    boost::asio::awaitable<SendEnd> handleAnswer(Parser&, RunnerUse&);
    boost::asio::awaitable<RelayEnd> relay(Parser&, RunnerUse&);
    boost::asio::awaitable<void> answer(unsigned status, std::string_view code, std::string message, std::optional<std::chrono::milliseconds> retryAfter);
    boost::asio::awaitable<void> refuse(const PlacementRefusal&);
    boost::asio::awaitable<void> fail();
    boost::asio::awaitable<void> endInterrupted();

    std::string formatRequest(const Placement&) const;
    std::string formatHead(const Parser&, Framing) const;
    std::string frame(std::string bytes, Framing) const;
    Framing framingFor(const Parser&) const;
    bool isAnswerOfRunner(const platform::RunnerHeaders&, unsigned status) const;
    // Whether the runner says that it has not run the request, in an answer that can not be another's.
    bool isProofOfNotRun(const platform::RunnerHeaders&, unsigned status) const;
    // Learns what any answer of the runner says of the runner itself.
    void observeRunner(const platform::RunnerHeaders&, unsigned status, BackendState&);
    // Takes what an error of the connection tells.
    void noteReadError(const boost::system::error_code&);
    SendEnd recordFailure(RunnerUse&, Verdict, bool isBroken, std::string_view reason);
    SendEnd recordRefusal(RunnerUse&, const platform::RunnerHeaders&, unsigned status);
    void observeFirstByte(RunnerUse&);
    // Learns from a piece of an answer's body that has just arrived.
    void observePiece(RunnerUse&);
    void keepConnection(const Parser&, const platform::RunnerHeaders&, const RunnerUse&);
    void startTimers();
    void interrupt();
    // Ends the timers that bound how long a runner may take to begin.
    void stopRunnerTimers();
    // Returns how long the runner may take to begin on its weights.
    std::chrono::milliseconds weightsTimeLeft(const Placement&) const;
    // Takes the request back before the runner would begin it on weights that are past their time.
    void watchWeights(const Placement&);
    void armPatience(const Placement&);
    // Lets a resumable stream go on elsewhere if no whole event comes for long, and another runner can take it.
    void watchEvents();
    std::chrono::milliseconds longestEventGap() const;
    // Takes a repeat from the budget of all hosts.
    bool takeRepeat();
    void logOutcome(std::string_view outcome, std::string_view reason) const;
    std::chrono::milliseconds timeLeft(TimePoint now) const;
    bool isInterrupted() const { return m_isCallerGone || m_isTimeUp; }
    bool mayResume() const { return m_route->kind == RequestKind::Stream && m_route->isResumable; }

    ForwardContext& m_context;
    std::shared_ptr<CallerConnection> m_caller;
    CallerRequest m_request;
    // The tables under which the request arrived.
    std::shared_ptr<const RouteIndex> m_index;
    const PathRoute* m_route = nullptr;
    const Organisation* m_organisation = nullptr;
    platform::CallerHeaders m_headers;
    std::string m_pool;
    unsigned m_rank = 0;
    std::string m_fingerprint;
    std::optional<AttemptHistory> m_history;
    std::vector<std::string> m_excluded;
    std::shared_ptr<BackendConnection> m_connection;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_patience;
    boost::asio::steady_timer m_weights;
    boost::asio::steady_timer m_events;
    TimePoint m_deadline {};
    EventCursor m_cursor;
    // Lets callbacks of timers find out that the task has ended.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_isCallerGone = false;
    bool m_isTimeUp = false;
    bool m_isImpatient = false;
    // Whether the stream was taken back since no whole event came, and the repeat was taken from the budget for that.
    bool m_isStalled = false;
    // Whether the connection to the runner ended by itself while an answer was awaited.
    bool m_hasLostConnection = false;
    // Whether a runner was sent the request, so that any further send is a repeat.
    bool m_hasArrived = false;
    // Why no answer could be read, for the log.
    std::string m_problem;
    // When the last piece of an answer's body arrived, and the longest time between two of one answer.
    TimePoint m_pieceAt {};
    // When the last whole event arrived.
    TimePoint m_eventAt {};
    std::chrono::milliseconds m_longestPause { 0 };
    // Whether part of an answer was sent to the caller.
    bool m_hasStarted = false;
};

}
