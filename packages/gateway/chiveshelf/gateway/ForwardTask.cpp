#include "chiveshelf/gateway/ForwardTask.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <cmath>
#include <limits>

namespace chiveshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

    // Idle time up to which a kept connection is used. A request that must not run twice is lost if the server closes the
    // connection meanwhile, so it takes younger ones.
    constexpr std::chrono::milliseconds repeatableIdle { 4'000 };
    constexpr std::chrono::milliseconds singleIdle { 1'500 };
    // Time that a server keeps an idle connection if it does not say, and the margin to what it says.
    constexpr std::chrono::milliseconds assumedKeepAlive { 4'000 };
    constexpr std::chrono::milliseconds keepAliveMargin { 500 };
    constexpr std::size_t readPieceBytes = 16 * 1024;
    // Answers of plain requests up to this size are read whole before they are sent, so that a broken one can be replaced.
    constexpr std::size_t holdBytes = 64 * 1024;
    // A request that may be repeated is tried elsewhere after this multiple of its predicted time, and not before a multiple of
    // its goal.
    constexpr int patienceFactor = 4;
    constexpr double patienceGoals = 1.5;
    // Time before the end of a runner's weights at which a request that it has not begun is taken back: the way to the runner, and
    // what this host may have learned late of the version.
    constexpr std::chrono::milliseconds weightsMargin { 400 };
    // How often a waiting request looks for a version named since: well within the time for one, and one timer a second.
    constexpr std::chrono::milliseconds weightsCheckInterval { 1'000 };
    // Pause of callers when this process stops or has no tables yet: another host takes them.
    constexpr std::chrono::milliseconds otherHostPause { 100 };
    constexpr std::chrono::milliseconds noTablesPause { 500 };
    // Pause of callers whose request crashes runners.
    constexpr std::chrono::milliseconds quarantinePause { 2'000 };
    // Random cost of runners in ms for each host that chooses with the same figures, and its bound: about what a host places
    // on a runner between two notices.
    constexpr double spreadMsPerHost = 0.6;
    constexpr double mostSpreadMs = 10;
    // The same where hosts tell each other of each prompt at once: what is placed while such a notice is on its way.
    constexpr double mostNearSpreadMs = 5;
    // Answers of other requests that may stand before the one that is waited for.
    constexpr int mostStrays = 4;
    // Longest body of such an answer that is read for the sake of the connection.
    constexpr std::size_t mostStrayBytes = 64 * 1024;
    // Interim answers (1xx) before the answer itself.
    constexpr int mostInterimAnswers = 8;
    // Time without a whole event after which a resumable stream goes on elsewhere: well before callers give up, which is after two
    // seconds, four goals or eight pauses, whichever is longest.
    constexpr std::chrono::milliseconds shortestEventGap { 1'000 };
    constexpr int eventGapGoals = 2;
    constexpr int eventGapPauses = 4;

    constexpr unsigned statusMisdirected = 421;
    constexpr unsigned statusUnavailable = 503;

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

    // These statuses promise that a request has not run.
    bool isPromise(unsigned status)
    {
        return status == 408 || status == statusMisdirected || status == 429 || status == 503;
    }

}

ForwardTask::ForwardTask(ForwardContext& context, std::shared_ptr<CallerConnection> caller, CallerRequest request)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_timer(context.io)
    , m_patience(context.io)
    , m_weights(context.io)
    , m_events(context.io)
{
}

ForwardTask::~ForwardTask()
{
    // Callbacks that are already queued find that the task has ended, also if it ended by an exception.
    *m_alive = false;
    m_caller->stopWatching();
}

std::chrono::milliseconds ForwardTask::timeLeft(TimePoint now) const
{
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now), std::chrono::milliseconds(0));
}

std::optional<OwnAnswer> ForwardTask::resolve()
{
    m_index = m_context.state.routes();
    if (!m_index)
        return OwnAnswer { 503, "not_ready", "the tables are not known yet", noTablesPause };
    const auto& message = m_request.message;
    m_headers = platform::decodeCallerHeaders(message);
    if (m_headers.isAmbiguous)
        return OwnAnswer { 400, "invalid_request", "a header that identifies the request comes twice", std::nullopt };
    m_route = m_index->findRoute(view(message[beast::http::field::host]), pathOf(view(message.target())));
    if (!m_route)
        return OwnAnswer { 404, "not_found", "no route matches", std::nullopt };
    auto refusal = authorize();
    if (refusal)
        return refusal;
    m_rank = requestPriority(*m_route, m_organisation);
    const auto limit = m_headers.timeLeft ? std::min(m_route->timeLimit, *m_headers.timeLeft) : m_route->timeLimit;
    m_deadline = m_request.arrivedAt + limit;
    m_pool = RouteIndex::choosePool(*m_route, hash64(m_headers.requestId));
    m_history.emplace(m_route->mayRepeat(), m_route->attempts);
    m_fingerprint = toHex(hash128(std::string(view(message.target())) + '\n' + m_headers.key + '\n' + message.body()));
    return std::nullopt;
}

std::optional<OwnAnswer> ForwardTask::authorize()
{
    m_organisation = m_headers.key.empty() ? nullptr : m_index->findOrganisation(m_headers.key);
    const bool needsKey = !m_route->isPublic && !m_index->tables().organisations.empty();
    if (needsKey && !m_organisation)
        return OwnAnswer { 401, "unauthorized", "the key is not known", std::nullopt };
    return std::nullopt;
}

bool ForwardTask::isQuarantined()
{
    return m_context.state.crashes().isQuarantined(m_fingerprint, std::chrono::steady_clock::now());
}

asio::awaitable<void> ForwardTask::run(bool isStopping)
{
    auto own = resolve();
    if (!own && isStopping)
        own = OwnAnswer { 503, "stopping", "this host is about to stop", otherHostPause };
    if (own) {
        co_await answer(own->status, own->code, own->message, own->retryAfter);
        co_return;
    }
    m_context.state.policies(m_pool).retries.onRequest(m_request.arrivedAt);
    startTimers();
    while (true) {
        if (isInterrupted()) {
            co_await endInterrupted();
            break;
        }
        if (isQuarantined()) {
            ++m_context.metrics.refusals["quarantined"];
            if (m_history->verdict() == Verdict::NotRun)
                co_await answer(503, "quarantined", "this request has crashed runners", quarantinePause);
            else
                co_await fail();
            break;
        }
        const auto now = std::chrono::steady_clock::now();
        const auto placement = choose(now);
        if (!placement) {
            co_await refuse(placement.error());
            break;
        }
        const auto end = co_await send(*placement);
        if (end == SendEnd::Finished)
            break;
        if (isInterrupted())
            continue;
        if (!m_history->maySendAgain()) {
            co_await fail();
            break;
        }
        // A connection that was never made has not burdened a runner.
        const bool isPaid = !m_hasArrived || std::exchange(m_isStalled, false);
        if (!isPaid && !takeRepeat()) {
            logOutcome("repeat_denied", "budget");
            co_await fail();
            break;
        }
        ++m_context.metrics.repeats;
    }
    m_timer.cancel();
    stopRunnerTimers();
}

bool ForwardTask::takeRepeat()
{
    return m_context.state.policies(m_pool).retries.take(m_context.exchange.hostCount(), std::chrono::steady_clock::now());
}

void ForwardTask::startTimers()
{
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code ec) {
        if (ec || !*alive)
            return;
        m_isTimeUp = true;
        interrupt();
        // An answer in progress can not be ended properly any more.
        if (m_hasStarted)
            m_caller->cut();
    });
    m_caller->watchDeparture([this] {
        m_isCallerGone = true;
        interrupt();
    });
}

void ForwardTask::stopRunnerTimers()
{
    m_patience.cancel();
    m_weights.cancel();
}

std::chrono::milliseconds ForwardTask::longestEventGap() const
{
    return std::max({ shortestEventGap, eventGapGoals * m_route->goal, eventGapPauses * m_route->longestPause });
}

void ForwardTask::watchEvents()
{
    m_events.expires_at(m_eventAt + longestEventGap());
    m_events.async_wait([this, alive = m_alive, sends = m_history->sends()](boost::system::error_code ec) {
        if (ec || !*alive || m_history->sends() != sends || !m_connection)
            return;
        const auto now = std::chrono::steady_clock::now();
        if (now - m_eventAt < longestEventGap()) {
            watchEvents();
            return;
        }
        // A stream that nobody can go on with is left to its runner.
        const bool isAllowed = m_history->runs() + 1 < m_route->attempts && m_history->sends() + 1 < AttemptHistory::maxSends;
        if (!isAllowed || !choose(now) || !takeRepeat()) {
            m_eventAt = now;
            watchEvents();
            return;
        }
        m_isStalled = true;
        m_connection->close();
    });
}

void ForwardTask::interrupt()
{
    if (m_connection)
        m_connection->close();
}

std::chrono::milliseconds ForwardTask::weightsTimeLeft(const Placement& placement) const
{
    const auto version = m_headers.prompt ? placement.runner->version(m_headers.prompt->model) : std::nullopt;
    const auto end = version ? m_context.state.weightsEnd(m_headers.prompt->model, *version) : std::nullopt;
    if (!end)
        return std::chrono::milliseconds::max();
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(*end - bootTime()) - weightsMargin, std::chrono::milliseconds(0));
}

void ForwardTask::watchWeights(const Placement& placement)
{
    // A newer version may be named while the request waits.
    m_weights.expires_after(std::min(weightsTimeLeft(placement), weightsCheckInterval));
    m_weights.async_wait([this, placement, alive = m_alive, sends = m_history->sends()](boost::system::error_code ec) {
        if (ec || !*alive || m_history->sends() != sends || m_hasStarted)
            return;
        if (weightsTimeLeft(placement).count() > 0) {
            watchWeights(placement);
            return;
        }
        // Also where it may not be repeated: the runner drops it from its queue, and the caller gets its final answer.
        m_isImpatient = true;
        interrupt();
    });
}

void ForwardTask::armPatience(const Placement& placement)
{
    m_isImpatient = false;
    if (!m_route->mayRepeat() || m_history->runs() + 1 >= m_route->attempts)
        return;
    const auto goal = std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(m_route->goal.count()) * patienceGoals));
    m_patience.expires_after(std::max(placement.predicted * patienceFactor, goal));
    m_patience.async_wait([this, alive = m_alive, sends = m_history->sends()](boost::system::error_code ec) {
        // A later send has a patience of its own.
        if (ec || !*alive || m_history->sends() != sends || m_hasStarted)
            return;
        m_isImpatient = true;
        interrupt();
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
    context.excluded = m_excluded;
    context.goal = m_route->goal;
    context.longestPause = m_route->longestPause;
    context.timeLeft = timeLeft(now);
    const auto hosts = static_cast<double>(m_context.exchange.hostCount());
    context.nearJitterMs = std::min(spreadMsPerHost * hosts, mostNearSpreadMs);
    context.jitterMs = m_context.exchange.isSmallFleet() ? context.nearJitterMs : std::min(spreadMsPerHost * hosts, mostSpreadMs);
    context.isLate = state.isLikelyRetry(m_route->name, m_headers.timeLeft, m_route->goal);
    const auto& runners = state.board().runnersOf(m_pool);
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
    request.priority = m_rank;
    request.newestVersion = m_context.state.newestVersion(m_headers.prompt->model);
    request.requiredVersion = m_context.state.requiredVersion(m_headers.prompt->model, bootTime());
    request.weightsExpiry = [this](std::uint64_t version) { return m_context.state.weightsEnd(m_headers.prompt->model, version); };
    return request;
}

asio::awaitable<bool> ForwardTask::connect(const Placement& placement)
{
    const auto& record = placement.runner->record();
    const auto now = std::chrono::steady_clock::now();
    // Without an id, a late answer to the request before could not be told from this one's.
    if (!m_headers.requestId.empty())
        m_connection = m_context.backends.takeIdle(record, m_route->mayRepeat() ? repeatableIdle : singleIdle, now);
    if (m_connection)
        co_return true;
    const auto address = record.address;
    const auto connected = co_await m_context.backends.connect(address, m_connection);
    if (connected)
        co_return true;
    if (!isInterrupted()) {
        placement.runner->health().onConnectionFailed(std::chrono::steady_clock::now());
        logOutcome("connect_failed", record.id);
    }
    co_return false;
}

std::string ForwardTask::formatRequest(const Placement& placement) const
{
    const auto& message = m_request.message;
    std::string out;
    out.reserve(1'024 + message.body().size());
    out.append(view(message.method_string())).append(" ").append(view(message.target())).append(" HTTP/1.1\r\n");
    platform::SendOrder order;
    const auto& record = placement.runner->record();
    const auto now = std::chrono::steady_clock::now();
    order.timeLeft = m_headers.timeLeft ? std::min(timeLeft(now), *m_headers.timeLeft) : timeLeft(now);
    order.runnerId = record.id;
    if (m_organisation)
        order.organisation = m_organisation->name;
    if (m_headers.prompt) {
        order.rank = m_rank;
        order.version = placement.runner->version(m_headers.prompt->model);
        // Without a known version nothing may be shared.
        order.cacheScope = order.version ? cacheScope(engineRequest(), *order.version).text() : "request/" + m_headers.requestId;
        order.fetchFrom = placement.fetchFrom;
        if (placement.maxFetchTime)
            order.fetchUntilMs = m_context.state.runnerClock().after(*placement.maxFetchTime, bootTime());
        order.saveTo = placement.saveTo;
    }
    order.lastEventId = m_cursor.lastId();
    platform::appendRunnerHeaders(out, message, order);
    const bool hasBody = !message.body().empty() || message.count(beast::http::field::content_length) > 0
        || message.count(beast::http::field::transfer_encoding) > 0;
    if (hasBody)
        out.append("Content-Length: ").append(std::to_string(message.body().size())).append("\r\n");
    out.append("\r\n").append(message.body());
    return out;
}

asio::awaitable<bool> ForwardTask::writeRequest(const Placement& placement)
{
    const auto connection = m_connection;
    const auto bytes = formatRequest(placement);
    boost::system::error_code ec;
    const auto n = co_await asio::async_write(connection->socket, asio::buffer(bytes), redirect_error(use_awaitable, ec));
    // Without a single byte sent the runner can not know the request.
    if (ec && n == 0)
        co_return false;
    co_return true;
}

asio::awaitable<ForwardTask::SendEnd> ForwardTask::send(const Placement& placement)
{
    const auto runner = placement.runner;
    m_excluded.push_back(runner->record().id);
    if (!co_await connect(placement) || isInterrupted()) {
        m_history->record(Verdict::NotRun);
        co_return SendEnd::Failed;
    }
    RunnerUse use(placement, std::chrono::steady_clock::now());
    m_hasArrived = true;
    auto& engine = m_context.state.policies(m_pool).engine;
    if (m_headers.prompt && engine) {
        const auto request = engineRequest();
        engine->recordSend(request, placement, m_context.state.cacheStores(), std::chrono::steady_clock::now());
        m_context.exchange.announcePlacement(placement, m_rank, m_headers.prompt->parts, cacheScopeHash(request.dedicatedOrganisation));
    }
    armPatience(placement);
    if (m_headers.prompt)
        watchWeights(placement);
    if (!co_await writeRequest(placement))
        co_return recordFailure(use, Verdict::NotRun, false, "connection_closed");
    std::unique_ptr<Parser> parser;
    if (!co_await readHead(parser, use))
        co_return recordFailure(use, Verdict::MayHaveRun, m_hasLostConnection, m_isImpatient ? "silent" : m_problem);
    const auto end = co_await handleAnswer(*parser, use);
    stopRunnerTimers();
    co_return end;
}

void ForwardTask::noteReadError(const boost::system::error_code& ec)
{
    m_problem = ec.message();
    const bool isEnd = ec == beast::http::error::end_of_stream || ec == beast::http::error::partial_message;
    const bool isOfParser = ec.category() == beast::http::make_error_code(beast::http::error::end_of_stream).category();
    // What this host ended itself says nothing of the runner.
    m_hasLostConnection = (isEnd || !isOfParser) && !m_isImpatient && !m_isStalled && !isInterrupted();
}

void ForwardTask::observeRunner(const platform::RunnerHeaders& headers, unsigned status, BackendState& runner)
{
    const auto& record = runner.record();
    if (headers.isLeaving && !runner.isLeaving()) {
        runner.setLeaving();
        m_context.backends.drop(record);
        m_context.exchange.announceLeaving(record);
        logEvent(LogLevel::Info, "runner_leaving", { { "runner", record.id }, { "pool", record.pool }, { "source", "answer" } });
    }
    if (status == statusUnavailable && headers.retryAfter) {
        runner.pauseUntil(std::chrono::steady_clock::now() + *headers.retryAfter);
        logEvent(LogLevel::Info, "runner_paused", { { "runner", record.id }, { "pool", record.pool }, { "pause_ms", headers.retryAfter->count() } });
    }
}

asio::awaitable<bool> ForwardTask::readHead(std::unique_ptr<Parser>& parser, RunnerUse& use)
{
    const auto connection = m_connection;
    int interims = 0;
    int strays = 0;
    m_hasLostConnection = false;
    m_problem = "too many answers that are not this request's";
    while (strays < mostStrays && interims < mostInterimAnswers) {
        parser = std::make_unique<Parser>();
        parser->header_limit(BackendConnection::mostHeadBytes);
        parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        if (m_request.message.method() == beast::http::verb::head)
            parser->skip(true);
        boost::system::error_code ec;
        co_await beast::http::async_read_header(connection->socket, connection->buffer, *parser, redirect_error(use_awaitable, ec));
        if (ec) {
            noteReadError(ec);
            co_return false;
        }
        use.runner().health().onDataReceived(std::chrono::steady_clock::now());
        const auto status = parser->get().result_int();
        if (status >= 100 && status < 200) {
            ++interims;
            continue;
        }
        const auto headers = platform::decodeRunnerHeaders(parser->get());
        observeRunner(headers, status, use.runner());
        const bool isStray = !m_headers.requestId.empty() && !headers.requestId.empty() && headers.requestId != m_headers.requestId;
        if (!isStray)
            co_return true;
        ++strays;
        ++m_context.metrics.strayAnswers;
        logOutcome("stray_answer", headers.requestId);
        if (!co_await skipAnswer(*parser))
            co_return false;
    }
    co_return false;
}

asio::awaitable<bool> ForwardTask::skipAnswer(Parser& parser)
{
    const auto connection = m_connection;
    std::string piece(readPieceBytes, '\0');
    std::size_t n = 0;
    while (!parser.is_done() && n <= mostStrayBytes) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        boost::system::error_code ec;
        co_await beast::http::async_read_some(connection->socket, connection->buffer, parser, redirect_error(use_awaitable, ec));
        if (ec && ec != beast::http::error::need_buffer) {
            noteReadError(ec);
            co_return false;
        }
        n += piece.size() - parser.get().body().size;
    }
    m_problem = "an answer of another request is too long";
    co_return parser.is_done() && parser.keep_alive();
}

bool ForwardTask::isProofOfNotRun(const platform::RunnerHeaders& headers, unsigned status) const
{
    if (!headers.isNotRun && status != statusMisdirected)
        return false;
    // On a connection that was used before, a refusal without an id may be a late one of the request before.
    return m_headers.requestId.empty() || !headers.requestId.empty() || !m_connection->isReused;
}

bool ForwardTask::isAnswerOfRunner(const platform::RunnerHeaders& headers, unsigned status) const
{
    if (!headers.isSealed || headers.isEncoded)
        return false;
    if (!m_headers.requestId.empty() && headers.requestId.empty())
        return false;
    // A failure with a status that promises "not run" but without the statement that it has not.
    return isSuccess(status) || !isPromise(status);
}

ForwardTask::SendEnd ForwardTask::recordFailure(RunnerUse& use, Verdict verdict, bool isBroken, std::string_view reason)
{
    const auto now = std::chrono::steady_clock::now();
    const auto& id = use.runner().record().id;
    if (!isInterrupted())
        use.end(verdict != Verdict::NotRun, now);
    m_history->record(verdict);
    if (m_connection)
        m_connection->close();
    if (isBroken) {
        if (m_context.state.crashes().record(m_fingerprint, id, now))
            m_context.exchange.announceCrash(m_fingerprint, id);
    }
    if (m_isImpatient)
        m_context.backends.drop(use.runner().record());
    logOutcome("send_failed", reason);
    return SendEnd::Failed;
}

ForwardTask::SendEnd ForwardTask::recordRefusal(RunnerUse& use, const platform::RunnerHeaders& headers, unsigned status)
{
    const auto now = std::chrono::steady_clock::now();
    auto& runner = use.runner();
    use.end(false, now);
    m_history->record(Verdict::NotRun);
    const bool isOther = status == statusMisdirected && !headers.runnerId.empty() && headers.runnerId != runner.record().id;
    if (isOther) {
        // Another server has the address: whatever the registry says, this one is not there.
        runner.health().onConnectionFailed(now);
    } else if (status == statusMisdirected && m_headers.prompt) {
        if (headers.weightVersion)
            runner.setVersion(m_headers.prompt->model, *headers.weightVersion);
        else if (const auto newest = m_context.state.newestVersion(m_headers.prompt->model); newest > 0)
            runner.setVersion(m_headers.prompt->model, newest);
    }
    logOutcome("runner_refused", std::to_string(status));
    return SendEnd::Failed;
}

asio::awaitable<ForwardTask::SendEnd> ForwardTask::handleAnswer(Parser& parser, RunnerUse& use)
{
    const auto status = parser.get().result_int();
    const auto headers = platform::decodeRunnerHeaders(parser.get());
    auto& runner = use.runner();
    const auto now = std::chrono::steady_clock::now();
    if (headers.load)
        runner.setReport(*headers.load, now);
    if (headers.weightVersion && m_headers.prompt && status != statusMisdirected)
        runner.setVersion(m_headers.prompt->model, *headers.weightVersion);
    if (isProofOfNotRun(headers, status)) {
        const auto end = recordRefusal(use, headers, status);
        m_connection->close();
        co_return end;
    }
    if (!isAnswerOfRunner(headers, status))
        co_return recordFailure(use, Verdict::MayHaveRun, false, "not_an_answer");
    const bool isFailure = status >= 500;
    // What was begun can only go on with the same kind of answer.
    const bool isUseless = m_hasStarted ? !isSuccess(status) : isFailure;
    if (isUseless && m_route->mayRepeat() && m_history->runs() + 1 < m_route->attempts) {
        auto end = recordFailure(use, Verdict::Ran, false, "runner_error");
        co_return end;
    }
    if (m_hasStarted && !isSuccess(status)) {
        recordFailure(use, Verdict::Ran, false, "resume_refused");
        m_caller->cut();
        co_return SendEnd::Finished;
    }
    const auto relayed = co_await relay(parser, use);
    if (relayed == RelayEnd::CallerGone || isInterrupted()) {
        m_history->record(Verdict::Ran);
        m_connection->close();
        co_await endInterrupted();
        co_return SendEnd::Finished;
    }
    if (relayed == RelayEnd::Complete) {
        use.end(isFailure, std::chrono::steady_clock::now());
        m_history->record(Verdict::Ran);
        keepConnection(parser, headers, use);
        ++m_context.metrics.requests["answered"];
        logOutcome("answered", runner.record().id);
        co_return SendEnd::Finished;
    }
    recordFailure(use, Verdict::Ran, m_hasLostConnection, m_isStalled ? "stalled" : "answer_broken");
    const bool mayGoOn = !m_hasStarted || mayResume();
    if (mayGoOn) {
        m_cursor.discardPartial();
        m_context.metrics.resumes += m_hasStarted ? 1 : 0;
        co_return SendEnd::Failed;
    }
    m_caller->cut();
    ++m_context.metrics.requests["failed"];
    co_return SendEnd::Finished;
}

ForwardTask::Framing ForwardTask::framingFor(const Parser& parser) const
{
    const auto status = parser.get().result_int();
    if (m_request.message.method() == beast::http::verb::head || status == 204 || status == 304)
        return Framing::None;
    // A resumed stream may get longer than what its first runner announced.
    if (parser.content_length() && !mayResume())
        return Framing::Length;
    return m_request.message.version() >= 11 ? Framing::Chunks : Framing::Close;
}

std::string ForwardTask::formatHead(const Parser& parser, Framing framing) const
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
    if (!m_caller->isKept() || framing == Framing::Close)
        out += "Connection: close\r\n";
    return out + "\r\n";
}

std::string ForwardTask::frame(std::string bytes, Framing framing) const
{
    if (framing != Framing::Chunks || bytes.empty())
        return bytes;
    char head[24];
    std::snprintf(head, sizeof(head), "%zx\r\n", bytes.size());
    return head + std::move(bytes) + "\r\n";
}

void ForwardTask::observeFirstByte(RunnerUse& use)
{
    if (use.hasFirstByte())
        return;
    stopRunnerTimers();
    const auto elapsed = use.firstByte(std::chrono::steady_clock::now());
    if (isLogged(LogLevel::Debug)) {
        const auto& made = use.placement();
        logEvent(LogLevel::Debug, "request_first_byte", { { "request", m_headers.requestId }, { "route", m_route->name }, { "rank", m_rank }, { "runner", use.runner().record().id }, { "predicted_ms", made.predicted.count() }, { "wait_ms", made.wait.count() }, { "fetch_tokens", made.work.fetchTokens }, { "prompt_tokens", m_headers.prompt ? m_headers.prompt->promptTokens : 0 }, { "measured_ms", elapsed.count() } });
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

void ForwardTask::observePiece(RunnerUse& use)
{
    const auto now = std::chrono::steady_clock::now();
    use.runner().health().onDataReceived(now);
    if (use.hasFirstByte())
        m_longestPause = std::max(m_longestPause, std::chrono::duration_cast<std::chrono::milliseconds>(now - m_pieceAt));
    m_pieceAt = now;
    observeFirstByte(use);
}

asio::awaitable<ForwardTask::RelayEnd> ForwardTask::relay(Parser& parser, RunnerUse& use)
{
    const auto connection = m_connection;
    const auto framing = framingFor(parser);
    const bool isStream = m_route->kind == RequestKind::Stream && isSuccess(parser.get().result_int());
    std::string pending = m_hasStarted ? std::string() : formatHead(parser, framing);
    const bool isFollowed = mayResume() && isStream;
    std::string piece(readPieceBytes, '\0');
    if (isFollowed) {
        m_eventAt = std::chrono::steady_clock::now();
        watchEvents();
    }
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        boost::system::error_code ec;
        co_await beast::http::async_read_some(connection->socket, connection->buffer, parser, redirect_error(use_awaitable, ec));
        if (isInterrupted())
            co_return RelayEnd::CallerGone;
        const auto n = piece.size() - parser.get().body().size;
        bool hasEvents = false;
        if (n > 0) {
            observePiece(use);
            const std::string_view bytes(piece.data(), n);
            auto whole = isFollowed ? m_cursor.take(bytes) : std::string(bytes);
            hasEvents = isFollowed && !whole.empty();
            if (hasEvents)
                m_eventAt = std::chrono::steady_clock::now();
            pending += frame(std::move(whole), framing);
        }
        const bool isBroken = (ec && ec != beast::http::error::need_buffer) || m_cursor.isOverfull();
        if (ec && ec != beast::http::error::need_buffer)
            noteReadError(ec);
        // Whole events in front of the break are passed on, since another runner goes on behind them.
        if (isBroken && !hasEvents)
            co_return RelayEnd::RunnerBroke;
        const bool isHeld = !isStream && pending.size() < holdBytes;
        if (!pending.empty() && n > 0 && !isHeld) {
            m_hasStarted = true;
            auto bytes = std::move(pending);
            pending.clear();
            if (!co_await m_caller->write(std::move(bytes)))
                co_return RelayEnd::CallerGone;
        }
        if (isBroken)
            co_return RelayEnd::RunnerBroke;
    }
    observeFirstByte(use);
    if (isFollowed)
        pending += frame(m_cursor.finish(), framing);
    if (framing == Framing::Chunks)
        pending += "0\r\n\r\n";
    if (framing == Framing::Close)
        m_caller->setKept(false);
    m_hasStarted = true;
    if (!pending.empty() && !co_await m_caller->write(std::move(pending)))
        co_return RelayEnd::CallerGone;
    co_return RelayEnd::Complete;
}

void ForwardTask::keepConnection(const Parser& parser, const platform::RunnerHeaders& headers, const RunnerUse& use)
{
    // Bytes behind a whole answer belong to no request.
    const bool isClean = parser.keep_alive() && !parser.need_eof() && m_connection->buffer.size() == 0;
    if (!isClean || m_headers.requestId.empty() || use.placement().runner->isLeaving()) {
        m_connection->close();
        return;
    }
    const auto kept = headers.keepAlive ? std::chrono::milliseconds(*headers.keepAlive) : assumedKeepAlive;
    m_connection->idleLimit = std::max(kept - keepAliveMargin, std::chrono::milliseconds(0));
    m_context.backends.putBack(use.placement().runner->record(), std::move(m_connection), std::chrono::steady_clock::now());
}

asio::awaitable<void> ForwardTask::answer(unsigned status, std::string_view code, std::string message, std::optional<std::chrono::milliseconds> retryAfter)
{
    ++m_context.metrics.requests[status >= 500 ? (status == 503 ? "refused" : "failed") : "rejected"];
    logOutcome("own_answer", code);
    OwnAnswer own;
    own.status = status;
    own.code = code;
    own.message = std::move(message);
    own.retryAfter = retryAfter;
    co_await m_caller->answer(std::move(own));
}

asio::awaitable<void> ForwardTask::refuse(const PlacementRefusal& refusal)
{
    ++m_context.metrics.refusals[std::string(refusalReasonName(refusal.reason))];
    if (m_history->verdict() != Verdict::NotRun || m_hasStarted) {
        co_await fail();
        co_return;
    }
    const auto message = "no runner in time, predicted " + std::to_string(refusal.predicted.count()) + " ms";
    co_await answer(503, refusalReasonName(refusal.reason), message, refusal.retryAfter);
}

asio::awaitable<void> ForwardTask::fail()
{
    if (m_hasStarted) {
        m_caller->cut();
        ++m_context.metrics.requests["failed"];
        co_return;
    }
    if (m_history->verdict() == Verdict::NotRun) {
        const auto pause = jitteredRetryAfter(otherHostPause, timeLeft(std::chrono::steady_clock::now()), m_context.state.random());
        co_await answer(503, "refused_by_runners", "no runner took the request", pause);
        co_return;
    }
    co_await answer(502, "runner_failed", "the request may have run and has no answer", std::nullopt);
}

asio::awaitable<void> ForwardTask::endInterrupted()
{
    if (m_isTimeUp && !m_hasStarted) {
        const bool hasRun = m_history->verdict() != Verdict::NotRun;
        if (hasRun)
            co_await answer(504, "time_up", "the time for the request is up", std::nullopt);
        else
            co_await answer(503, "time_up", "the time for the request is up", otherHostPause);
        co_return;
    }
    ++m_context.metrics.requests[m_isTimeUp ? "time_up" : "caller_gone"];
    logOutcome("ended", m_isTimeUp ? "time_up" : "caller_gone");
    m_caller->cut();
}

void ForwardTask::logOutcome(std::string_view outcome, std::string_view reason) const
{
    const bool isQuiet = outcome == "answered" || reason == "overloaded" || reason == "caller_gone";
    if (isQuiet && !isLogged(LogLevel::Debug))
        return;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_request.arrivedAt);
    logEvent(isQuiet ? LogLevel::Debug : LogLevel::Info, "request_" + std::string(outcome),
        { { "request", m_headers.requestId }, { "reason", reason }, { "route", m_route ? m_route->name : "" }, { "pool", m_pool },
            { "rank", m_rank }, { "tables", m_index ? m_index->tables().version : 0 }, { "sends", m_history ? m_history->sends() : 0 },
            { "runner", m_excluded.empty() ? "" : m_excluded.back() }, { "elapsed_ms", elapsed.count() },
            { "longest_pause_ms", m_longestPause.count() } });
}

}
