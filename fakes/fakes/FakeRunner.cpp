#include "fakes/FakeRunner.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Priority.h"
#include "chiveshelf/http/SseParser.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fakes {

namespace asio = boost::asio;
namespace http = chiveshelf::http;
using Clock = std::chrono::steady_clock;
using http::Status;
using http::Verb;
using nlohmann::json;

namespace {

    constexpr std::size_t bytesPerPromptToken = 4;
    // Prompt tokens per compute step; concurrent prefills take turns after each step.
    constexpr std::int64_t prefillStepTokens = 256;
    constexpr auto prefillRetryDelay = std::chrono::milliseconds(1);
    constexpr std::string_view streamsPrefix = "/v1/streams/";
    // A request that is still queued after this time gets its response header, before the client's progress limit expires.
    constexpr auto headerDelay = std::chrono::milliseconds(500);
    constexpr auto endedSequenceLifetime = std::chrono::seconds(30);
    // Maximum number of commands, and of violations, in the statistics.
    constexpr std::size_t maximumRecords = 200;
    // Limits for connecting, for each wait for bytes and for the length of a block.
    constexpr http::CallLimits importLimits { std::chrono::milliseconds(200), std::chrono::milliseconds(500), true, 64ull * 1024 * 1024 };
    constexpr http::CallLimits exportLimits { std::chrono::milliseconds(200), std::chrono::milliseconds(10'000) };
    constexpr std::int64_t defaultImportLimitMs = 5'000;

    asio::awaitable<void> sleepUntil(asio::io_context& context, Clock::time_point time)
    {
        asio::steady_timer timer(context, time);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    http::Response errorResponse(Status status, const std::string& code)
    {
        return http::makeResponse(status, json { { "error", { { "code", code } } } }.dump());
    }

    BlockOwner parseOwner(const json& body, const std::string& version)
    {
        return { body.value("organisation", ""), body.value("model", ""), body.value("adapter", ""), version };
    }

}

std::string answerToken(const std::string& prompt, std::int64_t index)
{
    return "t" + std::to_string(chiveshelf::hash64(prompt, static_cast<std::uint64_t>(index)) % 10'000) + " ";
}

FakeRunner::FakeRunner(asio::io_context& context, FakeRunnerSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_server(context, {}, [this](http::Exchange& exchange) { return handle(exchange); })
    , m_client(context)
    , m_cache(m_settings.cacheBlocks, m_settings.eventDelay, m_settings.eventLossPercent, m_settings.seed)
{
}

chiveshelf::Result<void> FakeRunner::start(const chiveshelf::Address& address)
{
    m_report = loadReport();
    asio::co_spawn(m_context, sampleLoad(), asio::detached);
    return m_server.start(address);
}

asio::awaitable<void> FakeRunner::handle(http::Exchange& exchange)
{
    const auto& request = exchange.request();
    const auto text = request.target();
    const auto target = http::parseTarget({ text.data(), text.size() });
    const bool isPost = request.method() == Verb::post;
    if (target.path.starts_with("/control/")) {
        co_await exchange.respond(handleControl(target, request));
        co_return;
    }
    // A stalled runner keeps its connections open without responding.
    while (m_isStalled)
        co_await sleepUntil(m_context, Clock::now() + headerDelay);
    if (target.path == "/v1/completions" && isPost) {
        co_await handleCompletion(exchange);
        co_return;
    }
    if (target.path.starts_with(streamsPrefix)) {
        co_await handleStream(exchange, target);
        co_return;
    }
    auto response = errorResponse(Status::not_found, "not_found");
    if (target.path == "/v1/load") {
        response = http::makeResponse(Status::ok, m_report.dump());
    } else if (target.path == "/v1/events") {
        const json body { { "events", m_cache.events(target.number("after", 0)) } };
        response = http::makeResponse(Status::ok, body.dump());
    } else if (target.path == "/v1/kv/export" && isPost) {
        response = co_await exportBlocks(request.body());
    } else if (target.path == "/v1/commands" && isPost) {
        response = handleCommand(request.body());
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> FakeRunner::handleCompletion(http::Exchange& exchange)
{
    const auto body = json::parse(exchange.request().body(), nullptr, false);
    if (!body.is_object()) {
        co_await exchange.respond(errorResponse(Status::bad_request, "invalid_request"));
        co_return;
    }
    const auto expected = body.value("expected_version", "");
    if (!expected.empty() && expected != m_settings.version) {
        ++m_counters["wrong_version"];
        co_await exchange.respond(errorResponse(Status::conflict, "wrong_version"));
        co_return;
    }
    if (m_loadingCount > 0) {
        co_await exchange.respond(errorResponse(Status::service_unavailable, "loading"));
        co_return;
    }
    auto sequence = std::make_shared<Sequence>();
    sequence->prompt = body.value("prompt", "");
    sequence->owner = parseOwner(body, m_settings.version);
    sequence->expectedVersion = expected;
    sequence->blocks = body.value("blocks", std::vector<std::string> {});
    for (const auto& record : body.value("import", json::array()))
        sequence->imports[record.value("key", "")] = record;
    sequence->promptTokens = static_cast<std::int64_t>((sequence->prompt.size() + bytesPerPromptToken - 1) / bytesPerPromptToken);
    sequence->maxTokens = body.value("max_tokens", std::int64_t { 16 });
    sequence->producedTokens = body.value("resume_from", std::int64_t { 0 });
    const auto priority = chiveshelf::priorityFromName(body.value("priority", "standard"));
    sequence->priority = static_cast<int>(priority.value_or(chiveshelf::Priority::Standard));
    sequence->arrivalNumber = ++m_lastArrivalNumber;
    const auto offset = sequence->producedTokens;
    const auto id = body.value("request_id", "");
    std::erase_if(m_sequences, [](const auto& entry) { return entry.second->hasEnded() && Clock::now() - entry.second->endedAt > endedSequenceLifetime; });
    m_sequences[id] = sequence;
    m_queue.push_back(sequence);
    startQueued();
    co_await streamTokens(exchange, id, sequence, offset);
}

asio::awaitable<void> FakeRunner::handleStream(http::Exchange& exchange, const http::Target& target)
{
    const auto id = target.path.substr(streamsPrefix.size());
    const auto it = m_sequences.find(id);
    if (it == m_sequences.end()) {
        co_await exchange.respond(errorResponse(Status::not_found, "not_found"));
        co_return;
    }
    const auto sequence = it->second;
    if (exchange.request().method() != Verb::delete_) {
        ++m_counters["resumes"];
        co_await streamTokens(exchange, id, sequence, target.number("after", 0));
        co_return;
    }
    ++m_counters["cancels"];
    std::erase(m_queue, sequence);
    if (!sequence->hasEnded())
        setState(*sequence, SequenceState::Cancelled);
    auto response = http::makeResponse(Status::ok, "{}");
    co_await exchange.respond(std::move(response));
}

void FakeRunner::setState(Sequence& sequence, SequenceState state)
{
    sequence.state = state;
    if (sequence.hasEnded())
        sequence.endedAt = Clock::now();
    wakeWaiters(sequence);
}

void FakeRunner::wakeWaiters(Sequence& sequence)
{
    for (auto* timer : sequence.waiters)
        timer->cancel();
}

asio::awaitable<void> FakeRunner::waitForChange(SequencePointer sequence, std::chrono::milliseconds limit)
{
    boost::system::error_code ec;
    asio::steady_timer timer(m_context, limit);
    sequence->waiters.insert(&timer);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    sequence->waiters.erase(&timer);
}

void FakeRunner::startQueued()
{
    while (m_runningCount < m_settings.slots && !m_queue.empty()) {
        const auto it = std::min_element(m_queue.begin(), m_queue.end(),
            [](const auto& a, const auto& b) { return std::tie(a->priority, a->arrivalNumber) < std::tie(b->priority, b->arrivalNumber); });
        const auto sequence = *it;
        m_queue.erase(it);
        if (!sequence->expectedVersion.empty() && sequence->expectedVersion != m_settings.version) {
            ++m_counters["wrong_version"];
            setState(*sequence, SequenceState::WrongVersion);
            continue;
        }
        ++m_runningCount;
        m_counters["max_running"] = std::max<std::int64_t>(m_counters["max_running"], m_runningCount);
        setState(*sequence, SequenceState::Running);
        asio::co_spawn(m_context, run(sequence), asio::detached);
    }
}

asio::awaitable<void> FakeRunner::run(SequencePointer sequence)
{
    if (!m_settings.crashMarker.empty() && sequence->prompt.find(m_settings.crashMarker) != std::string::npos)
        std::_Exit(1);
    ++m_counters["completions"];
    co_await prefill(sequence);
    auto next = Clock::now();
    while (sequence->producedTokens < sequence->maxTokens && sequence->state == SequenceState::Running) {
        next += std::chrono::duration_cast<Clock::duration>(m_settings.perOutputToken * m_slowFactor);
        co_await sleepUntil(m_context, next);
        ++sequence->producedTokens;
        wakeWaiters(*sequence);
    }
    if (sequence->state == SequenceState::Running)
        setState(*sequence, SequenceState::Done);
    for (const auto& key : sequence->heldBlocks)
        m_cache.release(key);
    --m_runningCount;
    startQueued();
}

void FakeRunner::recordViolation(const std::string& text)
{
    ++m_counters["violations"];
    if (m_violations.size() < maximumRecords)
        m_violations.push_back(text);
}

void FakeRunner::useCachedBlock(Sequence& sequence, const std::string& key)
{
    const auto& owner = m_cache.owner(key);
    if (owner != sequence.owner)
        recordViolation("block " + key + " of " + owner.organisation + "/" + owner.version + " read by " + sequence.owner.organisation + "/" + sequence.owner.version);
    m_cache.hold(key);
    sequence.heldBlocks.push_back(key);
}

asio::awaitable<void> FakeRunner::prefill(SequencePointer sequence)
{
    std::size_t block = 0;
    while (block < sequence->blocks.size() && sequence->state == SequenceState::Running) {
        const auto& key = sequence->blocks[block];
        const bool isCached = m_cache.contains(key);
        if (!isCached && (!sequence->imports.contains(key) || !co_await importBlock(sequence, key)))
            break;
        useCachedBlock(*sequence, key);
        auto& tokens = isCached ? sequence->cachedTokens : sequence->importedTokens;
        tokens += std::min(m_settings.blockTokens, sequence->promptTokens - sequence->cachedTokens - sequence->importedTokens);
        ++block;
    }
    auto remaining = sequence->promptTokens - sequence->cachedTokens - sequence->importedTokens;
    m_counters["cached_tokens"] += sequence->cachedTokens;
    m_counters["imported_tokens"] += sequence->importedTokens;
    m_counters["computed_tokens"] += remaining;
    auto tokensInBlock = std::int64_t { 0 };
    ++m_prefillCounts[sequence->priority];
    while (remaining > 0 && sequence->state == SequenceState::Running) {
        if (m_prefillCounts.begin()->first < sequence->priority) {
            co_await sleepUntil(m_context, std::max(m_computeFreeAt, Clock::now() + prefillRetryDelay));
            continue;
        }
        const auto step = std::min({ remaining, prefillStepTokens, m_settings.blockTokens - tokensInBlock });
        m_computeFreeAt = std::max(m_computeFreeAt, Clock::now())
            + std::chrono::duration_cast<Clock::duration>(m_settings.perPromptToken * static_cast<double>(step) * m_slowFactor);
        co_await sleepUntil(m_context, m_computeFreeAt);
        remaining -= step;
        tokensInBlock += step;
        if (tokensInBlock < m_settings.blockTokens)
            continue;
        tokensInBlock = 0;
        if (block < sequence->blocks.size() && m_cache.add(sequence->blocks[block], sequence->owner))
            useCachedBlock(*sequence, sequence->blocks[block]);
        ++block;
    }
    if (--m_prefillCounts[sequence->priority] == 0)
        m_prefillCounts.erase(sequence->priority);
}

asio::awaitable<bool> FakeRunner::importBlock(SequencePointer sequence, std::string key)
{
    const auto record = sequence->imports[key];
    const auto address = chiveshelf::parseAddress(record.value("store", ""));
    if (!address)
        co_return false;
    const auto deadline = Clock::now() + std::chrono::milliseconds(record.value("limit_ms", defaultImportLimitMs));
    const auto target = "/blocks/" + key + "?generation=" + std::to_string(record.value("generation", std::int64_t { 0 }));
    ++m_counters["import_attempts"];
    auto opened = co_await m_client.open(*address, http::makeRequest(Verb::get, target), importLimits);
    std::string data;
    bool isWhole = opened && (*opened)->status() == 200;
    while (isWhole && Clock::now() < deadline) {
        (*opened)->setProgressLimit(std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now())));
        const auto piece = co_await (*opened)->readSome();
        isWhole = piece.has_value();
        if (!isWhole || piece->empty())
            break;
        data += *piece;
    }
    isWhole = isWhole && Clock::now() < deadline;
    if (isWhole && m_checksImports)
        isWhole = static_cast<std::int64_t>(data.size()) == record.value("length", std::int64_t { 0 }) && blockChecksum(key, data) == record.value("checksum", "");
    if (!isWhole) {
        ++m_counters["import_failures"];
        co_return false;
    }
    const auto owner = readBlockData(key, data);
    if (!owner)
        recordViolation("imported data of block " + key + " is incomplete or belongs to another block");
    if (m_cache.contains(key))
        co_return true;
    co_return m_cache.add(key, owner.value_or(BlockOwner {}));
}

asio::awaitable<http::Response> FakeRunner::exportBlocks(std::string text)
{
    const auto body = json::parse(text, nullptr, false);
    const auto address = body.is_object() ? chiveshelf::parseAddress(body.value("store", "")) : chiveshelf::parseAddress("");
    if (!address)
        co_return errorResponse(Status::bad_request, "invalid_request");
    const auto owner = parseOwner(body, body.value("version", ""));
    const auto generation = std::to_string(body.value("generation", std::int64_t { 0 }));
    auto records = json::array();
    bool isFull = false;
    bool hasFailed = false;
    for (const auto& key : body.value("blocks", std::vector<std::string> {})) {
        if (!m_cache.contains(key))
            break;
        if (m_cache.owner(key) != owner) {
            recordViolation("exported block " + key + " belongs to another owner");
            break;
        }
        m_cache.hold(key);
        const auto data = makeBlockData(key, owner, static_cast<std::size_t>(m_settings.blockTokens * m_settings.bytesPerToken));
        auto request = http::makeRequest(Verb::put, "/blocks/" + key + "?generation=" + generation, data, "application/octet-stream");
        request.set("X-Block-Length", std::to_string(data.size()));
        request.set("X-Block-Checksum", blockChecksum(key, data));
        const auto response = co_await m_client.send(*address, std::move(request), exportLimits);
        m_cache.release(key);
        if (!response || response->result_int() >= 300) {
            ++m_counters["export_failures"];
            hasFailed = true;
            isFull = response && response->result() == Status::insufficient_storage;
            break;
        }
        ++m_counters["exported_blocks"];
        records.push_back({ { "key", key }, { "length", data.size() }, { "checksum", blockChecksum(key, data) } });
    }
    const json out { { "records", records }, { "store_full", isFull }, { "store_failed", hasFailed } };
    co_return http::makeResponse(Status::ok, out.dump());
}

http::Response FakeRunner::handleCommand(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("command"))
        return errorResponse(Status::bad_request, "invalid_request");
    const auto token = body.value("fencing_token", std::int64_t { 0 });
    if (m_settings.checksFencingToken && token < m_fencingToken) {
        ++m_counters["stale_commands"];
        return errorResponse(Status::conflict, "stale_token");
    }
    m_fencingToken = std::max(m_fencingToken, token);
    if (m_commands.size() < maximumRecords)
        m_commands.push_back(body);
    ++m_counters["commands"];
    const auto name = body.value("command", "");
    if (name == "load_version" || name == "load_adapter") {
        asio::co_spawn(m_context, loadWeights(body.value("version", m_settings.version), body.value("adapter", m_adapter)), asio::detached);
    } else if (name == "set_role") {
        m_role = body.value("role", "");
    } else {
        return errorResponse(Status::bad_request, "unknown_command");
    }
    return http::makeResponse(Status::accepted, "{}");
}

asio::awaitable<void> FakeRunner::loadWeights(std::string version, std::string adapter)
{
    ++m_loadingCount;
    m_counters["max_loading"] = std::max<std::int64_t>(m_counters["max_loading"], m_loadingCount);
    co_await sleepUntil(m_context, Clock::now() + m_settings.loadTime);
    --m_loadingCount;
    ++m_counters["loads"];
    m_settings.version = std::move(version);
    m_adapter = std::move(adapter);
    m_cache.clear();
    startQueued();
}

asio::awaitable<void> FakeRunner::sampleLoad()
{
    while (true) {
        co_await sleepUntil(m_context, Clock::now() + m_settings.reportInterval);
        m_report = loadReport();
    }
}

json FakeRunner::loadReport() const
{
    return { { "queue", m_queue.size() }, { "running", m_runningCount }, { "version", m_settings.version }, { "adapter", m_adapter }, { "role", m_role },
        { "loading", m_loadingCount > 0 }, { "free_blocks", m_cache.freeBlocks() } };
}

http::Response FakeRunner::handleControl(const http::Target& target, const http::Request& request)
{
    if (target.path == "/control/stats") {
        json out = m_counters;
        out["violations"] = m_counters["violations"];
        out["violation_list"] = m_violations;
        out["command_list"] = m_commands;
        out["fencing_token"] = m_fencingToken;
        out["now"] = loadReport();
        return http::makeResponse(Status::ok, out.dump());
    }
    const auto body = json::parse(request.body(), nullptr, false);
    if (target.path == "/control/faults" && request.method() == Verb::put && body.is_object()) {
        m_slowFactor = body.value("slow_factor", m_slowFactor);
        m_isStalled = body.value("stall", m_isStalled);
        m_checksImports = body.value("check_imports", m_checksImports);
        if (body.value("evict_all", false))
            m_cache.clear();
        return http::makeResponse(Status::ok, "{}");
    }
    return errorResponse(Status::not_found, "not_found");
}

asio::awaitable<void> FakeRunner::streamTokens(http::Exchange& exchange, std::string id, SequencePointer sequence, std::int64_t offset)
{
    const auto headerDeadline = Clock::now() + headerDelay;
    while (sequence->state == SequenceState::Queued && Clock::now() < headerDeadline)
        co_await waitForChange(sequence, headerDelay);
    if (sequence->state == SequenceState::WrongVersion) {
        co_await exchange.respond(errorResponse(Status::conflict, "wrong_version"));
        co_return;
    }
    const std::vector<std::pair<std::string, std::string>> noHeaders;
    auto isOpen = co_await exchange.startStream(Status::ok, "text/event-stream", noHeaders);
    while (isOpen && offset < sequence->maxTokens && (!sequence->hasEnded() || offset < sequence->producedTokens)) {
        if (sequence->state == SequenceState::Cancelled)
            break;
        if (m_isStalled || offset >= sequence->producedTokens) {
            co_await waitForChange(sequence, headerDelay);
            continue;
        }
        const json chunk { { "id", id }, { "index", offset },
            { "choices", { { { "index", 0 }, { "text", answerToken(sequence->prompt, offset) }, { "finish_reason", nullptr } } } } };
        isOpen = co_await exchange.write(http::formatSseEvent(chunk.dump()));
        ++offset;
    }
    if (!isOpen)
        co_return;
    if (sequence->state == SequenceState::WrongVersion) {
        const json error { { "error", { { "code", "wrong_version" }, { "message", "weights changed while queued" } } } };
        co_await exchange.write(http::formatSseEvent(error.dump()));
        co_await exchange.finishStream();
        co_return;
    }
    const bool isCancelled = sequence->state == SequenceState::Cancelled;
    const json last { { "id", id }, { "index", offset },
        { "choices", { { { "index", 0 }, { "text", "" }, { "finish_reason", isCancelled ? "cancelled" : "length" } } } },
        { "usage", { { "prompt_tokens", sequence->promptTokens }, { "cached_tokens", sequence->cachedTokens }, { "imported_tokens", sequence->importedTokens }, { "completion_tokens", sequence->producedTokens } } } };
    co_await exchange.write(http::formatSseEvent(last.dump()) + http::formatSseEvent("[DONE]"));
    co_await exchange.finishStream();
}

}
