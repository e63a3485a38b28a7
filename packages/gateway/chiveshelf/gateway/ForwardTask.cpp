#include "chiveshelf/gateway/ForwardTask.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Sockets.h"
#include "chiveshelf/http/Message.h"
#include "chiveshelf/http/ResponseChecks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <cinttypes>
#include <cmath>
#include <limits>

namespace chiveshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

    // Longest idle time of a pooled connection that is reused. A non-repeatable request fails if the server closes the connection
    // at the same moment, so it only uses connections that were idle for less time.
    constexpr std::chrono::milliseconds maxIdleForRepeatable { 4'000 };
    constexpr std::chrono::milliseconds maxIdleForNonRepeatable { 1'500 };
    // Keep-alive time of a server that doesn't announce one, and the margin by which connections are dropped before it.
    constexpr std::chrono::milliseconds defaultKeepAlive { 4'000 };
    constexpr std::chrono::milliseconds keepAliveMargin { 500 };
    constexpr std::size_t readPieceBytes = 16 * 1024;
    // Non-streaming responses up to this size are buffered whole, so that a failed one can be retried on another runner.
    constexpr std::size_t maxHeldResponseBytes = 64 * 1024;
    // A repeatable request is retried on another runner after this multiple of its predicted time to the first byte, but not
    // before this multiple of its route's goal.
    constexpr int firstByteTimeoutFactor = 4;
    constexpr double firstByteTimeoutGoals = 1.5;
    // A request that the runner hasn't started is withdrawn this long before the runner's weights expire. Covers the network
    // delay to the runner and a late notice of the newer version.
    constexpr std::chrono::milliseconds weightsMargin { 400 };
    // How often a waiting request checks for a newer version and for a quarantine of its parts. Must be well below
    // GatewaySettings::versionLimit; once a second keeps the timer load low.
    constexpr std::chrono::milliseconds queueCheckInterval { 1'000 };
    // Retry-After of responses while this process stops or has no tables yet: the caller can use another host.
    constexpr std::chrono::milliseconds otherHostRetryAfter { 100 };
    constexpr std::chrono::milliseconds noTablesRetryAfter { 500 };
    // Bound of the random cost (jitter) added to each runner, in ms per host and in total. Keeps hosts that see the same load figures
    // from choosing the same runner. About the work that a host places on a runner between two load notices.
    constexpr double jitterMsPerHost = 0.6;
    constexpr double maxJitterMs = 10;
    // The same bound where hosts announce each prompt at once: the work placed while such a notice is in transit.
    constexpr double maxNearJitterMs = 5;
    // Responses to other requests that are discarded before the request fails.
    constexpr int maxStrayResponses = 4;
    // Longest body of such a response that is read to keep the connection usable.
    constexpr std::size_t maxStrayBodyBytes = 64 * 1024;
    // Interim responses (1xx) accepted before the final response.
    constexpr int maxInterimResponses = 8;
    // A resumable stream moves to another runner after the longest of these times without a complete event: a fixed time, a
    // multiple of the route's goal and a multiple of the route's longest pause. Callers give up after twice as long: two seconds,
    // four goals or eight pauses, whichever is longest.
    constexpr std::chrono::milliseconds minEventTimeout { 1'000 };
    constexpr int eventTimeoutGoals = 2;
    constexpr int eventTimeoutPauses = 4;
    // A stream that broke off waits up to this long since its last data for a runner of its software version that is full or paused,
    // which leaves it time to go on before its caller gives up.
    constexpr std::chrono::milliseconds maxResumeDelay { 1'200 };
    constexpr std::chrono::milliseconds resumeCheckInterval { 50 };

    // Time to read what has already arrived from a runner when a time limit ends.
    constexpr std::chrono::milliseconds arrivedInputTime { 50 };

    constexpr unsigned statusMisdirected = 421;

    std::string_view view(beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }

    bool isSuccess(unsigned status)
    {
        return status >= 200 && status < 300;
    }

    bool isFailure(unsigned status)
    {
        return status >= 500;
    }

    // Whether the status implies that the request was not run.
    bool isNotRunStatus(unsigned status)
    {
        return status == 408 || status == statusMisdirected || status == 429 || status == 503;
    }

}

ForwardTask::ForwardTask(ForwardContext& context, std::shared_ptr<CallerConnection> caller, CallerRequest request)
    : m_context(context)
    , m_tasks(context.tasks)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_deadlineTimer(context.io)
    , m_queueTimer(context.io)
    , m_eventTimer(context.io)
{
    m_tasks->insert(this);
}

ForwardTask::~ForwardTask()
{
    // Timer callbacks that are already queued must not access the task, also if it ended by an exception.
    *m_alive = false;
    m_tasks->erase(this);
    m_caller->stopWatching();
}

std::chrono::milliseconds ForwardTask::timeLeft(TimePoint now) const
{
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now), std::chrono::milliseconds(0));
}

std::optional<LocalResponse> ForwardTask::resolveRoute()
{
    m_index = m_context.state.routes();
    if (!m_index)
        return LocalResponse { 503, "not_ready", "the routing tables are not loaded yet", noTablesRetryAfter };
    const auto& message = m_request.message;
    m_headers = platform::decodeCallerHeaders(message);
    if (m_headers.isAmbiguous)
        return LocalResponse { 400, "invalid_request", "a header that must be unique appears more than once", std::nullopt };
    m_route = m_index->findRoute(view(message[beast::http::field::host]), pathOf(view(message.target())));
    if (!m_route)
        return LocalResponse { 404, "not_found", "no route matches", std::nullopt };
    auto refusal = authorize();
    if (refusal)
        return refusal;
    m_priority = requestPriority(*m_route, m_organisation);
    const auto limit = m_headers.timeLeft ? std::min(m_route->timeLimit, *m_headers.timeLeft) : m_route->timeLimit;
    m_deadline = m_request.arrivedAt + limit;
    // All attempts to resume a stream go to the pool that began it.
    const auto& firstAttemptId = isTakeUp() ? m_headers.firstAttemptId : m_headers.requestId;
    m_pool = RouteIndex::choosePool(*m_route, hash64(firstAttemptId.empty() ? m_headers.requestId : firstAttemptId));
    m_history.emplace(m_route->mayRepeat(), m_route->runLimit);
    m_fingerprint = toHex(hash128(std::string(view(message.target())) + '\n' + m_headers.key + '\n' + message.body()));
    m_crashSubjects = crashSubjects();
    if (mayResume())
        m_binding.emplace(m_context.state, m_context.exchange, m_pool, m_fingerprint, firstAttemptId);
    return std::nullopt;
}

std::optional<LocalResponse> ForwardTask::authorize()
{
    m_organisation = m_headers.key.empty() ? nullptr : m_index->findOrganisation(m_headers.key);
    const bool needsKey = !m_route->isPublic && !m_index->tables().organisations.empty();
    if (needsKey && !m_organisation)
        return LocalResponse { 401, "unauthorized", "unknown API key", std::nullopt };
    return std::nullopt;
}

std::vector<CrashSubject> ForwardTask::crashSubjects() const
{
    std::vector<CrashSubject> out { hash64(m_fingerprint) };
    if (m_headers.prompt) {
        const auto& parts = m_headers.prompt->parts;
        const auto model = hash64(m_headers.prompt->model);
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            out.push_back(parts[i].id ^ model);
    }
    return out;
}

asio::awaitable<void> ForwardTask::run(bool isStopping)
{
    auto localResponse = resolveRoute();
    if (!localResponse && isStopping)
        localResponse = LocalResponse { 503, "stopping", "this host is shutting down", otherHostRetryAfter };
    if (!localResponse && isTakeUp())
        localResponse = co_await resumeStream();
    if (localResponse) {
        co_await respond(localResponse->status, localResponse->code, localResponse->message, localResponse->retryAfter);
        co_return;
    }
    m_context.state.policies(m_pool).retries.onRequest(m_request.arrivedAt);
    startTimers();
    while (true) {
        if (isInterrupted()) {
            co_await finishInterrupted();
            break;
        }
        const auto now = std::chrono::steady_clock::now();
        if (const auto wait = m_context.state.crashEvidence().waitTime(m_crashSubjects, now)) {
            ++m_context.metrics.refusals["quarantined"];
            if (m_history->verdict() == Verdict::NotRun)
                co_await respond(503, "quarantined", "requests like this one have crashed runners", *wait);
            else
                co_await fail();
            break;
        }
        const auto placement = choose(now);
        if (!placement) {
            const bool isRetried = co_await awaitRunner();
            if (isRetried)
                continue;
            co_await refuse(placement.error());
            break;
        }
        const auto result = co_await send(*placement);
        if (result == SendResult::Finished)
            break;
        if (isInterrupted())
            continue;
        if (!m_history->maySendAgain()) {
            co_await fail();
            break;
        }
        // A failed connection put no load on a runner, and the retry of a stalled stream was charged when it was closed.
        const bool isExemptFromBudget = !m_hasReachedRunner || std::exchange(m_isStreamStalled, false);
        if (!isExemptFromBudget && !takeFromRetryBudget()) {
            logOutcome("repeat_denied", "budget");
            co_await fail();
            break;
        }
        ++m_context.metrics.repeats;
    }
    m_deadlineTimer.cancel();
    stopRunnerTimers();
}

asio::awaitable<std::optional<LocalResponse>> ForwardTask::resumeStream()
{
    const auto origin = co_await m_binding->resume();
    const auto name = origin != StreamBinding::Origin::Unknown && m_binding->candidates().empty() ? "version_gone" : streamOriginName(origin);
    ++m_context.metrics.takeUps[std::string(name)];
    logEvent(LogLevel::Info, "stream_taken_up", { { "request", m_headers.requestId }, { "first_attempt", m_headers.firstAttemptId }, { "pool", m_pool }, { "origin", name } });
    // No Retry-After: waiting seldom helps, and the caller can start the stream anew at once.
    if (origin == StreamBinding::Origin::Unknown)
        co_return LocalResponse { 503, "stream_origin_unknown", "it is not known which software version began the stream; start it anew without Last-Event-Id", std::nullopt };
    if (m_binding->candidates().empty())
        co_return LocalResponse { 503, "stream_version_gone", "no runner has the software version that began the stream; start it anew without Last-Event-Id", std::nullopt };
    co_return std::nullopt;
}

asio::awaitable<bool> ForwardTask::awaitRunner()
{
    const auto now = std::chrono::steady_clock::now();
    const bool mayWait = m_hasResponseStarted && isBound() && !m_binding->candidates().empty() && now - m_lastPieceAt < maxResumeDelay;
    if (!mayWait)
        co_return false;
    asio::steady_timer timer(m_context.io, resumeCheckInterval);
    boost::system::error_code ec;
    co_await timer.async_wait(redirect_error(use_awaitable, ec));
    co_return true;
}

asio::awaitable<bool> ForwardTask::isRightIncarnation(const Placement& placement)
{
    const auto& record = placement.runner->record();
    const bool isEngine = m_context.state.policies(m_pool).engine.has_value();
    if (!isBound() || !isEngine || record.bornMs == 0)
        co_return true;
    // The entry may be older than the runner. The connection was made before the report, so that the same process answers on both.
    auto handler = m_context.exchange.countCall(placement.runner);
    const auto report = co_await platform::readWeightReport(m_context.client, record.address, std::move(handler));
    const bool isRight = report && (report->bornMs == 0 || report->bornMs == record.bornMs);
    if (!isRight)
        logOutcome("runner_not_confirmed", record.id);
    co_return isRight;
}

bool ForwardTask::takeFromRetryBudget()
{
    return m_context.state.policies(m_pool).retries.take(m_context.exchange.hostCount(), std::chrono::steady_clock::now());
}

void ForwardTask::startTimers()
{
    armDeadlineTimer(m_deadline);
    m_caller->watchDisconnect([this] {
        m_isCallerDisconnected = true;
        closeRunnerConnection();
    });
}

void ForwardTask::armDeadlineTimer(TimePoint end)
{
    m_deadlineTimer.expires_at(end);
    m_deadlineTimer.async_wait([this, alive = m_alive](boost::system::error_code ec) {
        if (ec || !*alive)
            return;
        // A response that is here is delivered, also if it is a little late.
        if ((hasRunnerInput() || isBodyExpected() || m_isResponseWhole) && !std::exchange(m_isDeadlineExtended, true)) {
            armDeadlineTimer(std::chrono::steady_clock::now() + arrivedInputTime);
            return;
        }
        m_isDeadlineExceeded = true;
        closeRunnerConnection();
        // A response in progress can't be completed any more.
        if (m_hasResponseStarted)
            m_caller->abort();
    });
}

bool ForwardTask::hasRunnerInput() const
{
    boost::system::error_code ec;
    return m_connection && m_connection->socket.is_open() && m_connection->socket.available(ec) > 0;
}

bool ForwardTask::isBodyExpected() const
{
    return m_hasResponseHeader && !m_hasResponseStarted;
}

void ForwardTask::stopRunnerTimers()
{
    m_firstByteLimit.reset();
    m_queueTimer.cancel();
}

void ForwardTask::endBeforeExit()
{
    if (m_hasResponseStarted)
        return;
    m_isExiting = true;
    closeRunnerConnection();
}

std::chrono::milliseconds ForwardTask::eventTimeout() const
{
    return std::max({ minEventTimeout, eventTimeoutGoals * m_route->goal, eventTimeoutPauses * m_route->longestPause });
}

void ForwardTask::armEventTimer(TimePoint end)
{
    m_eventTimer.expires_at(end);
    m_eventTimer.async_wait([this, alive = m_alive, sends = m_history->sends()](boost::system::error_code ec) {
        if (ec || !*alive || m_history->sends() != sends || !m_connection)
            return;
        const auto now = std::chrono::steady_clock::now();
        if (now - m_lastEventAt < eventTimeout()) {
            armEventTimer(m_lastEventAt + eventTimeout());
            return;
        }
        if (hasRunnerInput()) {
            armEventTimer(now + arrivedInputTime);
            return;
        }
        // If no other runner can continue the stream, it stays with its runner.
        const bool isAllowed = m_history->runs() + 1 < m_route->runLimit && m_history->sends() + 1 < AttemptHistory::maxSends;
        if (!isAllowed || !choose(now) || !takeFromRetryBudget()) {
            m_lastEventAt = now;
            armEventTimer(m_lastEventAt + eventTimeout());
            return;
        }
        m_isStreamStalled = true;
        m_connection->close();
    });
}

void ForwardTask::closeRunnerConnection()
{
    if (m_connection)
        m_connection->close();
}

std::chrono::milliseconds ForwardTask::weightsTimeLeft(const Placement& placement) const
{
    const auto version = m_headers.prompt ? placement.runner->version(m_headers.prompt->model) : std::nullopt;
    const auto end = version ? m_context.state.weightsExpiry(m_headers.prompt->model, *version) : std::nullopt;
    if (!end)
        return std::chrono::milliseconds::max();
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(*end - bootTime()) - weightsMargin, std::chrono::milliseconds(0));
}

void ForwardTask::armQueueTimer(const Placement& placement)
{
    // A newer version may be announced, and a part of the prompt quarantined, while the request waits.
    m_queueTimer.expires_after(std::clamp(weightsTimeLeft(placement), hasRunnerInput() ? arrivedInputTime : std::chrono::milliseconds(0), queueCheckInterval));
    m_queueTimer.async_wait([this, placement, alive = m_alive, sends = m_history->sends()](boost::system::error_code ec) {
        if (ec || !*alive || m_history->sends() != sends || m_hasResponseStarted || m_hasResponseHeader)
            return;
        const bool isProven = m_context.state.crashEvidence().isProven(m_crashSubjects, std::chrono::steady_clock::now());
        if (hasRunnerInput() || (weightsTimeLeft(placement).count() > 0 && !isProven)) {
            armQueueTimer(placement);
            return;
        }
        // Applies to non-repeatable requests too: the runner drops the request from its queue, and the caller gets its final
        // response.
        m_isRunnerOverdue = true;
        closeRunnerConnection();
    });
}

void ForwardTask::startFirstByteLimit(const Placement& placement)
{
    if (!m_route->mayRepeat() || m_history->runs() + 1 >= m_route->runLimit)
        return;
    const auto goal = std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(m_route->goal.count()) * firstByteTimeoutGoals));
    limitFirstByte(std::max(placement.predicted * firstByteTimeoutFactor, goal));
}

void ForwardTask::limitFirstByte(std::chrono::milliseconds limit)
{
    m_firstByteLimit.emplace(m_context.io.get_executor(), limit, [this] {
        if (m_hasResponseStarted)
            return;
        if (hasRunnerInput()) {
            limitFirstByte(arrivedInputTime);
            return;
        }
        m_isRunnerOverdue = true;
        closeRunnerConnection();
    });
}

PlacementResult ForwardTask::choose(TimePoint now)
{
    auto& state = m_context.state;
    auto& policies = state.policies(m_pool);
    PlacementContext context;
    context.now = now;
    context.bootNow = bootTime();
    context.dataCentre = m_context.settings.dataCentre;
    context.excluded = m_excludedRunners;
    context.goal = m_route->goal;
    context.longestPause = m_route->longestPause;
    context.timeLeft = timeLeft(now);
    const auto hosts = static_cast<double>(m_context.exchange.hostCount());
    context.nearJitterMs = std::min(jitterMsPerHost * hosts, maxNearJitterMs);
    context.jitterMs = m_context.exchange.isSmallFleet() ? context.nearJitterMs : std::min(jitterMsPerHost * hosts, maxJitterMs);
    context.isRetry = state.isLikelyRetry(m_route->name, m_headers.timeLeft, m_route->goal);
    const auto candidates = isBound() ? m_binding->candidates() : BackendDirectory::RunnerList();
    const auto& allRunners = isBound() ? candidates : state.backendDirectory().runnersOf(m_pool);
    // A runner that broke the stream off may be the only one left at which it can go on.
    const bool areAllExcluded = isBound() && std::all_of(allRunners.begin(), allRunners.end(), [this](const auto& runner) {
        return std::find(m_excludedRunners.begin(), m_excludedRunners.end(), runner->record().id) != m_excludedRunners.end();
    });
    if (areAllExcluded)
        context.excluded = {};
    auto& suspicions = m_context.exchange.suspicions();
    const auto selected = suspicions.hasReports() ? suspicions.selectRunners(allRunners, context) : BackendDirectory::RunnerList();
    const auto& runners = suspicions.hasReports() ? selected : allRunners;
    if (!policies.engine || !m_headers.prompt)
        return policies.service.choose(context, runners, state.random());
    const auto request = engineRequest();
    return policies.engine->choose(request, context, runners, state.cacheStores(), state.random());
}

EngineRequest ForwardTask::engineRequest() const
{
    EngineRequest request;
    request.prompt = &*m_headers.prompt;
    if (m_organisation && m_organisation->isDedicated)
        request.dedicatedOrganisation = m_organisation->name;
    request.priority = m_priority;
    request.newestVersion = m_context.state.newestVersion(m_headers.prompt->model);
    request.requiredVersion = m_context.state.requiredVersion(m_headers.prompt->model, bootTime());
    request.weightsExpiry = [this](std::uint64_t version) { return m_context.state.weightsExpiry(m_headers.prompt->model, version); };
    request.storeFetchTime = [this](std::uint64_t version) { return m_context.state.storeFetchTime(m_headers.prompt->model, version, bootTime()); };
    return request;
}

asio::awaitable<bool> ForwardTask::connect(const Placement& placement)
{
    const auto& record = placement.runner->record();
    const auto now = std::chrono::steady_clock::now();
    // Without a request id, a late response to the previous request on a reused connection could be relayed as the response to
    // this one.
    if (!m_headers.requestId.empty())
        m_connection = m_context.backends.takeIdle(record, m_route->mayRepeat() ? maxIdleForRepeatable : maxIdleForNonRepeatable, now);
    if (m_connection)
        co_return true;
    const auto address = record.address;
    const auto connected = co_await m_context.backends.connect(address, m_connection);
    if (connected)
        co_return true;
    if (!isInterrupted()) {
        const auto failedAt = std::chrono::steady_clock::now();
        placement.runner->health().onConnectionFailed(failedAt);
        placement.runner->suspectRestart(failedAt);
        m_context.exchange.suspicions().onConnectionFailed(placement.runner->number(), now, failedAt);
        logOutcome("connect_failed", record.id);
    }
    co_return false;
}

void ForwardTask::addTransfers(platform::RunnerRequestHeaders& order, const Placement& placement) const
{
    const auto bootNow = bootTime();
    order.saveTo = placement.saveTo;
    order.fetchFrom = placement.fetchFrom;
    if (placement.maxFetchTime)
        order.fetchUntilMs = m_context.state.runnerClock().after(*placement.maxFetchTime, bootNow);
    if (!placement.fetchesFromStore)
        return;
    const auto end = m_context.state.storeFetchEnd(m_headers.prompt->model, *placement.transferVersion, bootNow);
    if (!end) {
        // The time has passed while the connection was established. The prompt is prefilled.
        order.fetchFrom.clear();
        return;
    }
    order.fetchUntilMs = std::min(order.fetchUntilMs.value_or(*end), *end);
}

std::string ForwardTask::formatRequestHeader(const Placement& placement) const
{
    const auto& message = m_request.message;
    std::string out;
    out.reserve(1'024);
    out.append(view(message.method_string())).append(" ").append(view(message.target())).append(" HTTP/1.1\r\n");
    platform::RunnerRequestHeaders order;
    const auto& record = placement.runner->record();
    const auto now = std::chrono::steady_clock::now();
    order.timeLeft = m_headers.timeLeft ? std::min(timeLeft(now), *m_headers.timeLeft) : timeLeft(now);
    order.runnerId = record.id;
    if (m_organisation)
        order.organisation = m_organisation->name;
    if (m_headers.prompt) {
        order.priority = m_priority;
        order.version = placement.runner->version(m_headers.prompt->model);
        // Cached parts must not be shared with other requests while the runner's version is unknown.
        order.cacheScope = order.version ? cacheScope(engineRequest(), *order.version).text() : "request/" + m_headers.requestId;
        if (order.version && order.version == placement.transferVersion)
            addTransfers(order, placement);
    }
    order.lastEventId = m_cursor.lastId();
    platform::appendRunnerHeaders(out, message, order);
    const bool hasBody = !message.body().empty() || message.count(beast::http::field::content_length) > 0
        || message.count(beast::http::field::transfer_encoding) > 0;
    if (hasBody)
        out.append("Content-Length: ").append(std::to_string(message.body().size())).append("\r\n");
    out.append("\r\n");
    return out;
}

asio::awaitable<bool> ForwardTask::writeRequest(const Placement& placement)
{
    const auto connection = m_connection;
    const auto header = formatRequestHeader(placement);
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(header), asio::buffer(m_request.message.body()) };
    boost::system::error_code ec;
    const auto n = co_await asio::async_write(connection->socket, buffers, redirect_error(use_awaitable, ec));
    m_hasWriteFailed = static_cast<bool>(ec);
    // If not a single byte was sent, the runner can't have received the request.
    if (ec && n == 0)
        co_return false;
    co_return true;
}

asio::awaitable<bool> ForwardTask::reachRunner(const Placement& placement)
{
    auto& runner = *placement.runner;
    // Counted before the connection is established, so that requests which arrive meanwhile don't use the same permit.
    const bool isCounted = m_context.exchange.countSend(runner);
    std::optional<WarmUpReservation> reservation(runner.warmUpQuota());
    bool isConnected = co_await connect(placement);
    if (isConnected)
        isConnected = co_await isRightIncarnation(placement);
    m_caller->checkDisconnect();
    isConnected = isConnected && !isInterrupted();
    const auto now = std::chrono::steady_clock::now();
    // Without this request's own reservation, the quota tells whether there is room for it now.
    reservation.reset();
    const bool isTaken = (!isCounted && !runner.requestLimit().hasPermit(now)) || (runner.isWarmingUp(now) && !runner.warmUpQuota().hasRoom(now));
    if (!isConnected || runner.isLeaving() || runner.isPaused(now) || runner.isEvacuated() || isTaken) {
        if (isCounted)
            runner.requestLimit().undoSend();
        closeRunnerConnection();
        co_return false;
    }
    runner.warmUpQuota().recordSend(now);
    m_context.metrics.warmUpSends += runner.isWarmingUp(now) ? 1 : 0;
    if (isCounted || m_context.exchange.countSend(runner)) {
        m_context.exchange.announceSend(runner);
        ++m_context.metrics.limitedSends[runner.record().id];
    }
    co_return true;
}

asio::awaitable<ForwardTask::SendResult> ForwardTask::send(const Placement& placement)
{
    const auto runner = placement.runner;
    m_excludedRunners.push_back(runner->record().id);
    if (!co_await reachRunner(placement)) {
        m_history->record(Verdict::NotRun);
        co_return SendResult::Failed;
    }
    RunnerUse use(placement, std::chrono::steady_clock::now());
    m_hasReachedRunner = true;
    m_context.metrics.capacityProbes += placement.isProbe ? 1 : 0;
    logResumption(runner->record());
    m_context.exchange.crashNotices().onSend(m_crashSubjects, use.sentAt());
    auto& engine = m_context.state.policies(m_pool).engine;
    if (m_headers.prompt && engine) {
        const auto request = engineRequest();
        engine->recordSend(request, placement, m_context.state.cacheStores(), std::chrono::steady_clock::now());
        m_context.exchange.announcePlacement(placement, m_priority, m_headers.prompt->parts, cacheScopeHash(request.dedicatedOrganisation));
    }
    m_isRunnerOverdue = false;
    if (m_headers.prompt)
        armQueueTimer(placement);
    if (!co_await writeRequest(placement))
        co_return recordFailure(use, Verdict::NotRun, false, "connection_closed");
    use.recordWritten(std::chrono::steady_clock::now());
    // Only now, so that the time which the request takes to leave this host isn't taken for the runner's.
    startFirstByteLimit(placement);
    std::unique_ptr<Parser> parser;
    if (!co_await readResponseHeader(parser, use))
        co_return recordFailure(use, Verdict::MayHaveRun, m_hasLostConnection, m_isRunnerOverdue ? "silent" : m_readError);
    // The runner has begun to answer. The start of the body may have been read with the header, so that the old limit doesn't see it.
    m_hasResponseHeader = true;
    startFirstByteLimit(placement);
    const auto result = co_await handleResponse(*parser, use);
    m_hasResponseHeader = false;
    stopRunnerTimers();
    co_return result;
}

void ForwardTask::recordReadError(const boost::system::error_code& ec)
{
    m_readError = ec.message();
    const bool isEnd = ec == beast::http::error::end_of_stream || ec == beast::http::error::partial_message;
    const bool isParserError = ec.category() == beast::http::make_error_code(beast::http::error::end_of_stream).category();
    // A connection that this host closed itself is no sign of a runner failure.
    m_hasLostConnection = (isEnd || !isParserError) && !m_isRunnerOverdue && !m_isStreamStalled && !isInterrupted();
}

void ForwardTask::updateRunnerState(const platform::RunnerHeaders& headers, unsigned status, BackendState& runner)
{
    const bool wasLeaving = runner.isLeaving();
    m_context.exchange.applyAnswer(runner, headers, status);
    if (runner.isLeaving() && !wasLeaving)
        m_context.backends.drop(runner.record());
}

asio::awaitable<bool> ForwardTask::readResponseHeader(std::unique_ptr<Parser>& parser, RunnerUse& use)
{
    const auto connection = m_connection;
    int interims = 0;
    int strays = 0;
    m_hasLostConnection = false;
    m_readError = "too many interim responses or responses to other requests";
    while (strays < maxStrayResponses && interims < maxInterimResponses) {
        parser = std::make_unique<Parser>();
        parser->header_limit(BackendConnection::maxHeaderBytes);
        parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        if (m_request.message.method() == beast::http::verb::head)
            parser->skip(true);
        boost::system::error_code ec;
        co_await beast::http::async_read_header(connection->socket, connection->buffer, *parser, redirect_error(use_awaitable, ec));
        if (ec) {
            recordReadError(ec);
            co_return false;
        }
        const auto receivedAt = std::chrono::steady_clock::now();
        use.runner().health().onDataReceived(receivedAt);
        m_context.exchange.suspicions().onRunnerData(use.runner().number(), receivedAt);
        if (http::hasTooManyFields(parser->get())) {
            m_readError = "too many header fields";
            co_return false;
        }
        const auto status = parser->get().result_int();
        // Checked before the headers are evaluated: neither a proof nor a state of the runner counts in a response that isn't valid.
        if (!http::isValidStatus(status)) {
            m_readError = "invalid status " + std::to_string(status);
            co_return false;
        }
        if (status < 200) {
            ++interims;
            continue;
        }
        const auto headers = platform::decodeRunnerHeaders(parser->get());
        updateRunnerState(headers, status, use.runner());
        const bool isStray = !m_headers.requestId.empty() && !headers.requestId.empty() && headers.requestId != m_headers.requestId;
        if (!isStray)
            co_return true;
        ++strays;
        ++m_context.metrics.strayResponses;
        logOutcome("stray_answer", headers.requestId);
        if (!co_await discardResponse(*parser))
            co_return false;
    }
    co_return false;
}

asio::awaitable<bool> ForwardTask::discardResponse(Parser& parser)
{
    const auto connection = m_connection;
    std::string piece(readPieceBytes, '\0');
    std::size_t n = 0;
    while (!parser.is_done() && n <= maxStrayBodyBytes) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        boost::system::error_code ec;
        co_await beast::http::async_read_some(connection->socket, connection->buffer, parser, redirect_error(use_awaitable, ec));
        if (ec && ec != beast::http::error::need_buffer) {
            recordReadError(ec);
            co_return false;
        }
        n += piece.size() - parser.get().body().size;
    }
    m_readError = "a response to another request is too long";
    co_return parser.is_done() && parser.keep_alive();
}

bool ForwardTask::provesNotRun(const platform::RunnerHeaders& headers, unsigned status) const
{
    if (!headers.isNotRun && status != statusMisdirected)
        return false;
    // On a reused connection, a refusal without a request id may be a late response to the previous request.
    return m_headers.requestId.empty() || !headers.requestId.empty() || !m_connection->isReused;
}

bool ForwardTask::isRunnerResponse(const platform::RunnerHeaders& headers, unsigned status) const
{
    if (!headers.isSealed || headers.isEncoded)
        return false;
    if (!m_headers.requestId.empty() && headers.requestId.empty())
        return false;
    // Excludes refusal statuses: provesNotRun() found no proof that the request was not run, so the response can't be trusted.
    return isSuccess(status) || !isNotRunStatus(status);
}

bool ForwardTask::isFromRunner(const platform::RunnerHeaders& headers, unsigned status, const BackendState& runner) const
{
    // Another server at the runner's address refuses requests with its own id.
    if (status == statusMisdirected && !headers.runnerId.empty() && headers.runnerId != runner.record().id)
        return false;
    return provesNotRun(headers, status) || isRunnerResponse(headers, status);
}

ForwardTask::SendResult ForwardTask::recordFailure(RunnerUse& use, Verdict verdict, bool isBroken, std::string_view reason)
{
    const auto now = std::chrono::steady_clock::now();
    const auto& id = use.runner().record().id;
    stopRunnerTimers();
    if (!isInterrupted())
        use.end(verdict != Verdict::NotRun, now);
    m_history->record(verdict);
    if (m_connection)
        m_connection->close();
    if (isBroken) {
        use.runner().suspectRestart(now);
        logLostRunner(id);
        reportLostRunner(use, now);
    }
    if (m_isRunnerOverdue)
        m_context.backends.drop(use.runner().record());
    logOutcome("send_failed", reason);
    return SendResult::Failed;
}

void ForwardTask::reportLostRunner(const RunnerUse& use, TimePoint now)
{
    if (!use.isAnswering(CrashEvidence::maxAnswerAge, now))
        m_context.exchange.crashNotices().report(use.placement().runner->number(), { m_crashSubjects.front(), m_crashSubjects }, now);
}

void ForwardTask::logLostRunner(const std::string& runner) const
{
    std::string parts;
    if (m_headers.prompt) {
        for (const auto& part : m_headers.prompt->parts) {
            char text[24];
            std::snprintf(text, sizeof(text), "%s%" PRIx64, parts.empty() ? "" : ",", part.id);
            parts += text;
        }
    }
    logEvent(LogLevel::Info, "runner_lost", { { "runner", runner }, { "request", m_headers.requestId }, { "fingerprint", m_fingerprint }, { "parts", parts } });
}

ForwardTask::SendResult ForwardTask::recordRefusal(RunnerUse& use, const platform::RunnerHeaders& headers, unsigned status)
{
    const auto now = std::chrono::steady_clock::now();
    auto& runner = use.runner();
    use.end(false, now);
    m_history->record(Verdict::NotRun);
    const bool isOtherServer = status == statusMisdirected && !headers.runnerId.empty() && headers.runnerId != runner.record().id;
    if (isOtherServer) {
        // Another server uses this address now, so the chosen runner can't be reached, whatever the registry says.
        runner.health().onConnectionFailed(now);
    } else if (status == statusMisdirected && m_headers.prompt) {
        if (headers.weightVersion)
            runner.setVersion(m_headers.prompt->model, *headers.weightVersion);
        else if (const auto newest = m_context.state.newestVersion(m_headers.prompt->model); newest > 0)
            runner.setVersion(m_headers.prompt->model, newest);
    }
    logOutcome("runner_refused", std::to_string(status));
    return SendResult::Failed;
}

asio::awaitable<ForwardTask::SendResult> ForwardTask::handleResponse(Parser& parser, RunnerUse& use)
{
    const auto status = parser.get().result_int();
    const auto headers = platform::decodeRunnerHeaders(parser.get());
    auto& runner = use.runner();
    const auto now = std::chrono::steady_clock::now();
    if (headers.load)
        runner.setLoadReport(*headers.load, now);
    if (headers.weightVersion && m_headers.prompt && status != statusMisdirected)
        runner.setVersion(m_headers.prompt->model, *headers.weightVersion);
    if (isFromRunner(headers, status, runner) && !headers.isRequestLimitUnreadable)
        m_context.exchange.applyLimit(runner, headers.requestLimit, use.sentAt());
    if (provesNotRun(headers, status)) {
        const auto result = recordRefusal(use, headers, status);
        m_connection->close();
        co_return result;
    }
    if (!isRunnerResponse(headers, status))
        co_return recordFailure(use, Verdict::MayHaveRun, false, "not_an_answer");
    // A response that was started can only be continued by another successful one.
    const bool isUnusable = m_hasResponseStarted ? !isSuccess(status) : isFailure(status);
    if (isUnusable && m_route->mayRepeat() && m_history->runs() + 1 < m_route->runLimit) {
        auto result = recordFailure(use, Verdict::Ran, false, "runner_error");
        co_return result;
    }
    if (m_hasResponseStarted && !isSuccess(status)) {
        recordFailure(use, Verdict::Ran, false, "resume_refused");
        abortAnswer("resume_refused");
        co_return SendResult::Finished;
    }
    const auto relayResult = co_await relay(parser, use);
    if (relayResult == RelayResult::CallerDisconnected || isInterrupted()) {
        m_history->record(Verdict::Ran);
        m_connection->close();
        co_await finishInterrupted();
        co_return SendResult::Finished;
    }
    if (relayResult == RelayResult::Complete) {
        const auto end = std::chrono::steady_clock::now();
        use.end(isFailure(status), end);
        m_history->record(Verdict::Ran);
        if (!isFailure(status))
            recordAnswer(use, end);
        learnCapacity(status, use);
        releaseConnection(parser, headers, use);
        ++m_context.metrics.requests["answered"];
        logOutcome("answered", runner.record().id);
        co_return SendResult::Finished;
    }
    recordFailure(use, Verdict::Ran, m_hasLostConnection, m_isStreamStalled ? "stalled" : "answer_broken");
    const bool mayContinue = !m_hasResponseStarted || mayResume();
    if (mayContinue) {
        m_cursor.discardPartial();
        m_context.metrics.resumes += m_hasResponseStarted ? 1 : 0;
        co_return SendResult::Failed;
    }
    abortAnswer(m_isStreamStalled ? "stalled" : "answer_broken");
    co_return SendResult::Finished;
}

void ForwardTask::abortAnswer(std::string_view reason)
{
    ++m_context.metrics.requests["failed"];
    logOutcome("cut", reason);
    m_caller->abort();
}

ForwardTask::Framing ForwardTask::framingFor(const Parser& parser) const
{
    const auto status = parser.get().result_int();
    if (m_request.message.method() == beast::http::verb::head || status == 204 || status == 304)
        return Framing::None;
    // A resumed stream may become longer than the Content-Length of its first runner.
    if (parser.content_length() && !mayResume())
        return Framing::Length;
    return m_request.message.version() >= 11 ? Framing::Chunks : Framing::Close;
}

std::string ForwardTask::formatResponseHeader(const Parser& parser, Framing framing) const
{
    const auto& response = parser.get();
    std::string out = "HTTP/1.1 " + std::to_string(response.result_int()) + " " + std::string(view(response.reason())) + "\r\n";
    const auto options = view(response[beast::http::field::connection]);
    for (const auto& field : response) {
        const auto name = view(field.name_string());
        const bool isLength = field.name() == beast::http::field::content_length;
        if (platform::isHopByHop(name, options) || (isLength && framing != Framing::None && framing != Framing::Length))
            continue;
        out.append(name).append(": ").append(view(field.value())).append("\r\n");
    }
    if (framing == Framing::Chunks)
        out += "Transfer-Encoding: chunked\r\n";
    if (!m_caller->isKeepAlive() || framing == Framing::Close)
        out += "Connection: close\r\n";
    return out + "\r\n";
}

std::string ForwardTask::applyFraming(std::string bytes, Framing framing) const
{
    if (framing != Framing::Chunks || bytes.empty())
        return bytes;
    char chunkHeader[24];
    std::snprintf(chunkHeader, sizeof(chunkHeader), "%zx\r\n", bytes.size());
    return chunkHeader + std::move(bytes) + "\r\n";
}

void ForwardTask::handleFirstByte(RunnerUse& use)
{
    if (use.hasFirstByte())
        return;
    stopRunnerTimers();
    const auto elapsed = use.recordFirstByte(std::chrono::steady_clock::now());
    if (isLogged(LogLevel::Debug)) {
        const auto& prediction = use.placement();
        logEvent(LogLevel::Debug, "request_first_byte", { { "request", m_headers.requestId }, { "route", m_route->name }, { "priority", m_priority }, { "runner", use.runner().record().id }, { "predicted_ms", prediction.predicted.count() }, { "wait_ms", prediction.wait.count() }, { "fetch_tokens", prediction.work.fetchTokens }, { "prompt_tokens", m_headers.prompt ? m_headers.prompt->promptTokens : 0 }, { "measured_ms", elapsed.count() } });
    }
    auto& metrics = m_context.metrics;
    const auto& placement = use.placement();
    ++metrics.predictions;
    metrics.predictedMs += static_cast<double>(placement.predicted.count());
    metrics.measuredMs += static_cast<double>(elapsed.count());
    metrics.predictionErrorMs += std::abs(static_cast<double>((placement.predicted - elapsed).count()));
    if (!m_headers.prompt)
        m_context.state.policies(m_pool).service.learnServiceTime(elapsed);
    else
        EnginePlacement::learn(placement, m_context.state.cacheStores(), elapsed, std::chrono::steady_clock::now());
}

void ForwardTask::learnCapacity(unsigned status, const RunnerUse& use)
{
    const bool isEngine = m_context.state.policies(m_pool).engine.has_value();
    if (isEngine || !isSuccess(status) || use.placement().learnedLoad == 0)
        return;
    // The end of a stream, or of a response that wasn't held back whole, may depend on the speed of the caller.
    const auto end = m_isResponseHeld ? std::max(m_lastPieceAt, use.firstByteAt()) : use.firstByteAt();
    ServicePlacement::learnCapacity(use.placement(), end - use.writtenAt(), std::chrono::steady_clock::now());
    ++m_context.metrics.capacitySamples;
}

void ForwardTask::recordBodyPiece(const Parser& parser, RunnerUse& use)
{
    const auto now = std::chrono::steady_clock::now();
    use.runner().health().onDataReceived(now);
    m_context.exchange.crashNotices().onRunnerData(use.runner().number(), now);
    m_context.exchange.suspicions().onRunnerData(use.runner().number(), now);
    if (use.hasFirstByte())
        m_longestPieceGap = std::max(m_longestPieceGap, std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastPieceAt));
    m_lastPieceAt = now;
    if (m_binding)
        m_binding->onData(use.runner());
    handleFirstByte(use);
    if (!isFailure(parser.get().result_int()) && use.isAnswering(CrashEvidence::maxAnswerAge, now))
        recordAnswer(use, now);
}

void ForwardTask::recordAnswer(RunnerUse& use, TimePoint now)
{
    if (use.recordAnswer())
        m_context.exchange.crashNotices().onAnswer(m_crashSubjects, now);
}

void ForwardTask::recordBodyEnd(const Parser& parser, const EventBoundary& events, std::string_view end)
{
    const bool isUnframed = parser.need_eof();
    if (isUnframed)
        ++m_context.metrics.unframedAnswers[end == "closed" ? "closed" : "failed"];
    if (!isUnframed && !events.isInsideEvent())
        return;
    const auto level = events.isInsideEvent() ? LogLevel::Info : LogLevel::Debug;
    if (!isLogged(level))
        return;
    logEvent(level, "answer_body_ended",
        { { "request", m_headers.requestId }, { "runner", m_excludedRunners.back() }, { "framing", isUnframed ? "close" : "explicit" }, { "end", end },
            { "events", events.events() }, { "inside_event", events.isInsideEvent() } });
}

bool ForwardTask::isEndTrusted(const Parser& parser) const
{
    // A failed write consumes the error of a reset connection, and the read after it reports an orderly end. A write that succeeded may
    // still be in the send buffer, and a reset that follows an orderly close is not reported by the read.
    return !parser.need_eof() || (!m_hasWriteFailed && isAllAcknowledged(m_connection->socket));
}

bool ForwardTask::isStreamWhole(const Parser& parser, const EventBoundary& events)
{
    // Without a length and chunks, a connection that was closed before the first event doesn't tell a failed run from an empty one.
    return !events.isInsideEvent() && (!parser.need_eof() || events.events() > 0);
}

asio::awaitable<ForwardTask::RelayResult> ForwardTask::relay(Parser& parser, RunnerUse& use)
{
    const auto connection = m_connection;
    const auto framing = framingFor(parser);
    const bool isStream = m_route->kind == RequestKind::Stream && isSuccess(parser.get().result_int());
    std::string pending = m_hasResponseStarted ? std::string() : formatResponseHeader(parser, framing);
    const bool isTracked = mayResume() && isStream;
    std::string piece(readPieceBytes, '\0');
    EventBoundary events;
    HeldBytes heldBytes(m_context.heldBytes);
    if (isTracked) {
        m_lastEventAt = std::chrono::steady_clock::now();
        armEventTimer(m_lastEventAt + eventTimeout());
    }
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        boost::system::error_code ec;
        co_await beast::http::async_read_some(connection->socket, connection->buffer, parser, redirect_error(use_awaitable, ec));
        if (isInterrupted())
            co_return RelayResult::CallerDisconnected;
        const auto n = piece.size() - parser.get().body().size;
        bool hasEvents = false;
        if (n > 0) {
            recordBodyPiece(parser, use);
            const std::string_view bytes(piece.data(), n);
            if (isStream)
                events.scan(bytes);
            auto whole = isTracked ? m_cursor.take(bytes) : std::string(bytes);
            hasEvents = isTracked && !whole.empty();
            if (hasEvents) {
                m_lastEventAt = std::chrono::steady_clock::now();
                m_binding->onEvents(use.runner());
            }
            pending += applyFraming(std::move(whole), framing);
        }
        const bool isHeld = heldBytes.resize(isTracked ? m_cursor.partialBytes() : pending.size());
        m_context.metrics.unheldResponses += isHeld ? 0 : 1;
        const bool isEventGivenUp = isTracked && (!isHeld || m_cursor.isPartialTooLong());
        const bool isBroken = (ec && ec != beast::http::error::need_buffer) || isEventGivenUp;
        if (ec && ec != beast::http::error::need_buffer) {
            recordReadError(ec);
            recordBodyEnd(parser, events, m_readError);
        }
        // Complete events received before the failure are relayed, since another runner resumes after them.
        if (isBroken && !hasEvents)
            co_return RelayResult::RunnerFailed;
        // A response that can't be held back any more is passed on, and can't be retried after that.
        const bool isBuffered = !isStream && isHeld && pending.size() < maxHeldResponseBytes;
        if (!pending.empty() && n > 0 && !isBuffered) {
            m_hasResponseStarted = true;
            auto bytes = std::move(pending);
            pending.clear();
            if (!co_await m_caller->write(std::move(bytes)))
                co_return RelayResult::CallerDisconnected;
        }
        if (isBroken)
            co_return RelayResult::RunnerFailed;
    }
    handleFirstByte(use);
    recordBodyEnd(parser, events, "closed");
    // The parser adds the trailers to the fields of the header.
    if (http::hasTooManyFields(parser.get()))
        co_return RelayResult::RunnerFailed;
    const bool isWhole = framing == Framing::None || (isEndTrusted(parser) && (!isStream || isStreamWhole(parser, events)));
    if (!isWhole) {
        m_hasLostConnection = parser.need_eof();
        co_return RelayResult::RunnerFailed;
    }
    if (isTracked)
        pending += applyFraming(m_cursor.finish(), framing);
    if (framing == Framing::Chunks)
        pending += "0\r\n\r\n";
    if (framing == Framing::Close)
        m_caller->setKeepAlive(false);
    m_isResponseHeld = !m_hasResponseStarted;
    m_hasResponseStarted = true;
    m_isResponseWhole = true;
    if (!pending.empty() && !co_await m_caller->write(std::move(pending)))
        co_return RelayResult::CallerDisconnected;
    co_return RelayResult::Complete;
}

void ForwardTask::releaseConnection(const Parser& parser, const platform::RunnerHeaders& headers, const RunnerUse& use)
{
    // Bytes after a complete response belong to no request.
    const bool isClean = parser.keep_alive() && !parser.need_eof() && m_connection->buffer.size() == 0;
    if (!isClean || m_headers.requestId.empty() || use.placement().runner->isLeaving()) {
        m_connection->close();
        return;
    }
    const auto keepAliveTime = headers.keepAlive ? std::chrono::milliseconds(*headers.keepAlive) : defaultKeepAlive;
    m_connection->idleLimit = std::max(keepAliveTime - keepAliveMargin, std::chrono::milliseconds(0));
    // The present tables, since the request may have taken long.
    const auto* pool = m_context.state.routes()->findPool(m_pool);
    const auto maxIdle = BackendPool::maxIdle(pool ? pool->maxConnections : 0, m_context.exchange.hostCount());
    m_context.backends.putBack(use.placement().runner->record(), std::move(m_connection), maxIdle, std::chrono::steady_clock::now());
}

asio::awaitable<void> ForwardTask::respond(unsigned status, std::string_view code, std::string message, std::optional<std::chrono::milliseconds> retryAfter)
{
    ++m_context.metrics.requests[status >= 500 ? (status == 503 ? "refused" : "failed") : "rejected"];
    logOutcome("own_answer", code);
    LocalResponse localResponse;
    localResponse.status = status;
    localResponse.code = code;
    localResponse.message = std::move(message);
    localResponse.retryAfter = retryAfter;
    co_await m_caller->respond(std::move(localResponse));
}

asio::awaitable<void> ForwardTask::refuse(const PlacementRefusal& refusal)
{
    ++m_context.metrics.refusals[std::string(refusalReasonName(refusal.reason))];
    if (m_history->verdict() != Verdict::NotRun || m_hasResponseStarted) {
        co_await fail();
        co_return;
    }
    auto retryAfter = refusal.retryAfter;
    if (refusal.reason == RefusalReason::Limited) {
        const auto now = std::chrono::steady_clock::now();
        const auto perSecond = refusal.permitsPerSecond / static_cast<double>(m_context.exchange.hostCount());
        retryAfter = m_context.state.policies(m_pool).returns.next(retryAfter, perSecond, longestRetryWait(timeLeft(now)), now);
    }
    const auto message = "no runner can serve the request in time; predicted wait " + std::to_string(refusal.predicted.count()) + " ms";
    co_await respond(503, refusalReasonName(refusal.reason), message, retryAfter);
}

asio::awaitable<void> ForwardTask::fail()
{
    if (m_hasResponseStarted) {
        abortAnswer("not_resumed");
        co_return;
    }
    if (m_history->verdict() == Verdict::NotRun) {
        const auto pause = jitteredRetryAfter(otherHostRetryAfter, timeLeft(std::chrono::steady_clock::now()), m_context.state.random());
        co_await respond(503, "refused_by_runners", "no runner accepted the request", pause);
        co_return;
    }
    co_await respond(502, "runner_failed", "the request may have run, but no valid response was received", std::nullopt);
}

asio::awaitable<void> ForwardTask::finishInterrupted()
{
    const bool mayHaveRun = m_history->verdict() != Verdict::NotRun;
    if (m_isExiting && !m_isCallerDisconnected && !m_hasResponseStarted) {
        if (mayHaveRun)
            co_await respond(504, "stopping", "this host is shutting down; the request may have run", std::nullopt);
        else
            co_await respond(503, "stopping", "this host is shutting down", otherHostRetryAfter);
        co_return;
    }
    if (m_isDeadlineExceeded && !m_hasResponseStarted) {
        if (mayHaveRun)
            co_await respond(504, "time_up", "the request's deadline has passed", std::nullopt);
        else
            co_await respond(503, "time_up", "the request's deadline has passed", otherHostRetryAfter);
        co_return;
    }
    ++m_context.metrics.requests[m_isDeadlineExceeded ? "time_up" : "caller_gone"];
    logOutcome("ended", m_isDeadlineExceeded ? "time_up" : "caller_gone");
    m_caller->abort(m_isDeadlineExceeded ? CloseReason::BrokenResponse : CloseReason::CallerGone);
}

void ForwardTask::logResumption(const RunnerRecord& runner) const
{
    if (!isTakeUp() && !(mayResume() && m_hasResponseStarted))
        return;
    ++m_context.metrics.streamResumptions[m_hasResponseStarted ? "within_answer" : "by_caller"];
    logEvent(LogLevel::Info, "stream_resumed", { { "request", m_headers.requestId }, { "first_attempt", m_headers.firstAttemptId }, { "by", m_hasResponseStarted ? "host" : "caller" }, { "runner", runner.id }, { "software", runner.softwareVersion } });
}

void ForwardTask::logOutcome(std::string_view outcome, std::string_view reason) const
{
    // A caller that leaves before its request was sent to a runner is rare, and may be one that was wrongly taken for gone.
    const bool isUnsentGone = reason == "caller_gone" && (!m_history || m_history->sends() == 0);
    const bool isDebugOnly = outcome == "answered" || reason == "overloaded" || (reason == "caller_gone" && !isUnsentGone);
    if (isDebugOnly && !isLogged(LogLevel::Debug))
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_request.arrivedAt);
    logEvent(isDebugOnly ? LogLevel::Debug : LogLevel::Info, "request_" + std::string(outcome),
        { { "request", m_headers.requestId }, { "reason", reason }, { "route", m_route ? m_route->name : "" }, { "pool", m_pool },
            { "priority", m_priority }, { "tables", m_index ? m_index->tables().version : 0 }, { "sends", m_history ? m_history->sends() : 0 },
            { "runner", m_excludedRunners.empty() ? "" : m_excludedRunners.back() }, { "elapsed_ms", elapsed.count() },
            { "longest_pause_ms", m_longestPieceGap.count() } });
}

}
