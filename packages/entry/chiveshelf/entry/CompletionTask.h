#pragma once

#include "chiveshelf/cache/BlockCache.h"
#include "chiveshelf/dispatch/DispatchClient.h"
#include "chiveshelf/dispatch/QuarantineService.h"
#include "chiveshelf/entry/AnswerWriter.h"
#include "chiveshelf/runner/HttpRunner.h"
#include "chiveshelf/tables/TableStore.h"

namespace chiveshelf {

// What a completion works with.
struct CompletionPorts {
    TableStore& tables;
    DispatchClient& dispatch;
    QuarantineService& quarantine;
    HttpRunner& runners;
    BlockCache& cache;
    std::string dataCentre;
};

// Runs one completion from its queue entry to the last token. When a runner or its connection is lost the answer goes on at the
// same token, on a new connection or on another runner.
class CompletionTask {
public:
    CompletionTask(CompletionPorts, CallerHeaders, CompletionCall, Route, Pool);
    CompletionTask(const CompletionTask&) = delete;
    CompletionTask& operator=(const CompletionTask&) = delete;

    // Serves the caller; whatever happens, the caller has an answer or is gone when it returns.
    boost::asio::awaitable<void> run(AnswerWriter&);

private:
    enum class Outcome {
        Done,
        CallerGone,
        RunnerLost,
        RunnerCrashed,
        Preempted,
        Refused,
        WrongVersion,
    };

    boost::asio::awaitable<Outcome> runOn(const Grant&, AnswerWriter&, Finished& report);
    boost::asio::awaitable<Outcome> relay(const Address&, std::unique_ptr<HttpTokenStream>, AnswerWriter&, Finished& report);
    Enqueue makeEnqueue() const;
    CompletionRequest makeRequest(const Grant&);
    boost::asio::awaitable<void> findBlocks();
    boost::asio::awaitable<bool> prepareForOtherVersion(const std::string& runner);
    BlockIdentity blockIdentity(const std::string& version) const;
    void finishBlocks(const Address& runner, const Finished&);
    // Frees the queue entry or the runner of a request whose caller went away.
    void stopForGoneCaller();
    void cancelForPreemption(const Address&);
    // Whether the last attempt failed before the runner had the request.
    bool isUnreached() const;
    boost::asio::awaitable<void> refuse(AnswerWriter&, const Error&);
    void logFinished(const Finished&, std::string_view outcome) const;

    CompletionPorts m_ports;
    CallerHeaders m_headers;
    CompletionCall m_call;
    Route m_route;
    Pool m_pool;
    Priority m_priority;
    // Identifies the request inside the system. Callers may use one X-Request-Id twice at the same time.
    std::string m_internalId;
    // Names the request's content, so that a request that crashes runners is known when its caller sends it again.
    std::string m_fingerprint;
    std::chrono::steady_clock::time_point m_startedAt;
    // Start of the attempt on the present runner.
    std::chrono::steady_clock::time_point m_attemptStart;
    bool m_isPreempted = false;
    // A runner has begun with the request at some time.
    bool m_hasStarted = false;
    std::int64_t m_delivered = 0;
    std::vector<std::string> m_excludedRunners;
    // Runners that failed while they may have run the request.
    int m_failedRuns = 0;
    // Runners that refused because they have other weights. They are asked again, since weights are being loaded.
    std::vector<std::string> m_otherVersionRunners;
    std::uint64_t m_tablesRevision;
    std::chrono::steady_clock::time_point m_deadline;
    PromptBlocks m_blocks;
    ImportPlan m_importPlan;
    bool m_hasCallerGone = false;
    // The runner that the request was sent to, while it is there.
    std::optional<Address> m_runningOn;
    Error m_lastError;
};

}
