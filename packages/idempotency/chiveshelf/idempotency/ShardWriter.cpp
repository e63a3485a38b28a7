#include "chiveshelf/idempotency/ShardWriter.h"

#include "chiveshelf/core/Hash.h"
#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr auto layoutKey = "chiveshelf/idempotency/layout";
    constexpr std::size_t maxGroupOperations = 512;
    // A group fails after this many rounds. Each round decides on the operations and writes the shard; a further round follows a
    // conflict, a lost reply or a refusal that was based on a possibly outdated copy.
    constexpr int maxWriteRounds = 6;
    // Each data centre has one writer per shard, so conflicts are rare. The random delay avoids repeated conflicts of two writers.
    constexpr auto maxConflictDelay = std::chrono::milliseconds(8);
    constexpr auto claimRefusalPeriod = std::chrono::milliseconds(300);
    constexpr auto retryAfterOutage = std::chrono::milliseconds(1'000);
    // An eighth of the 32 MB that a host may use for control.
    constexpr std::size_t maxCacheBytes = 4'000'000;

    std::string shardKey(std::uint32_t shard)
    {
        return "chiveshelf/idempotency/shard-" + std::to_string(shard);
    }

    Shard::Time wallClock()
    {
        return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    }

}

struct ShardWriter::Operation {
    explicit Operation(asio::io_context& context)
        : timer(context, Clock::time_point::max())
    {
    }

    asio::steady_timer timer;
    std::optional<ClaimKey> claim;
    std::optional<CompleteKey> completion;
    // Decision of the last round. It is valid only after the round has been written.
    Result<ClaimReply> decision;
    std::optional<Result<ClaimReply>> result;
};

struct ShardWriter::ShardState {
    std::deque<std::shared_ptr<Operation>> pending;
    bool isWriteLoopRunning = false;
    // Copy of the stored value. Empty if the value was not read yet, the copy may be outdated or it was evicted.
    std::optional<Shard> copy;
    Revision revision = 0;
};

ShardWriter::ShardWriter(asio::io_context& context, HttpPlatform& platform, ShardWriterSettings settings)
    : m_context(context)
    , m_platform(platform)
    , m_settings(settings)
{
}

ShardWriter::~ShardWriter() = default;

std::uint32_t ShardWriter::shardOf(const std::string& organisation, const std::string& key) const
{
    return static_cast<std::uint32_t>(hash64(organisation + " " + key) % m_settings.shards);
}

asio::awaitable<Result<ClaimReply>> ShardWriter::claim(ClaimKey message)
{
    if (Clock::now() < m_refuseClaimsUntil)
        co_return tl::unexpected(m_lastError);
    auto operation = std::make_shared<Operation>(m_context);
    operation->claim = std::move(message);
    co_return co_await submit(std::move(operation));
}

asio::awaitable<Result<CompletionReply>> ShardWriter::complete(CompleteKey message)
{
    auto operation = std::make_shared<Operation>(m_context);
    operation->completion = std::move(message);
    const auto result = co_await submit(std::move(operation));
    if (!result)
        co_return tl::unexpected(result.error());
    co_return CompletionReply {};
}

asio::awaitable<Result<ClaimReply>> ShardWriter::submit(std::shared_ptr<Operation> operation)
{
    ++m_counters.operations;
    const auto shard = operation->claim ? shardOf(operation->claim->organisation, operation->claim->key)
                                        : shardOf(operation->completion->organisation, operation->completion->key);
    auto& state = m_shards[shard];
    if (!state)
        state = std::make_unique<ShardState>();
    state->pending.push_back(operation);
    if (!state->isWriteLoopRunning) {
        state->isWriteLoopRunning = true;
        spawnTask(m_context, "shard_writer.write_loop", writeLoop(shard));
    }
    boost::system::error_code ec;
    while (!operation->result)
        co_await operation->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    co_return std::move(*operation->result);
}

asio::awaitable<void> ShardWriter::writeLoop(std::uint32_t shard)
{
    auto& state = *m_shards.at(shard);
    asio::steady_timer timer(m_context);
    while (!state.pending.empty()) {
        if (m_settings.window.count() > 0) {
            boost::system::error_code ec;
            timer.expires_after(m_settings.window);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
        const auto limit = m_settings.window.count() > 0 ? maxGroupOperations : 1;
        Group group;
        while (!state.pending.empty() && group.size() < limit) {
            group.push_back(std::move(state.pending.front()));
            state.pending.pop_front();
        }
        ++m_counters.groups;
        const auto written = co_await write(shard, group);
        if (!written) {
            ++m_counters.failures;
            state.copy.reset();
            m_refuseClaimsUntil = Clock::now() + claimRefusalPeriod;
            m_lastError = { ErrorCode::Unavailable, "idempotency records cannot be written: " + written.error().message, Verdict::NotRun, retryAfterOutage };
            logEvent(LogLevel::Warning, "idempotency_write_failed",
                { { "shard", shard }, { "operations", group.size() }, { "error", written.error().message } });
        }
        reportResults(group, written);
        evictCopies(shard);
    }
    state.isWriteLoopRunning = false;
}

asio::awaitable<Result<KeyValueEntry>> ShardWriter::read(std::string key)
{
    auto entry = co_await m_platform.get(key);
    if (!entry && entry.error().code == ErrorCode::Timeout)
        entry = co_await m_platform.get(key);
    co_return entry;
}

asio::awaitable<Result<void>> ShardWriter::load(std::uint32_t shard)
{
    auto& state = *m_shards.at(shard);
    auto entry = co_await read(shardKey(shard));
    if (!entry)
        co_return tl::unexpected(entry.error());
    auto parsed = Shard::parse(entry->value, m_settings.limits);
    if (!parsed)
        co_return tl::unexpected(parsed.error());
    state.copy = std::move(*parsed);
    state.revision = entry->revision;
    co_return Result<void> {};
}

asio::awaitable<Result<void>> ShardWriter::checkShardCount()
{
    if (m_hasCheckedShardCount)
        co_return Result<void> {};
    const auto configured = std::to_string(m_settings.shards);
    auto entry = co_await read(layoutKey);
    if (entry && entry->revision == 0) {
        co_await m_platform.compareAndSwap(layoutKey, 0, configured, std::nullopt);
        entry = co_await read(layoutKey);
    }
    if (!entry)
        co_return tl::unexpected(entry.error());
    if (entry->value != configured) {
        logEvent(LogLevel::Error, "idempotency_shard_count_differs", { { "stored", entry->value }, { "configured", configured } });
        co_return failure(ErrorCode::Unavailable, "configured number of idempotency shards differs from the stored number", Verdict::NotRun);
    }
    m_hasCheckedShardCount = true;
    co_return Result<void> {};
}

asio::awaitable<Result<void>> ShardWriter::write(std::uint32_t shard, const Group& group)
{
    auto& state = *m_shards.at(shard);
    auto checked = co_await checkShardCount();
    if (!checked) {
        checked.error().verdict = Verdict::NotRun;
        co_return checked;
    }
    Error lastError { ErrorCode::Conflict, "too many write conflicts on idempotency shard", Verdict::NotRun, std::nullopt };
    // If one write may have taken effect, a later failure must not change the verdict to NotRun.
    auto verdict = Verdict::NotRun;
    for (int round = 0; round < maxWriteRounds; ++round) {
        const bool isCopyFresh = !state.copy;
        if (isCopyFresh) {
            auto loaded = co_await load(shard);
            if (!loaded) {
                lastError = loaded.error();
                break;
            }
        }
        const auto now = wallClock();
        Shard next = *state.copy;
        next.prune(now);
        bool areDecisionsFinal = true;
        for (const auto& operation : group) {
            if (operation->claim) {
                operation->decision = next.claim(*operation->claim, now);
                areDecisionsFinal = areDecisionsFinal && operation->decision && operation->decision->state == ClaimState::Completed;
            } else {
                next.complete(*operation->completion, now);
                operation->decision = ClaimReply {};
            }
        }
        if (!next.hasChanged()) {
            if (isCopyFresh || areDecisionsFinal)
                co_return Result<void> {};
            // A refusal that was decided on a cached copy may be outdated, since another data centre may have written the shard.
            state.copy.reset();
            continue;
        }
        auto value = next.serialize();
        auto revision = co_await m_platform.compareAndSwap(shardKey(shard), state.revision, std::move(value), std::nullopt);
        if (revision) {
            ++m_counters.writes;
            state.revision = *revision;
            state.copy = std::move(next);
            state.copy->resetChanged();
            co_return Result<void> {};
        }
        lastError = revision.error();
        state.copy.reset();
        if (lastError.code == ErrorCode::Conflict) {
            ++m_counters.conflicts;
            asio::steady_timer timer(m_context, maxConflictDelay * (1 + static_cast<int>(hash64(makeUniqueId()) % 4)) / 4);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        if (lastError.verdict == Verdict::NotRun)
            break;
        verdict = Verdict::MayHaveRun;
        // The write may have taken effect, or may do so later. Reading the shard and deciding again covers both cases: an attempt
        // that finds its own claim is granted, and a write that takes effect late conflicts with the next write.
        ++m_counters.readBacks;
    }
    lastError.verdict = verdict;
    co_return tl::unexpected(lastError);
}

void ShardWriter::reportResults(const Group& group, const Result<void>& written)
{
    for (const auto& operation : group) {
        if (written) {
            if (!operation->decision)
                ++m_counters.full;
            operation->result = operation->decision;
        } else {
            operation->result = failure(written.error().code == ErrorCode::RateLimited ? ErrorCode::RateLimited : ErrorCode::Unavailable,
                "idempotency record could not be written: " + written.error().message, written.error().verdict, retryAfterOutage);
        }
        operation->timer.cancel();
    }
}

void ShardWriter::evictCopies(std::uint32_t keptShard)
{
    std::size_t total = 0;
    for (const auto& [shard, state] : m_shards)
        total += state->copy ? state->copy->bytes() : 0;
    for (const auto& [shard, state] : m_shards) {
        if (total <= maxCacheBytes)
            return;
        if (shard == keptShard || state->isWriteLoopRunning || !state->copy)
            continue;
        total -= state->copy->bytes();
        state->copy.reset();
    }
}

}
