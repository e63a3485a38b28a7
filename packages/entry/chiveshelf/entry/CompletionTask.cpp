#include "chiveshelf/entry/CompletionTask.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/entry/CallerWatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    // A request on which two runners failed is not sent to a third.
    constexpr int maxFailedRuns = 2;
    // Limit on failed runners, including those that the request did not reach.
    constexpr std::size_t maxAttempts = 4;
    // Maximum number of consecutive reconnections to one runner without a new token.
    constexpr int maxResumes = 2;
    // Delay before a request retries the runners when all have another version of the weights. Loading takes 0.2 s or more.
    constexpr auto wrongVersionRetryDelay = std::chrono::milliseconds(50);

    std::int64_t millisecondsSince(Clock::time_point start)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
    }

    Priority effectivePriority(const CallerHeaders& headers, const Route& route)
    {
        const auto requested = headers.priority.value_or(route.priority);
        return route.maxPriority ? std::max(requested, *route.maxPriority) : requested;
    }

}

CompletionTask::CompletionTask(CompletionPorts ports, CallerHeaders headers, CompletionCall call, Route route, Pool pool)
    : m_ports(std::move(ports))
    , m_headers(std::move(headers))
    , m_call(std::move(call))
    , m_route(std::move(route))
    , m_pool(std::move(pool))
    , m_priority(effectivePriority(m_headers, m_route))
    , m_internalId(makeUniqueId())
    , m_fingerprint(toHex(hash128(m_headers.organisation + '\n' + m_call.model + '\n' + m_call.prompt)))
    , m_startedAt(Clock::now())
    , m_tablesRevision(m_ports.tables.snapshot()->revision)
    , m_deadline(Clock::now() + m_headers.deadline.value_or(m_pool.targets[priorityIndex(m_priority)]))
{
}

BlockIdentity CompletionTask::blockIdentity(const std::string& version) const
{
    return { m_headers.organisation, m_call.model, m_pool.adapter, version };
}

asio::awaitable<void> CompletionTask::lookUpBlocks()
{
    std::vector<StoreHost> stores;
    // Includes the stores of all data centres: a conversation may continue in another data centre, and the delay between data
    // centres is small compared to the transfer of a block.
    for (const auto& store : m_pool.stores)
        stores.push_back({ store.name, store.address });
    m_blocks = co_await m_ports.cache.lookUp(blockIdentity(m_pool.version), m_call.prompt, std::move(stores));
}

Enqueue CompletionTask::makeEnqueue() const
{
    Enqueue message;
    message.requestId = m_internalId;
    message.pool = m_pool.name;
    message.organisation = m_headers.organisation;
    message.priority = static_cast<std::int32_t>(m_priority);
    message.weight = m_route.weight;
    message.promptTokens = estimateTokens(m_call.prompt.size());
    message.maxTokens = m_call.maxTokens;
    message.blocks = m_blocks.keys;
    message.stored = m_blocks.stored;
    message.store = m_blocks.store ? toString(*m_blocks.store) : "";
    // The deadline applies to the first token. A response that is continued after the loss of a runner therefore gets the full
    // target again, and so does a preempted request.
    message.deadlineMs = m_pool.targets[priorityIndex(m_priority)].count();
    if (m_headers.deadline && m_deliveredTokens == 0)
        message.deadlineMs = m_headers.deadline->count() - millisecondsSince(m_startedAt);
    message.excludedRunners = m_excludedRunners;
    message.excludedRunners.insert(message.excludedRunners.end(), m_wrongVersionRunners.begin(), m_wrongVersionRunners.end());
    return message;
}

CompletionRequest CompletionTask::makeRequest(const Grant& grant)
{
    CompletionRequest request;
    request.requestId = m_internalId;
    request.organisation = m_headers.organisation;
    request.model = m_call.model;
    request.prompt = m_call.prompt;
    request.maxTokens = m_call.maxTokens;
    request.priority = m_priority;
    // The scheduler host may have older tables than this host. A new request must not start on the version before an edit.
    request.expectedVersion = grant.tablesRevision >= m_tablesRevision ? grant.version : m_pool.version;
    request.adapter = m_pool.adapter;
    request.resumeFrom = m_deliveredTokens;
    request.mayRepeat = m_headers.idempotencyKey.empty();
    if (request.expectedVersion != m_blocks.identity.version)
        m_blocks = m_ports.cache.makePromptBlocks(blockIdentity(request.expectedVersion), m_call.prompt);
    m_importPlan = m_ports.cache.planImport(m_blocks, m_priority);
    if (grant.importBlocks >= 0 && m_importPlan.records.size() > static_cast<std::size_t>(grant.importBlocks))
        m_importPlan.records.resize(static_cast<std::size_t>(grant.importBlocks));
    if (m_importPlan.records.empty())
        m_importPlan.inFlight.reset();
    request.blocks = m_blocks.keys;
    request.imports = m_importPlan.records;
    request.importLimit = m_importPlan.limitPerBlock;
    return request;
}

void CompletionTask::reportBlockUsage(const Address& runner, const Finished& report)
{
    m_ports.cache.finish(m_blocks,
        { runner, m_importPlan.records.size(), report.promptTokens, report.cachedTokens, report.importedTokens, report.firstTokenMs });
}

asio::awaitable<bool> CompletionTask::prepareRetryAfterWrongVersion(const std::string& runner)
{
    if (Clock::now() >= m_deadline)
        co_return false;
    m_wrongVersionRunners.push_back(runner);
    const auto tables = m_ports.tables.snapshot();
    const auto* pool = tables->findPool(m_pool.name);
    m_tablesRevision = tables->revision;
    const bool hasChanged = pool && pool->version != m_pool.version;
    if (pool)
        m_pool = *pool;
    const auto runners = std::count_if(m_pool.runners.begin(), m_pool.runners.end(),
        [this](const Backend& backend) { return backend.dataCentre == m_ports.dataCentre; });
    if (hasChanged || static_cast<std::ptrdiff_t>(m_wrongVersionRunners.size() + m_excludedRunners.size()) >= runners) {
        m_wrongVersionRunners.clear();
        asio::steady_timer timer(co_await asio::this_coro::executor, wrongVersionRetryDelay);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_await lookUpBlocks();
    co_return true;
}

void CompletionTask::cancelForDisconnectedCaller()
{
    m_hasCallerDisconnected = true;
    if (!m_currentRunner) {
        m_ports.dispatch.cancel(m_pool.name, m_internalId);
        return;
    }
    asio::co_spawn(
        m_ports.dispatch.context(),
        [](HttpRunner& runners, Address runner, std::string id) -> asio::awaitable<void> {
            co_await runners.cancel(std::move(runner), std::move(id));
        }(m_ports.runners, *m_currentRunner, m_internalId),
        asio::detached);
}

asio::awaitable<void> CompletionTask::run(ResponseWriter& writer)
{
    const auto admitted = m_ports.quarantine.check(m_fingerprint);
    if (!admitted) {
        co_await refuse(writer, admitted.error());
        co_return;
    }
    const CallerWatch watch(m_ports.dispatch.context().get_executor(), writer.exchange(), [this] { cancelForDisconnectedCaller(); });
    co_await lookUpBlocks();
    while (true) {
        auto grant = co_await m_ports.dispatch.acquire(makeEnqueue());
        if (grant && watch.hasDisconnected()) {
            // The grant was sent before the cancellation arrived at the scheduler.
            Finished cancelledReport;
            cancelledReport.requestId = m_internalId;
            cancelledReport.pool = m_pool.name;
            cancelledReport.runner = grant->runner;
            m_ports.dispatch.release(cancelledReport);
            grant = failure(ErrorCode::Cancelled, "caller disconnected", Verdict::NotRun);
        }
        if (!grant) {
            // This attempt did not run, but earlier ones may have. If tokens were delivered, one certainly has.
            if (m_deliveredTokens > 0 || m_mayHaveStarted || m_failedRuns > 0)
                grant.error().verdict = m_deliveredTokens > 0 ? Verdict::Ran : Verdict::MayHaveRun;
            co_await refuse(writer, grant.error());
            co_return;
        }
        Finished report;
        report.requestId = m_internalId;
        report.pool = m_pool.name;
        report.runner = grant->runner;
        m_attemptStart = Clock::now();
        const auto outcome = co_await runOn(*grant, writer, report);
        report.totalMs = millisecondsSince(m_attemptStart);
        report.hasSucceeded = outcome == Outcome::Done;
        report.hasRunnerFailed = outcome == Outcome::RunnerLost || outcome == Outcome::RunnerCrashed;
        report.isRunnerUnreachable = outcome == Outcome::RunnerCrashed || (outcome == Outcome::RunnerLost && hasNotReachedRunner());
        m_importPlan.inFlight.reset();
        m_currentRunner.reset();
        m_ports.dispatch.release(report);
        if (outcome == Outcome::Preempted) {
            logFinished(report, "preempted");
            m_isPreempted = false;
            // The cancellation of the preempted attempt may arrive at the runner late. The new id prevents it from cancelling the next
            // attempt.
            m_internalId = makeUniqueId();
            continue;
        }
        if (outcome == Outcome::RunnerCrashed)
            m_ports.quarantine.reportCrash(m_fingerprint, grant->runner);
        if (outcome == Outcome::Done || outcome == Outcome::CallerDisconnected || watch.hasDisconnected()) {
            logFinished(report, outcome == Outcome::CallerDisconnected || watch.hasDisconnected() ? "caller_gone" : "done");
            co_return;
        }
        if (outcome == Outcome::WrongVersion && co_await prepareRetryAfterWrongVersion(grant->runner))
            continue;
        logFinished(report, "runner_failed");
        m_excludedRunners.push_back(grant->runner);
        m_failedRuns += hasNotReachedRunner() ? 0 : 1;
        // A request with an idempotency key is sent to a second runner only if the first has certainly not run it.
        const bool mayRepeat = m_headers.idempotencyKey.empty() || (m_lastError.verdict == Verdict::NotRun && m_deliveredTokens == 0);
        const bool isLast = outcome == Outcome::Refused || outcome == Outcome::WrongVersion || !mayRepeat || m_failedRuns >= maxFailedRuns
            || m_excludedRunners.size() >= maxAttempts;
        if (isLast || !m_ports.dispatch.takeRetry()) {
            // Even if the last attempt did not run, an earlier one may have. If tokens were delivered, one certainly has.
            if (m_mayHaveStarted)
                m_lastError.verdict = std::max(m_lastError.verdict, Verdict::MayHaveRun);
            if (m_deliveredTokens > 0)
                m_lastError.verdict = Verdict::Ran;
            co_await writer.fail(m_lastError);
            co_return;
        }
    }
}

asio::awaitable<CompletionTask::Outcome> CompletionTask::runOn(const Grant& grant, ResponseWriter& writer, Finished& report)
{
    const auto address = parseAddress(grant.runnerAddress);
    if (!address) {
        m_lastError = address.error();
        co_return Outcome::Refused;
    }
    m_currentRunner = *address;
    auto request = makeRequest(grant);
    auto stream = co_await m_ports.runners.start(*address, request);
    if (!stream && stream.error().code == ErrorCode::Timeout && stream.error().verdict != Verdict::NotRun && request.mayRepeat) {
        // The pooled connection may have failed silently. Resuming over a new one shows whether the runner has the request.
        const auto first = stream.error();
        stream = co_await m_ports.runners.resume(*address, m_internalId, m_deliveredTokens);
        if (!stream && stream.error().code == ErrorCode::NotFound)
            stream = co_await m_ports.runners.start(*address, request);
        if (!stream && stream.error().verdict == Verdict::NotRun)
            stream = tl::unexpected(first);
    }
    if (!stream) {
        m_lastError = stream.error();
        if (m_lastError.code == ErrorCode::WrongVersion)
            co_return Outcome::WrongVersion;
        if (m_lastError.code == ErrorCode::InvalidRequest)
            co_return Outcome::Refused;
        m_mayHaveStarted = m_mayHaveStarted || m_lastError.verdict != Verdict::NotRun;
        const bool isCrash = m_lastError.code == ErrorCode::Unavailable && m_lastError.verdict == Verdict::MayHaveRun;
        co_return isCrash ? Outcome::RunnerCrashed : Outcome::RunnerLost;
    }
    m_mayHaveStarted = true;
    co_return co_await relayTokens(*address, std::move(*stream), writer, report);
}

asio::awaitable<CompletionTask::Outcome> CompletionTask::relayTokens(const Address& address, std::unique_ptr<HttpTokenStream> stream,
    ResponseWriter& writer, Finished& report)
{
    // A preempted request is restarted, which is not allowed for a request with an idempotency key.
    if (m_headers.idempotencyKey.empty())
        m_ports.dispatch.onPreempt(m_internalId, [this, address] { cancelForPreemption(address); });
    int resumeCount = 0;
    while (true) {
        auto chunk = co_await stream->next();
        if (m_isPreempted && m_deliveredTokens == 0)
            co_return Outcome::Preempted;
        const bool hasGap = chunk && chunk->index > m_deliveredTokens;
        if (!chunk || hasGap) {
            if (!chunk && chunk.error().code == ErrorCode::WrongVersion) {
                m_lastError = chunk.error();
                co_return Outcome::WrongVersion;
            }
            m_lastError = chunk ? Error { ErrorCode::Internal, "token offset from runner is ahead of the delivered tokens", Verdict::MayHaveRun, std::nullopt } : chunk.error();
            if (++resumeCount > maxResumes)
                co_return Outcome::RunnerLost;
            auto resumed = co_await m_ports.runners.resume(address, m_internalId, m_deliveredTokens);
            if (!resumed) {
                // The runner has crashed if the connection broke and the runner is then unavailable or no longer has the request. A
                // timeout does not count as a crash, since a network fault can cause it too.
                const bool isRequestLost = resumed.error().code == ErrorCode::Unavailable || resumed.error().code == ErrorCode::NotFound;
                const bool hasConnectionBroken = m_lastError.code == ErrorCode::Unavailable;
                co_return isRequestLost&& hasConnectionBroken ? Outcome::RunnerCrashed : Outcome::RunnerLost;
            }
            logEvent(LogLevel::Info, "stream_resumed",
                { { "request_id", m_headers.requestId }, { "organisation", m_headers.organisation }, { "offset", m_deliveredTokens } });
            stream = std::move(*resumed);
            continue;
        }
        // The runner ends a cancelled stream normally; the partial response must not be treated as complete.
        if (chunk->isLast() && m_hasCallerDisconnected)
            co_return Outcome::CallerDisconnected;
        if (chunk->isLast()) {
            const auto usage = chunk->usage.value_or(Usage {});
            report.promptTokens = usage.promptTokens;
            report.cachedTokens = usage.cachedTokens;
            report.importedTokens = usage.importedTokens;
            report.completionTokens = usage.completionTokens;
            reportBlockUsage(address, report);
            const auto written = co_await writer.finish(chunk->finishReason, usage);
            co_return written ? Outcome::Done : Outcome::CallerDisconnected;
        }
        if (chunk->index < m_deliveredTokens)
            continue;
        if (report.firstTokenMs < 0)
            report.firstTokenMs = millisecondsSince(m_attemptStart);
        m_ports.dispatch.noteFirstToken(m_internalId);
        m_importPlan.inFlight.reset();
        const auto written = co_await writer.writeToken(chunk->text);
        if (!written) {
            co_await m_ports.runners.cancel(address, m_internalId);
            co_return Outcome::CallerDisconnected;
        }
        ++m_deliveredTokens;
        resumeCount = 0;
    }
}

bool CompletionTask::hasNotReachedRunner() const
{
    return m_lastError.code == ErrorCode::Unavailable && m_lastError.verdict == Verdict::NotRun;
}

void CompletionTask::cancelForPreemption(const Address& address)
{
    m_isPreempted = true;
    asio::co_spawn(
        m_ports.dispatch.context(),
        [](HttpRunner& runners, Address runner, std::string id) -> asio::awaitable<void> {
            co_await runners.cancel(std::move(runner), std::move(id));
        }(m_ports.runners, address, m_internalId),
        asio::detached);
}

asio::awaitable<void> CompletionTask::refuse(ResponseWriter& writer, const Error& error)
{
    logEvent(LogLevel::Info, "request_refused",
        { { "request_id", m_headers.requestId }, { "organisation", m_headers.organisation }, { "code", errorCodeName(error.code) },
            { "ran", ranName(error.verdict) }, { "message", error.message } });
    co_await writer.fail(error);
}

void CompletionTask::logFinished(const Finished& report, std::string_view outcome) const
{
    logEvent(LogLevel::Info, "request_finished",
        { { "request_id", m_headers.requestId }, { "organisation", m_headers.organisation }, { "outcome", outcome }, { "pool", m_pool.name },
            { "priority", priorityName(m_priority) }, { "runner", report.runner }, { "first_token_ms", report.firstTokenMs },
            { "total_ms", report.totalMs }, { "prompt_tokens", report.promptTokens }, { "cached_tokens", report.cachedTokens },
            { "imported_tokens", report.importedTokens },
            { "completion_tokens", report.completionTokens } });
}

}
