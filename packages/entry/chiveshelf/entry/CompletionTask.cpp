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

    // Runners tried for one request. A request that made two runners fail is not given a third.
    constexpr int maximumRunners = 2;
    // Runners tried in all, with those that can not be reached and so did not run it.
    constexpr std::size_t maximumAttempts = 4;
    // Connections tried in a row to one runner without a new token.
    constexpr int maximumResumes = 2;
    // Pause before a request goes round runners again that all have other weights. A load takes 0.2 s or more.
    constexpr auto otherVersionDelay = std::chrono::milliseconds(50);

    std::int64_t millisecondsSince(Clock::time_point start)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
    }

    Priority effectivePriority(const CallerHeaders& headers, const Route& route)
    {
        const auto wanted = headers.priority.value_or(route.priority);
        return route.maxPriority ? std::max(wanted, *route.maxPriority) : wanted;
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

asio::awaitable<void> CompletionTask::findBlocks()
{
    std::vector<StoreHost> stores;
    // Stores of every data centre count: a conversation may return in another one, and the delay between data centres is small
    // beside the transfer of a block.
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
    // The deadline is for the first token, so an answer that goes on after a lost runner has the whole target again, and so
    // has one that was preempted.
    message.deadlineMs = m_pool.targets[priorityIndex(m_priority)].count();
    if (m_headers.deadline && m_delivered == 0)
        message.deadlineMs = m_headers.deadline->count() - millisecondsSince(m_startedAt);
    message.excludedRunners = m_excludedRunners;
    message.excludedRunners.insert(message.excludedRunners.end(), m_otherVersionRunners.begin(), m_otherVersionRunners.end());
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
    // The scheduler host may have older tables than this host: a new request must not start on the version before the edit.
    request.expectedVersion = grant.tablesRevision >= m_tablesRevision ? grant.version : m_pool.version;
    request.adapter = m_pool.adapter;
    request.resumeFrom = m_delivered;
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

void CompletionTask::finishBlocks(const Address& runner, const Finished& report)
{
    m_ports.cache.finish(m_blocks,
        { runner, m_importPlan.records.size(), report.promptTokens, report.cachedTokens, report.importedTokens, report.firstTokenMs });
}

asio::awaitable<bool> CompletionTask::prepareForOtherVersion(const std::string& runner)
{
    if (Clock::now() >= m_deadline)
        co_return false;
    m_otherVersionRunners.push_back(runner);
    const auto tables = m_ports.tables.snapshot();
    const auto* pool = tables->findPool(m_pool.name);
    m_tablesRevision = tables->revision;
    const bool hasChanged = pool && pool->version != m_pool.version;
    if (pool)
        m_pool = *pool;
    const auto runners = std::count_if(m_pool.runners.begin(), m_pool.runners.end(),
        [this](const Backend& backend) { return backend.dataCentre == m_ports.dataCentre; });
    if (hasChanged || static_cast<std::ptrdiff_t>(m_otherVersionRunners.size() + m_excludedRunners.size()) >= runners) {
        m_otherVersionRunners.clear();
        asio::steady_timer timer(co_await asio::this_coro::executor, otherVersionDelay);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_await findBlocks();
    co_return true;
}

void CompletionTask::stopForGoneCaller()
{
    m_hasCallerGone = true;
    if (!m_runningOn) {
        m_ports.dispatch.cancel(m_pool.name, m_internalId);
        return;
    }
    asio::co_spawn(
        m_ports.dispatch.context(),
        [](HttpRunner& runners, Address runner, std::string id) -> asio::awaitable<void> {
            co_await runners.cancel(std::move(runner), std::move(id));
        }(m_ports.runners, *m_runningOn, m_internalId),
        asio::detached);
}

asio::awaitable<void> CompletionTask::run(AnswerWriter& writer)
{
    const auto mayRun = m_ports.quarantine.check(m_fingerprint);
    if (!mayRun) {
        co_await refuse(writer, mayRun.error());
        co_return;
    }
    const CallerWatch watch(m_ports.dispatch.context().get_executor(), writer.exchange(), [this] { stopForGoneCaller(); });
    co_await findBlocks();
    while (true) {
        auto grant = co_await m_ports.dispatch.acquire(makeEnqueue());
        if (grant && watch.hasGone()) {
            // The cancellation and the grant crossed.
            Finished unused;
            unused.requestId = m_internalId;
            unused.pool = m_pool.name;
            unused.runner = grant->runner;
            m_ports.dispatch.release(unused);
            grant = failure(ErrorCode::Cancelled, "caller has gone", Verdict::NotRun);
        }
        if (!grant) {
            // What was already delivered did run, whatever became of this attempt.
            if (m_delivered > 0 || m_hasStarted || m_failedRuns > 0)
                grant.error().verdict = m_delivered > 0 ? Verdict::Ran : Verdict::MayHaveRun;
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
        report.isRunnerUnreachable = outcome == Outcome::RunnerCrashed || (outcome == Outcome::RunnerLost && isUnreached());
        m_importPlan.inFlight.reset();
        m_runningOn.reset();
        m_ports.dispatch.release(report);
        if (outcome == Outcome::Preempted) {
            logFinished(report, "preempted");
            m_isPreempted = false;
            // The runner may still get the cancellation of the old id.
            m_internalId = makeUniqueId();
            continue;
        }
        if (outcome == Outcome::RunnerCrashed)
            m_ports.quarantine.reportCrash(m_fingerprint, grant->runner);
        if (outcome == Outcome::Done || outcome == Outcome::CallerGone || watch.hasGone()) {
            logFinished(report, outcome == Outcome::CallerGone || watch.hasGone() ? "caller_gone" : "done");
            co_return;
        }
        if (outcome == Outcome::WrongVersion && co_await prepareForOtherVersion(grant->runner))
            continue;
        logFinished(report, "runner_failed");
        m_excludedRunners.push_back(grant->runner);
        m_failedRuns += isUnreached() ? 0 : 1;
        // A keyed request goes to a second runner only if the first is certain not to have run it.
        const bool mayRepeat = m_headers.idempotencyKey.empty() || (m_lastError.verdict == Verdict::NotRun && m_delivered == 0);
        const bool isLast = outcome == Outcome::Refused || outcome == Outcome::WrongVersion || !mayRepeat || m_failedRuns >= maximumRunners
            || m_excludedRunners.size() >= maximumAttempts;
        if (isLast || !m_ports.dispatch.takeRetry()) {
            // A last attempt that did not run says nothing about the ones before.
            if (m_hasStarted)
                m_lastError.verdict = std::max(m_lastError.verdict, Verdict::MayHaveRun);
            if (m_delivered > 0)
                m_lastError.verdict = Verdict::Ran;
            co_await writer.fail(m_lastError);
            co_return;
        }
    }
}

asio::awaitable<CompletionTask::Outcome> CompletionTask::runOn(const Grant& grant, AnswerWriter& writer, Finished& report)
{
    const auto address = parseAddress(grant.runnerAddress);
    if (!address) {
        m_lastError = address.error();
        co_return Outcome::Refused;
    }
    m_runningOn = *address;
    auto request = makeRequest(grant);
    auto stream = co_await m_ports.runners.start(*address, request);
    if (!stream && stream.error().code == ErrorCode::Timeout && stream.error().verdict != Verdict::NotRun && request.mayRepeat) {
        // The connection may have gone silent while it was pooled. The runner tells on a new one whether it has the request.
        const auto first = stream.error();
        stream = co_await m_ports.runners.resume(*address, m_internalId, m_delivered);
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
        m_hasStarted = m_hasStarted || m_lastError.verdict != Verdict::NotRun;
        const bool isCrash = m_lastError.code == ErrorCode::Unavailable && m_lastError.verdict == Verdict::MayHaveRun;
        co_return isCrash ? Outcome::RunnerCrashed : Outcome::RunnerLost;
    }
    m_hasStarted = true;
    co_return co_await relay(*address, std::move(*stream), writer, report);
}

asio::awaitable<CompletionTask::Outcome> CompletionTask::relay(const Address& address, std::unique_ptr<HttpTokenStream> stream,
    AnswerWriter& writer, Finished& report)
{
    // A preempted request starts again, which one with an idempotency key must not.
    if (m_headers.idempotencyKey.empty())
        m_ports.dispatch.onPreempt(m_internalId, [this, address] { cancelForPreemption(address); });
    int resumes = 0;
    while (true) {
        auto chunk = co_await stream->next();
        if (m_isPreempted && m_delivered == 0)
            co_return Outcome::Preempted;
        const bool hasGap = chunk && chunk->index > m_delivered;
        if (!chunk || hasGap) {
            if (!chunk && chunk.error().code == ErrorCode::WrongVersion) {
                m_lastError = chunk.error();
                co_return Outcome::WrongVersion;
            }
            m_lastError = chunk ? Error { ErrorCode::Internal, "token offset is ahead", Verdict::MayHaveRun, std::nullopt } : chunk.error();
            if (++resumes > maximumResumes)
                co_return Outcome::RunnerLost;
            auto resumed = co_await m_ports.runners.resume(address, m_internalId, m_delivered);
            if (!resumed) {
                // The stream broke and the runner is gone, or is there again without the request: it crashed. A runner that
                // only goes silent is not counted, since links do that too.
                const bool isGone = resumed.error().code == ErrorCode::Unavailable || resumed.error().code == ErrorCode::NotFound;
                const bool hasBroken = m_lastError.code == ErrorCode::Unavailable;
                co_return isGone&& hasBroken ? Outcome::RunnerCrashed : Outcome::RunnerLost;
            }
            logEvent(LogLevel::Info, "stream_resumed",
                { { "request_id", m_headers.requestId }, { "organisation", m_headers.organisation }, { "offset", m_delivered } });
            stream = std::move(*resumed);
            continue;
        }
        // The runner ends a cancelled stream in order; its part must not be taken for the whole answer.
        if (chunk->isLast() && m_hasCallerGone)
            co_return Outcome::CallerGone;
        if (chunk->isLast()) {
            const auto usage = chunk->usage.value_or(Usage {});
            report.promptTokens = usage.promptTokens;
            report.cachedTokens = usage.cachedTokens;
            report.importedTokens = usage.importedTokens;
            report.completionTokens = usage.completionTokens;
            finishBlocks(address, report);
            const auto written = co_await writer.finish(chunk->finishReason, usage);
            co_return written ? Outcome::Done : Outcome::CallerGone;
        }
        if (chunk->index < m_delivered)
            continue;
        if (report.firstTokenMs < 0)
            report.firstTokenMs = millisecondsSince(m_attemptStart);
        m_ports.dispatch.noteFirstToken(m_internalId);
        m_importPlan.inFlight.reset();
        const auto written = co_await writer.token(chunk->text);
        if (!written) {
            co_await m_ports.runners.cancel(address, m_internalId);
            co_return Outcome::CallerGone;
        }
        ++m_delivered;
        resumes = 0;
    }
}

bool CompletionTask::isUnreached() const
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

asio::awaitable<void> CompletionTask::refuse(AnswerWriter& writer, const Error& error)
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
