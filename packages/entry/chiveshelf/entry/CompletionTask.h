#pragma once

#include "chiveshelf/cache/BlockCache.h"
#include "chiveshelf/dispatch/DispatchClient.h"
#include "chiveshelf/dispatch/QuarantineService.h"
#include "chiveshelf/entry/ResponseWriter.h"
#include "chiveshelf/runner/HttpRunner.h"
#include "chiveshelf/tables/TableStore.h"

namespace chiveshelf {

// The services that a completion uses.
struct CompletionPorts {
    TableStore& tables;
    DispatchClient& dispatch;
    QuarantineService& quarantine;
    HttpRunner& runners;
    BlockCache& cache;
    std::string dataCentre;
};

// Runs one completion, from queueing it to sending the last token. When a runner or the connection to it fails, the response is
// continued from the last delivered token, over a new connection or on another runner.
class CompletionTask {
public:
    CompletionTask(CompletionPorts, CallerHeaders, CompletionCall, Route, Pool);
    CompletionTask(const CompletionTask&) = delete;
    CompletionTask& operator=(const CompletionTask&) = delete;

    // Runs the completion. When it returns, the caller has received a response or an error, or has disconnected.
    boost::asio::awaitable<void> run(ResponseWriter&);

private:
    enum class Outcome {
        Done,
        CallerDisconnected,
        RunnerLost,
        RunnerCrashed,
        Preempted,
        Refused,
        WrongVersion,
    };

    boost::asio::awaitable<Outcome> runOn(const Grant&, ResponseWriter&, Finished& report);
    boost::asio::awaitable<Outcome> relayTokens(const Address&, std::unique_ptr<HttpTokenStream>, ResponseWriter&, Finished& report);
    Enqueue makeEnqueue() const;
    CompletionRequest makeRequest(const Grant&);
    boost::asio::awaitable<void> lookUpBlocks();
    boost::asio::awaitable<bool> prepareRetryAfterWrongVersion(const std::string& runner);
    BlockIdentity blockIdentity(const std::string& version) const;
    void reportBlockUsage(const Address& runner, const Finished&);
    void cancelForPreemption(const Address&);
    // Returns true if the last attempt failed before the request reached the runner.
    bool hasNotReachedRunner() const;
    boost::asio::awaitable<void> refuse(ResponseWriter&, const Error&);
    // Cancels the request in the queue or on its runner after the caller has disconnected.
    void cancelForDisconnectedCaller();
    void logFinished(const Finished&, std::string_view outcome) const;

    CompletionPorts m_ports;
    CallerHeaders m_headers;
    CompletionCall m_call;
    Route m_route;
    Pool m_pool;
    Priority m_priority;
    // Identifies the request inside the system. The X-Request-Id is not unique, since callers may use one for several concurrent
    // requests.
    std::string m_internalId;
    // Hash of the request's content, by which the quarantine recognises a request that crashed runners when it is sent again.
    std::string m_fingerprint;
    std::chrono::steady_clock::time_point m_startedAt;
    // Start of the attempt on the current runner.
    std::chrono::steady_clock::time_point m_attemptStart;
    bool m_isPreempted = false;
    // Whether a runner may have started the request in any attempt.
    bool m_mayHaveStarted = false;
    std::int64_t m_deliveredTokens = 0;
    std::vector<std::string> m_excludedRunners;
    // Number of failed attempts in which the runner may have run the request.
    int m_failedRuns = 0;
    // Runners that refused the request because their weights have another version. They are tried again later, since they may be
    // loading the expected version.
    std::vector<std::string> m_wrongVersionRunners;
    std::uint64_t m_tablesRevision;
    std::chrono::steady_clock::time_point m_deadline;
    PromptBlocks m_blocks;
    ImportPlan m_importPlan;
    bool m_hasCallerDisconnected = false;
    // The runner of the current attempt, if there is one.
    std::optional<Address> m_currentRunner;
    Error m_lastError;
};

}
